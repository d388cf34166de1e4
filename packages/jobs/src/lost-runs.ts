/**
 * Counts the runs that are lost with their backend servers, and determines what has crashed them.
 * A task that crashes its backend servers is given up. A suspect is started where nothing else runs; a
 * crash doesn't count against it if many backend servers crashed at that time, or once a run of the task
 * has outlived it.
 */
import { CRASH_AT_START_MILLISECONDS, MASS_OUTAGE_SERVERS, OUTAGE_MILLISECONDS } from './limits.js'
import type { Background } from './crash-history.js'
import { endJob } from './job-end.js'
import type { JobState } from './job-state.js'
import type { RoundTimes } from './placement-round.js'
import type { ListedRun, Run, Server, ServerEntry } from './server.js'
import type { PlannerState } from './state.js'
import type { StepState } from './step-state.js'
import type { TaskState } from './task-state.js'

/**
 * Removes and returns the runs that a backend server had when its incarnation ended: those that
 * may have been executing, and those whose leases have expired since.
 *
 * @example
 * const lost = takeLostRuns(state, server)
 */
export function takeLostRuns (state: PlannerState, server: Server): readonly Run[] {
  const missing = state.missingRuns.take(server.id)
  return server.entry.isDraining ? [] : [...missing, ...mayExecute(server)]
}

/** A crash of a backend server that runs there may have caused. */
export interface Crash {
  readonly server: Server
  /** When the backend server was first seen to be unreachable, or to have restarted, on our monotonic clock. */
  readonly at: number
  /** The run, or the members of a gang's run, that more likely caused it than any other; empty if there is none. */
  readonly runs: readonly Run[]
  /** All runs that were lost. */
  readonly lost: readonly Run[]
  /** Steps of which suspects wait until the cause is determined. */
  readonly held: ReadonlySet<StepState>
}

/**
 * Counts lost runs of a backend server. The crash is kept until its cause is determined.
 *
 * @example
 * countLostRuns(state, server, takeLostRuns(state, server), { now, wallTime })
 */
export function countLostRuns (state: PlannerState, server: Server, lost: readonly Run[], times: RoundTimes): void {
  // Another crash at the address of a server that was replaced is none of that server.
  if (lost.some(run => isCounted(state, server, run))) return
  noteCrash(state, server, lost, times.now)
  if (lost.length === 0) return
  const isAlone = lost.every(other => other.run === lost[0]!.run)
  server.lostRuns = lost
  for (const run of lost) {
    const task = openTask(state, run)
    if (task === undefined) continue
    const { step } = task
    const unit = step.unitOf(task)
    if (isNew(run, server.outageAt)) step.losses.addLossAtStart(unit, run.run)
    if (!step.specification.isLasting && step.losses.evidence.add(task.index, run.run, exposureOf(run, server.outageAt))) step.losses.change = state.markChanged(step.job)
    if (!step.losses.add(unit, run.run, placeOf(server, run))) continue
    step.losses.change = state.markChanged(step.job)
    state.recordEvent({ type: 'run-lost-with-server', task: run.task, run: run.run, server: server.id, lostRuns: step.losses.count(unit), alone: isAlone })
  }
  const runs = possibleCause(server, lost)
  const held = new Set<StepState>()
  for (const run of lost) {
    const task = state.task(run.task)
    if (task !== undefined && (runs.includes(run) || task.step.losses.evidence.isExhausted(task.index))) held.add(task.step)
  }
  state.crashes.add({ server, at: server.outageAt, runs, lost, held })
  determineCauses(state, times)
}

/**
 * Determines the cause of each crash that is old enough for others of the same moment to be known, and
 * ends the jobs of which a task is the cause.
 *
 * @example
 * determineCauses(state, { now, wallTime })
 */
export function determineCauses (state: PlannerState, { now, wallTime }: RoundTimes): void {
  for (const crash of state.crashes) {
    if (now < crash.at + OUTAGE_MILLISECONDS) continue
    state.crashes.delete(crash)
    if (isMassOutage(state, crash)) discard(state, crash)
    if (crash.runs.length > 0 && !isOutage(state, crash)) attribute(state, crash, now)
    for (const run of crash.lost) giveUpIfCause(state, run, { now, wallTime }, true)
  }
  for (const task of state.exhaustedTasks) {
    state.exhaustedTasks.delete(task)
    giveUpIfCause(state, { task }, { now, wallTime }, false)
  }
}

/** Records that only these runs can explain a crash. */
function attribute (state: PlannerState, { server, at, runs }: Crash, now: number): void {
  for (const run of runs) {
    const task = openTask(state, run)
    // A crash that was discarded isn't evidence.
    if (task === undefined || !task.step.losses.evidence.runsOf(task.index).includes(run.run)) continue
    const { step } = task
    const crashes = step.losses.attribute(task.index, run.run)
    step.losses.change = state.markChanged(step.job)
    const exposure = exposureOf(run, at)
    const background = backgroundOf(state, task, now).crashes
    state.recordEvent({ type: 'crash-attributed', task: run.task, run: run.run, server: server.id, crashes, background, ...(exposure < Infinity ? { exposureMilliseconds: Math.round(exposure) } : {}) })
  }
}

