/** Finds jobs that have nothing running for long though most of the pool is idle, and what they wait for. */
import type { Epoch } from '@cornelgauge/model'
import type { ServerId, TaskName } from './ids.js'
import type { JobState, TaskState } from './job-state.js'
import { IDLE_JOB_CHECK_MILLISECONDS, IDLE_JOB_MILLISECONDS, MAXIMUM_IDLE_JOBS_LOGGED } from './limits.js'
import type { RoundTimes } from './placement-round.js'
import { isMostlyIdle, snapshotOf } from './round-snapshots.js'
import type { PlannerState } from './state.js'

/**
 * What a job waits for.
 * - `recovery`: runs of earlier owners aren't all known yet.
 * - `queue`: neither the configuration nor the job has the terms of its queue.
 * - `run`: an earlier run hasn't ended, as far as the planner knows.
 * - `crash`: backend servers have crashed under it, and it waits for empty ones or for its count to be stored.
 * - `capacity`: it isn't placed, though most of the pool is idle.
 */
export type IdleReason = 'recovery' | 'queue' | 'run' | 'crash' | 'capacity'

/** A job that has nothing running though one of its tasks is ready. */
interface IdleJob {
  readonly task: TaskName
  readonly reason: IdleReason
  /** Where the run is that it waits for. */
  readonly server?: ServerId
}

/** Jobs that have nothing running, with the time since which that is so. */
export class IdleJobs {
  readonly #since = new Map<JobState, number>()
  #checkedAt = -Infinity

  /**
   * Records an event for each job that has been idle for longer than the limit, and for a limited number of jobs each time.
   *
   * @example
   * idleJobs.check(state, { now, wallTime })
   */
  check (state: PlannerState, { now, wallTime }: RoundTimes): void {
    if (now - this.#checkedAt < IDLE_JOB_CHECK_MILLISECONDS) return
    this.#checkedAt = now
    const isPoolIdle = isMostlyIdle(snapshotOf(state, now))
    for (const job of this.#since.keys()) if (!job.isOpen) this.#since.delete(job)
    const unknownEpoch = state.recovery.latestUnknownEpoch(now)
    let logged = 0
    for (const job of state.openJobs) {
      const idle = isPoolIdle ? idleJob(state, job, unknownEpoch) : undefined
      const since = this.#since.get(job) ?? now
      if (idle === undefined) this.#since.delete(job)
      else this.#since.set(job, since)
      if (idle === undefined || now - since < IDLE_JOB_MILLISECONDS || logged === MAXIMUM_IDLE_JOBS_LOGGED) continue
      logged += 1
      const wait = idle.reason === 'recovery' ? recoveryWait(state, job, now) : {}
      state.recordEvent({ type: 'job-idle', job: job.job.id, ...idle, ...wait, milliseconds: now - since, age: wallTime - job.job.acceptedAt })
    }
  }
}

function idleJob (state: PlannerState, job: JobState, unknownEpoch: Epoch | undefined): IdleJob | undefined {
  let first: TaskState | undefined
  let unresolved: TaskState | undefined
  let isSuspect = false
  for (const step of job.readySteps()) {
    for (const task of step.tasks) {
      if (task.isDone) continue
      for (const { state } of task.runs) if (state === 'starting' || state === 'running') return undefined
      first ??= task
      if (task.runs.size > 0) unresolved ??= task
      isSuspect ||= step.losses.isSuspect(step.unitOf(task))
    }
  }
  if (first === undefined) return undefined
  if (job.mayHaveRunsUnder(unknownEpoch)) return { task: first.name, reason: 'recovery' }
  if (state.termsOf(job) === undefined) return { task: first.name, reason: 'queue' }
  if (unresolved !== undefined) return { task: unresolved.name, reason: 'run', server: [...unresolved.runs][0]!.server }
  return { task: first.name, reason: isSuspect ? 'crash' : 'capacity' }
}

/** Returns which backend servers a job waits for: how many, one of them, and for how long at most. */
function recoveryWait (state: PlannerState, job: JobState, now: number): { readonly servers: number, readonly server?: ServerId, readonly waitMilliseconds?: number } {
  const { until, ...servers } = state.recovery.waitOf(job.job.acceptedUnder, now)
  return { ...servers, ...(until === undefined ? {} : { waitMilliseconds: until - now }) }
}
