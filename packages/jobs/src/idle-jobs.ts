/** Finds jobs that have nothing running for long though most of the pool is idle, and what they wait for. */
import { mostGangMembers } from './gang-size.js'
import type { ServerId, TaskName } from './ids.js'
import { dueAt } from './job.js'
import type { JobState } from './job-state.js'
import { FIRST_IDLE_JOB_CHECK_MILLISECONDS, IDLE_JOB_CHECK_MILLISECONDS, IDLE_JOB_MILLISECONDS, MAXIMUM_IDLE_JOBS_LOGGED } from './limits.js'
import type { RoundTimes } from './placement-round.js'
import type { JobProgress } from './progress.js'
import { isMostlyIdle, snapshotOf } from './round-snapshots.js'
import type { UnknownEpochs } from './recovery.js'
import type { PlannerState } from './state.js'
import type { TaskState } from './task-state.js'

/**
 * What a job waits for.
 * - `recovery`: runs of earlier owners aren't all known yet.
 * - `queue`: neither the configuration nor the job has the terms of its queue.
 * - `run`: an earlier run hasn't ended, as far as the planner knows.
 * - `crash`: backend servers have crashed under it, and it waits for empty ones or for its count to be stored.
 * - `size`: its gang has more members than an owner can start while they wait for each other.
 * - `record`: the store has refused its progress, without which nothing of it is started.
 * - `capacity`: it isn't placed, though most of the pool is idle.
 */
export type IdleReason = 'recovery' | 'queue' | 'run' | 'crash' | 'size' | 'record' | 'capacity'

/** A job that has nothing running though one of its tasks is ready. */
interface IdleJob {
  readonly task: TaskName
  readonly reason: IdleReason
  /** Where the run is that it waits for. */
  readonly server?: ServerId
}

/** Tasks of a job that has nothing running. */
interface WaitingTasks {
  readonly first: TaskState
  /** One that earlier owners have recorded on a backend server whose runs aren't known. */
  readonly recovering: TaskState | undefined
  /** One with a run that hasn't ended. */
  readonly unresolved: TaskState | undefined
  readonly isSuspect: boolean
}

/** Jobs that have nothing running while most of the pool is idle, with the time since which that is so. */
export class IdleJobs {
  readonly #since = new Map<JobState, number>()
  #nextCheckAt: number | undefined
  /** No check has taken place yet. */
  #isFirst = true