/** Discards the crash and the loss of a run that did not come at its start: many backend servers crashed at that time. */
function discard (state: PlannerState, { at, lost }: Crash): void {
  for (const run of lost) {
    const task = openTask(state, run)
    if (task === undefined || isNew(run, at)) continue
    const { step } = task
    const isCrash = step.losses.evidence.remove(task.index, run.run)
    if (isCrash) step.losses.evidence.addOtherEnd(task.index)
    const isLoss = step.losses.discount(step.unitOf(task), run.run)
    if (isCrash || isLoss) step.losses.change = state.markChanged(step.job)
    if (!step.isSuspect(task)) for (const next of task.runs) state.isolatedRuns.delete(next)
  }
}

/**
 * Finds the tasks of a stored job that may not be started once more: the earlier owner may not have
 * determined the cause of the last crash.
 *
 * @example
 * findExhausted(state, job)
 */
export function findExhausted (state: PlannerState, job: JobState): void {
  for (const step of job.steps) {
    for (const index of step.tasksWithCrashes) {
      const task = step.losses.evidence.isExhausted(index) ? step.task(index) : undefined
      if (task !== undefined) state.exhaustedTasks.add(task.name)
    }
  }
}

/** Remembers the crash of a backend server that did not come at the start of a run. */
function noteCrash (state: PlannerState, server: Server, lost: readonly Run[], now: number): void {
  if (server.entry.isDraining || hasCrashedAtStart(server, lost)) return
  state.crashHistory.add({ server: server.id, pool: server.entry.pool, at: server.outageAt, tasks: new Set(lost.map(({ task }) => task)) }, now)
}

function backgroundOf (state: PlannerState, { name, step }: TaskState, now: number): Background {
  const { pool } = step.job.job
  const servers = [...state.servers.values()].filter(({ isListed, entry }) => isListed && entry.pool === pool).length
  return state.crashHistory.beside(name, pool, servers, now)
}

function giveUpIfCause (state: PlannerState, run: Pick<Run, 'task'>, { now, wallTime }: RoundTimes, hasJustCrashed: boolean): void {
  const task = openTask(state, run)
  if (task?.step.losses.evidence.maySuffice(task.index) !== true) return
  if (!task.step.losses.isCause(task.index, backgroundOf(state, task, now), hasJustCrashed)) return
  const { step } = task
  state.recordEvent({ type: 'job-given-up', job: step.job.job.id, task: run.task, lostRuns: step.losses.count(step.unitOf(task)) })
  endJob(state, step.job, 'failed', 'job-failed', wallTime)
  state.markChanged(step.job)
}

/**
 * Discards the crashes under earlier runs of a task that this run, which is listed, has outlived.
 *
 * @example
 * refuteCrashes(state, run, REFUTATION_MARGIN_MILLISECONDS)
 */
export function refuteCrashes (state: PlannerState, run: Run, margin: number): void {
  const workedMilliseconds = (run.listedAt ?? -Infinity) - run.confirmedAt
  const task = workedMilliseconds > margin ? openTask(state, run) : undefined
  const discarded = task?.step.knownLosses?.refute(task.index, workedMilliseconds - margin) ?? 0
  if (task === undefined || discarded === 0) return
  task.step.losses.change = state.markChanged(task.step.job)
  state.recordEvent({ type: 'crashes-refuted', task: run.task, run: run.run, server: run.server, discarded, workedMilliseconds: Math.round(workedMilliseconds) })
}

/**
 * Weighs a run that has ended without a crash of its backend server against the crashes under earlier ones.
 *
 * @example
 * weighEnd(state, run)
 */
export function weighEnd (state: PlannerState, run: Run): void {
  if (run.confirmedAt === Infinity) return
  refuteCrashes(state, run, 0)
  const task = openTask(state, run)
  if (task?.step.knownLosses?.evidence.addOtherEnd(task.index) !== true) return
  task.step.losses.change = state.markChanged(task.step.job)
  if (task.step.losses.evidence.isExhausted(task.index)) state.exhaustedTasks.add(task.name)
}

/**
 * The steps under which there was a crash whose cause isn't determined yet.
 *
 * @example
 * stepsWithOpenCause(state).has(step)
 */
export function stepsWithOpenCause (state: PlannerState): ReadonlySet<StepState> {
  const steps = new Set<StepState>()
  for (const { held } of state.crashes) for (const step of held) steps.add(step)
  return steps
}

/** True if the loss of a run on a backend server is counted. */
function isCounted (state: PlannerState, server: Server, run: Run): boolean {
  return state.task(run.task)?.step.knownLosses?.placesOf(run.run).has(placeOf(server, run)) === true
}

/** Finds the task of a run; undefined if nothing of it is left to do. */
function openTask (state: PlannerState, run: Pick<Run, 'task'>): TaskState | undefined {
  const task = state.task(run.task)
  return task === undefined || task.isDone || !task.step.job.isOpen ? undefined : task
}