  /**
   * Records an event for each job that has been idle for longer than the limit, and for a limited number of jobs each time:
   * those that have waited longest. The first check counts the time under earlier owners too.
   *
   * @example
   * idleJobs.check(state, { now, wallTime })
   */
  check (state: PlannerState, { now, wallTime }: RoundTimes): void {
    this.#nextCheckAt ??= now + FIRST_IDLE_JOB_CHECK_MILLISECONDS
    if (now < this.#nextCheckAt) return
    this.#nextCheckAt = now + IDLE_JOB_CHECK_MILLISECONDS
    const snapshot = snapshotOf(state, now)
    const isEvacuated = state.evacuations.size > 0 && snapshot.targets.length === 0
    const isPoolIdle = !isEvacuated && isMostlyIdle(snapshot)
    for (const job of this.#since.keys()) if (!state.openJobs.has(job)) this.#since.delete(job)
    const unknownEpochs = state.recovery.unknownEpochs(now)
    const found: { readonly job: JobState, readonly idle: IdleJob, readonly milliseconds: number }[] = []
    for (const job of state.openJobs) {
      const idle = isPoolIdle ? idleJob(state, job, unknownEpochs) : undefined
      if (idle === undefined) {
        this.#since.delete(job)
        continue
      }
      job.idleSince ??= now
      const since = this.#since.get(job) ?? (this.#isFirst ? job.idleSince : now)
      this.#since.set(job, since)
      if (now - since >= IDLE_JOB_MILLISECONDS) found.push({ job, idle, milliseconds: now - job.idleSince })
    }
    this.#isFirst = false
    found.sort((one, other) => other.milliseconds - one.milliseconds)
    for (const { job, idle, milliseconds } of found.slice(0, MAXIMUM_IDLE_JOBS_LOGGED)) {
      const wait = idle.reason === 'recovery' ? recoveryWait(state, job, unknownEpochs, now) : {}
      state.recordEvent({ type: 'job-idle', job: job.job.id, ...idle, ...wait, epoch: state.epoch, milliseconds, age: wallTime - job.job.acceptedAt })
    }
  }
}

/**
 * Returns the time of day since which a job has nothing running, in the form that is stored with its progress;
 * nothing if it has ended, a task of it runs or none is ready.
 *
 * @example
 * const { idleSince } = storedIdleSince(job, { now, wallTime })
 */
export function storedIdleSince (job: JobState, { now, wallTime }: RoundTimes): Pick<JobProgress, 'idleSince'> {
  if (!job.isOpen || waitingTasks(job) === undefined) return {}
  job.idleSince ??= now
  return { idleSince: Math.max(0, Math.round(wallTime - Math.max(0, now - job.idleSince))) }
}

/**
 * Sets since when a job has nothing running: one that never began since it was accepted or first due, any other as
 * an earlier owner stored it. A time that is still to come, after a change of the time of day, counts as unknown.
 * A run that began after the last write of the progress isn't known before a backend server lists it.
 *
 * @example
 * restoreIdleSince(job, progress?.idleSince, { now, wallTime })
 */
export function restoreIdleSince (job: JobState, stored: number | undefined, { now, wallTime }: RoundTimes): void {
  const firstDueAt = dueAt(job.job, 0)
  const since = job.phase === 'queued' ? firstDueAt : stored
  if (since === undefined || since > wallTime || firstDueAt > wallTime) return
  job.idleSince = now - (wallTime - Math.max(since, firstDueAt))
}

/** Returns the tasks that a job could run; undefined if one runs or none is ready. */
function waitingTasks (job: JobState): WaitingTasks | undefined {
  let first: TaskState | undefined
  let recovering: TaskState | undefined
  let unresolved: TaskState | undefined
  let isSuspect = false
  for (const step of job.readySteps()) {
    first ??= step.firstOpen
    isSuspect ||= step.hasSuspect
    for (const task of step.placedTasks) {
      for (const { state } of task.runs) if (state === 'starting' || state === 'running') return undefined
      if (task.earlierServers.size > 0) recovering ??= task
      if (task.runs.size > 0) unresolved ??= task
    }
  }
  return first === undefined ? undefined : { first, recovering, unresolved, isSuspect }
}

function idleJob (state: PlannerState, job: JobState, unknownEpochs: UnknownEpochs): IdleJob | undefined {
  const waiting = waitingTasks(job)
  if (waiting === undefined) return undefined
  const { first, recovering, unresolved, isSuspect } = waiting
  if (state.isRecovering(job, unknownEpochs)) return { task: first.name, reason: 'recovery' }
  if (recovering !== undefined) return { task: recovering.name, reason: 'recovery' }
  if (state.termsOf(job) === undefined) return { task: first.name, reason: 'queue' }
  if (unresolved !== undefined) return { task: unresolved.name, reason: 'run', server: [...unresolved.runs][0]!.server }
  if (state.isRefused(job.job.id)) return { task: first.name, reason: 'record' }
  const isTooLarge = first.step.specification.isGang && first.step.count > mostGangMembers(state.bounds)
  return { task: first.name, reason: isSuspect ? 'crash' : isTooLarge ? 'size' : 'capacity' }
}

/** Returns which backend servers a job waits for: how many, one of them, and for how long at most. */
function recoveryWait (state: PlannerState, job: JobState, unknownEpochs: UnknownEpochs, now: number): { readonly servers: number, readonly server?: ServerId, readonly waitMilliseconds?: number } {
  const { recovery } = state
  const { until, ...servers } = state.isRecovering(job, unknownEpochs) ? recovery.waitOf(job.job.acceptedUnder, now) : recovery.waitFor(job.earlierServers, now)
  return { ...servers, ...(until === undefined ? {} : { waitMilliseconds: until - now }) }
}