/**
 * Counts the lost runs of backend servers that new ones have replaced at their addresses, or that
 * were removed and are back under their ids.
 *
 * @example
 * countReplaced(state, entries.filter(entry => !state.servers.has(entry.id)), { now, wallTime })
 */
export function countReplaced (state: PlannerState, added: readonly ServerEntry[], times: RoundTimes): void {
  if (added.length === 0) return
  const byAddress = new Map(added.map(entry => [entry.address, entry]))
  const byId = new Map(added.map(entry => [entry.id, entry]))
  const unreachable = [...state.servers.values()].filter(server => server.missedPolls > 0 && server.runs.size > 0)
  for (const server of new Set([...state.missingRuns.servers, ...unreachable])) {
    const isReplaced = byAddress.has(server.entry.address) && byAddress.get(server.entry.address)?.id !== server.id
    const isRestarted = (byId.get(server.id)?.incarnation ?? -Infinity) > server.entry.incarnation
    if (isReplaced || isRestarted) countLostRuns(state, server, takeLostRuns(state, server), times)
  }
}

/**
 * Corrects the count of a run that was assumed lost, and is listed by the next incarnation or has never begun.
 *
 * @example
 * correctLoss(state, server, entry)
 */
export function correctLoss (state: PlannerState, server: Server, listed: Pick<ListedRun, 'task' | 'run'>): void {
  const task = state.task(listed.task)
  const losses = task?.step.knownLosses
  if (task === undefined || losses === undefined) return
  const isCrash = losses.evidence.remove(task.index, listed.run)
  if (!losses.correct(task.step.unitOf(task), listed.run, placeOf(server, listed)) && !isCrash) return
  state.markChanged(task.step.job)
}

function placeOf (server: Server, { task }: { readonly task: string }): string {
  return `${server.id} ${task}`
}

/**
 * Returns the runs that may be executing on a backend server.
 *
 * @example
 * mayExecute(server)
 */
export function mayExecute (server: Server): readonly Run[] {
  return [...server.runs.values()].filter(run => !run.isStopConfirmed)
}

/**
 * True if other backend servers crashed at about the same time, so that the run need not be the cause. Not so if all
 * of them had members of the same gang, which was lost as a whole when it started, or if each of the others had a
 * run that had just started.
 */
function isOutage (state: PlannerState, { server, at, runs }: Crash): boolean {
  const { run: number } = runs[0]!
  const others = [...state.servers.values()].filter(other => other !== server && Math.abs(other.outageAt - at) <= OUTAGE_MILLISECONDS)
  const lostAt = others.map(other => ({ other, lost: lostWith(state, other) }))
  const sharing = lostAt.filter(({ lost }) => lost.some(run => run.run === number))
  if (lostAt.some(({ other, lost }) => !sharing.some(each => each.other === other) && !hasCrashedAtStart(other, lost))) return true
  if (sharing.length === 0) return false
  const members = runs.length + sharing.reduce((sum, { lost }) => sum + lost.filter(run => run.run === number).length, 0)
  const isWhole = members >= (state.task(runs[0]!.task)?.step.count ?? Infinity)
  return !isWhole || runs.some(run => !isNew(run, at))
}

/** True if many other backend servers crashed at about the same time, unless all of them had members of one gang. */
function isMassOutage (state: PlannerState, { server, at, lost }: Crash): boolean {
  const others = [...state.servers.values()].filter(other => other !== server && Math.abs(other.outageAt - at) <= OUTAGE_MILLISECONDS)
  const numbers = new Set(lost.map(({ run }) => run))
  const isShared = (runs: readonly Run[]): boolean => runs.some(({ run }) => numbers.has(run))
  return others.length >= MASS_OUTAGE_SERVERS && others.some(other => !isShared(lostWith(state, other)))
}

/** The only run that a backend server had when it crashed, or else the only one that had just started; members of a gang are one run. */
function possibleCause ({ outageAt }: Server, lost: readonly Run[]): readonly Run[] {
  const haveOneNumber = (runs: readonly Run[]): boolean => runs.every(({ run }) => run === runs[0]!.run)
  const started = lost.filter(run => isNew(run, outageAt))
  return [lost, started].find(haveOneNumber) ?? []
}

/** The runs that were lost with a backend server in its last outage, or may be so. */
function lostWith (state: PlannerState, server: Server): readonly Run[] {
  return Math.max(server.restartedAt, server.replacedAt) >= server.outageAt ? server.lostRuns : [...state.missingRuns.of(server.id), ...mayExecute(server)]
}

/** True if a backend server crashed when a run started there. */
function hasCrashedAtStart ({ outageAt }: Server, lost: readonly Run[]): boolean {
  return lost.some(run => isNew(run, outageAt))
}

/** Time from the start of a run to the first sign of a crash; Infinity if another owner started it. */
function exposureOf ({ startSentAt, isAdopted = false }: Run, at: number): number {
  return isAdopted ? Infinity : Math.max(0, at - startSentAt)
}

function isNew (run: Run, at: number): boolean {
  return exposureOf(run, at) <= CRASH_AT_START_MILLISECONDS
}
