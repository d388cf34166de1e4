/** Applies the reports and answers of backend servers to the state. */
import type { StartOutcome, StopCommand, StopOutcome } from './command.js'
import { NO_CAPACITY } from './capacity.js'
import { parseTaskName, type JobId, type RunNumber, type ServerId, type TaskName } from './ids.js'
import { stopDuplicates } from './duplicate-runs.js'
import { completeIfDone, endJob } from './job-end.js'
import { ISOLATION_MILLISECONDS, REFUTATION_MARGIN_MILLISECONDS } from './limits.js'
import { countedNeed } from './capacity-snapshot.js'
import type { RoundTimes } from './placement-round.js'
import { withStopDue } from './revoked-starts.js'
import type { ListedEnd, ListedRun, Run, RunEnd, Server, ServerReport } from './server.js'
import { correctLoss, countLostRuns, mayExecute, refuteCrashes, takeLostRuns, weighEnd } from './lost-runs.js'
import type { GoneCause, RestartSource } from './planner-event.js'
import type { PlannerState } from './state.js'
import type { TaskState } from './task-state.js'
import { requestStop, requestStops, stopIfIncomplete, stopOtherStarts, stopRestOfGang } from './stops.js'

/**
 * Applies an answer to a poll. Runs that a complete report no longer lists have ended. An answer that was made before one that is
 * applied shows nothing more.
 *
 * @example
 * applyReport(state, server, report, Date.now())
 */
export function applyReport (state: PlannerState, server: Server, report: ServerReport, wallTime: number): void {
  if (report.incarnation === server.entry.incarnation) {
    // Its list may have runs that have ended since.
    if (server.hasAnsweredAfter(report.clock)) return
    state.missingRuns.take(server.id)
  } else {
    // A poll sent before the restart was known may have been answered by the earlier incarnation.
    if (report.sentAt < server.restartedAt) return
    applyRestart(state, server, report.incarnation, 'report', { now: report.receivedAt, wallTime }, report.running)
  }
  server.recordAnswer(report)
  state.recovery.noteAnswer(server, addressOf(server, report), report.sentAt)
  server.hasRefusedForCapacity = false
  server.hasMoreEnds = report.hasMoreEnds
  server.hasListedAll ||= !report.hasMoreEnds
  const listed = new Set<Run>()
  for (const entry of report.running) {
    listed.add(applyRunning(state, server, entry, report))
  }
  for (const end of report.ended) {
    if (end.position > server.reportedPosition) applyEnd(state, server, end, report, wallTime)
  }
  const last = report.ended.at(-1)
  if (last !== undefined && last.position > server.reportedPosition) {
    server.reportedPosition = last.position
    state.acknowledgeWhenStored(server, last.position, jobsOf(report.ended))
  }
  if (!report.hasMoreEnds) settleUnlisted(state, server, listed, report)
  for (const run of listed) stopDuplicates(state, run)
}

const jobsOf = (ends: readonly ListedEnd[]): ReadonlySet<JobId> => new Set(ends.map(({ task }) => parseTaskName(task)?.job).filter(id => id !== undefined))

const addressOf = ({ entry }: Server, { address = entry.address }: ServerReport): string => address

/** Removes the runs that a complete report shows to have ended, and gives up the starts that it shows not to have begun. */
function settleUnlisted (state: PlannerState, server: Server, listed: ReadonlySet<Run>, { sentAt }: ServerReport): void {
  for (const run of [...server.runs.values()]) {
    if (listed.has(run)) continue
    if (hasEnded(run, sentAt)) removeEnded(state, server, run, 'unlisted')
    else if (run.unansweredAt !== undefined && run.unansweredAt <= sentAt) giveUpStart(state, run)
  }
}

/** True if a run that a complete report doesn't list has ended: it was confirmed before the poll, or its stop was, so it can no longer start. */
function hasEnded (run: Run, sentAt: number): boolean {
  return run.confirmedAt < sentAt || (run.isStopConfirmed && run.stopConfirmedAt < sentAt)
}

function applyRunning (state: PlannerState, server: Server, entry: ListedRun, report: ServerReport): Run {
  const { sentAt, receivedAt: now } = report
  correctLoss(state, server, entry)
  const run = server.run(entry.task, entry.run) ?? adoptRun(state, server, entry, report)
  run.incarnation = server.entry.incarnation
  confirmStart(state, run, now)
  run.listedAt = sentAt
  refuteCrashes(state, run, REFUTATION_MARGIN_MILLISECONDS)
  if (entry.percent > run.percent) {
    run.percent = entry.percent
    run.progressedAt = now
    run.step?.progressedOn.add(server.id)
  }
  if (entry.checkpoint !== '') {
    run.checkpoint = entry.checkpoint
    const task = state.task(entry.task)
    if (task !== undefined) task.checkpoint = entry.checkpoint
  }
  state.speeds.noteProgress(server, run, report)
  return run
}

/** Records that a run exists; one that is to be stopped stays so. */
function confirmStart (state: PlannerState, run: Run, now: number): void {
  if (run.confirmedAt <= now) return
  if (run.state === 'starting' || (run.state === 'unconfirmed' && run.stopReason === undefined)) run.state = 'running'
  run.confirmedAt = now
  state.task(run.task)?.step.job.noteRunning()
}

/**
 * Stops a run whose start wasn't answered and isn't known to have taken effect: it may still arrive,
 * and a stop that arrives before it prevents it. The rest of its gang doesn't wait for it.
 *
 * @example
 * giveUpStart(state, run)
 */
export function giveUpStart (state: PlannerState, run: Run): void {
  if (run.state !== 'unconfirmed' || run.stopReason !== undefined) return
  requestStop(state, run, 'unanswered')
  const server = state.servers.get(run.server)
  if (server?.entry.incarnation === run.incarnation) server.unansweredStartAt = run.unansweredAt!
  const task = state.task(run.task)
  if (task !== undefined) stopRestOfGang(state, task, run.run)
}

/** Adopts a run that an earlier owner started; stops it if its task no longer has to run. */
function adoptRun (state: PlannerState, server: Server, { task: name, run: number, percent, checkpoint }: ListedRun, report: ServerReport): Run {
  const { receivedAt: now } = report
  const task = state.task(name)
  const run: Run = {
    task: name,
    run: number,
    server: server.id,
    address: addressOf(server, report),
    incarnation: server.entry.incarnation,
    need: task === undefined ? NO_CAPACITY : countedNeed(task.step),
    ...(task === undefined ? {} : { step: task.step }),
    isNeedUnknown: task === undefined,
    state: 'running',
    isAdopted: true,
    startSentAt: now,
    confirmedAt: now,
    isStopConfirmed: false,
    stopConfirmedAt: Infinity,
    percent,
    progressedAt: now,
    checkpoint,
    stopSentAt: -Infinity,
    ...(task?.step.isSuspect(task) === true ? { isolatedUntil: now + ISOLATION_MILLISECONDS } : {})
  }
  server.add(run)
  if (run.isolatedUntil !== undefined) state.isolatedRuns.add(run)
  if (task === undefined) return requestStop(state, run, 'unknown-job')
  task.addRun(run)
  if (percent > 0) task.step.progressedOn.add(server.id)
  const { job } = task.step
  if (job.isOpen && !task.isDone && !task.earlierServers.has(server.id)) state.recorded.noteUnrecorded(state.markChanged(job))
  job.noteRunning()
  if (task.isDone) return requestStop(state, run, 'done-elsewhere')
  return job.isOpen ? stopIfIncomplete(state, run) : requestStop(state, run, job.phase === 'canceled' ? 'cancelled' : 'job-failed')
}

/**
 * Assigns the runs that were found before their jobs were known to their tasks. They are being
 * stopped, and until they have ended their tasks must not run elsewhere.
 *
 * @example
 * assignUnknownRuns(state)
 */
export function assignUnknownRuns (state: PlannerState): void {
  for (const server of state.servers.values()) {
    if (!server.hasRunsOfUnknownNeed) continue
    for (const run of server.runs.values()) {
      const task = run.isNeedUnknown === true ? state.task(run.task) : undefined
      if (task === undefined) continue
      server.setStep(run, task.step)
      task.addRun(run)
    }
  }
}

type EndHandler = (state: PlannerState, server: Server, task: TaskState, end: ListedEnd, report: ServerReport, wallTime: number) => void

const END_HANDLERS: Readonly<Record<RunEnd, EndHandler>> = {
  done: (state, server, task, end, report, wallTime) => {
    const { step } = task
    server.consecutiveFailures = 0
    const run = server.run(end.task, end.run)
    if (run !== undefined && run.confirmedAt < report.receivedAt) state.recordRunTime(step.job.job.queue, report.receivedAt - run.confirmedAt)
    if (run !== undefined) state.speeds.noteDone(server, run, report)
    if (step.specification.isLasting || task.isDone) return
    step.complete(task)
    if (step.specification.isGang) stopOtherStarts(state, task, end.run)
    else requestStops(state, task, 'done-elsewhere', run)
    completeIfDone(state, step.job, wallTime)
    state.markChanged(step.job)
  },
  failed: (state, server, task, end, report, wallTime) => {
    const { step } = task
    server.consecutiveFailures += 1
    server.lastFailureAt = report.receivedAt
    stopRestOfGang(state, task, end.run)
    if (step.specification.isLasting || task.isDone || !step.job.isOpen) return
    step.addFailure(task, end.run)
    const attempts = state.termsOf(step.job)?.attempts ?? Infinity
    if (step.failuresOf(task) >= attempts) endJob(state, step.job, 'failed', 'job-failed', wallTime)
    state.markChanged(step.job)
  },
  stopped: (state, server, task, end, report) => {
    const sentAt = server.run(end.task, end.run)?.firstStopSentAt
    if (sentAt !== undefined) state.recordStopTime(report.receivedAt - sentAt)
    stopRestOfGang(state, task, end.run)
  },
  lapsed: (state, _server, task, end) => stopRestOfGang(state, task, end.run),
  broken: (state, _server, task, end) => stopRestOfGang(state, task, end.run),
  alone: (state, _server, task, end) => stopRestOfGang(state, task, end.run)
}

function applyEnd (state: PlannerState, server: Server, end: ListedEnd, report: ServerReport, wallTime: number): void {
  const task = state.task(end.task)
  const run = server.run(end.task, end.run)
  state.recordEvent({ type: 'task-ended', task: end.task, run: end.run, server: server.id, how: end.how })
  if (task !== undefined) {
    if (end.checkpoint !== '') task.checkpoint = end.checkpoint
    END_HANDLERS[end.how](state, server, task, end, report, wallTime)
  }
  if (run !== undefined) {
    weighEnd(state, run)
    server.remove(run)
    task?.removeRun(run)
  }
  if (task !== undefined) state.release(task)
}

/** Removes a run that is known to have ended, and stops the rest of its gang. */
function removeRun (state: PlannerState, server: Server, run: Run, cause: GoneCause): void {
  server.remove(run)
  if (run.confirmedAt < Infinity) state.recordEvent({ type: 'task-ended', task: run.task, run: run.run, server: server.id, how: 'gone', cause })
  const task = state.task(run.task)
  if (task === undefined) return
  task.removeRun(run)
  // A start that may have crashed its backend server didn't come to nothing.
  if (run.confirmedAt === Infinity && server.missedPolls === 0 && server.restartedAt < run.startSentAt) keepReady(task, run)
  stopRestOfGang(state, task, run.run)
  state.release(task)
}

/** Keeps since when a task, or gang, has been ready of which a start came to nothing; for all members with the first one of their run. */
function keepReady (task: TaskState, { run, readySince }: Run): void {
  const { step } = task
  const isFirst = step.specification.isGang && step.unbegunRun !== run
  if (isFirst) step.unbegunRun = run
  for (const member of isFirst ? step.knownTasks : [task]) member.readySince = readySince
}

/** Notes that a run hasn't begun which may have been counted as lost in a restart. */
function noteNeverBegun (state: PlannerState, server: Server, run: Run): void {
  correctLoss(state, server, run)
  const task = state.task(run.task)
  if (task !== undefined) keepReady(task, run)
}

/** Remembers a start that is given up, and may still arrive in a later incarnation of its backend server. */
function revokeStart (state: PlannerState, server: Server, run: Run): void {
  server.revokedStarts.add(run)
  state.task(run.task)?.addLateServer(server.id, run.address)
}

/** Removes a run that has ended or can't begin in this incarnation of its backend server. */
function removeEnded (state: PlannerState, server: Server, run: Run, cause: GoneCause): void {
  if (run.confirmedAt === Infinity) revokeStart(state, server, run)
  if (server.missedPolls === 0) weighEnd(state, run)
  removeRun(state, server, run, cause)
}

/**
 * Applies a restart of a backend server. The new incarnation has none of the earlier runs, except
 * those that it lists, but starts that weren't confirmed may still reach it, also those whose stop
 * was confirmed.
 *
 * @example
 * applyRestart(state, server, entry.incarnation, 'registry', { now, wallTime })
 */
export function applyRestart (state: PlannerState, server: Server, incarnation: number, source: RestartSource, { now, wallTime }: RoundTimes, listed: readonly ListedRun[] = []): void {
  noteRestart(state, server, incarnation, source, now)
  const isListed = ({ task, run }: Run): boolean => listed.some(entry => entry.task === task && entry.run === run)
  const lost = takeLostRuns(state, server).filter(run => !isListed(run))
  for (const run of [...server.runs.values()]) {
    if (run.confirmedAt < Infinity) removeRun(state, server, run, 'restarted')
    else withStopDue(run)
  }
  server.stops.resend()
  for (const run of server.revokedStarts.take(now)) {
    const task = state.task(run.task)
    if (task === undefined) delete run.step
    else run.step = task.step
    server.add(run)
    task?.addRun(run)
  }
  server.restart(incarnation, now)
  countLostRuns(state, server, lost, { now, wallTime })
}

function noteRestart (state: PlannerState, { id, entry, missedPolls, lastAnswerAt, runs }: Server, incarnation: number, source: RestartSource, now: number): void {
  const dropped = [...runs.values()].filter(run => run.confirmedAt < Infinity)
  const youngest = Math.min(...dropped.map(run => now - run.confirmedAt))
  state.recordEvent({ type: 'server-restarted', server: id, source, earlier: entry.incarnation, incarnation, missedPolls, sinceAnswer: now - lastAnswerAt, dropped: dropped.length, kept: runs.size - dropped.length, ...(dropped.length === 0 ? {} : { youngest }) })
}

/**
 * Removes the runs of an unreachable backend server after all its leases have expired.
 *
 * @example
 * dropExpired(state, server, now)
 */
export function dropExpired (state: PlannerState, server: Server, now: number): void {
  if (server.missedPolls === 0 || server.leasesExpiredBy > now || server.runs.size === 0) return
  state.missingRuns.add(server, mayExecute(server), ({ task }) => state.task(task)?.step.job.isOpen === true)
  const runs = [...server.runs.values()]
  state.recordEvent({ type: 'server-leases-expired', server: server.id, missedPolls: server.missedPolls, sinceAnswer: now - server.lastAnswerAt, runs: runs.length, unconfirmed: runs.filter(run => run.confirmedAt === Infinity).length })
  for (const run of runs) removeEnded(state, server, run, 'expired')
}

/**
 * Removes the runs of a backend server that has ended, since another one has answered at its address. Starts that weren't
 * confirmed may still arrive if it restarts under its id.
 *
 * @example
 * dropReplaced(state, server, { now, wallTime })
 */
export function dropReplaced (state: PlannerState, server: Server, times: RoundTimes): void {
  if (server.runs.size === 0 || !state.recovery.isReplaced(server)) return
  server.noteReplacement(times.now)
  const lost = takeLostRuns(state, server)
  for (const run of [...server.runs.values()]) {
    if (run.confirmedAt === Infinity) revokeStart(state, server, run)
    removeRun(state, server, run, 'replaced')
  }
  countLostRuns(state, server, lost, times)
}

type StartHandler = (state: PlannerState, server: Server, run: Run, now: number) => void

const notStarted: StartHandler = (state, server, run) => removeRun(state, server, run, 'unlisted')

const START_HANDLERS: Readonly<Record<StartOutcome, StartHandler>> = {
  unsent: notStarted,
  expired: notStarted,
  unreached: (state, server, run, now) => {
    server.unansweredStartAt = now
    removeRun(state, server, run, 'unlisted')
  },
  started: (state, _server, run, now) => {
    run.isAnswered = true
    confirmStart(state, run, now)
    run.progressedAt = now
  },
  'no-room': (state, server, run) => {
    server.hasRefusedForCapacity = true
    removeRun(state, server, run, 'unlisted')
  },
  unhealthy: (state, server, run, now) => {
    server.consecutiveFailures += 1
    server.lastFailureAt = now
    removeRun(state, server, run, 'unlisted')
  },
  // Only the answer may be lost: the next poll shows whether the run exists.
  unanswered: (state, server, run, now) => {
    if (run.confirmedAt < Infinity) return
    server.stops.noteUnconfirmed(run)
    run.state = 'unconfirmed'
    run.unansweredAt = now
    state.unsettledRuns.add(run)
  },
  fenced: notStarted,
  outdated: notStarted,
  late: notStarted,
  invalid: notStarted,
  'other-life': (state, server, run) => {
    server.hasOtherIncarnation = true
    removeRun(state, server, run, 'unlisted')
  },
  'no-ticket': (state, server, run) => {
    state.task(run.task)?.step.advice.tickets.delete(server.id)
    removeRun(state, server, run, 'unlisted')
  }
}

/** What an outcome shows of the calls that the owner can make; any other one is an answer. */
const START_LIMIT_EFFECTS: Readonly<Partial<Record<StartOutcome, (state: PlannerState, now: number) => void>>> = {
  unsent: () => {},
  expired: (state, now) => state.startLimit.noteExpired(now),
  unreached: (state, now) => state.startLimit.noteExpired(now),
  unanswered: (state, now) => state.startLimit.noteExpired(now)
}

/**
 * Applies the outcome of a start command.
 *
 * @example
 * applyStartOutcome(state, server.id, task, run, 'started', now)
 */
export function applyStartOutcome (state: PlannerState, id: ServerId, task: TaskName, number: RunNumber, outcome: StartOutcome, now: number): void {
  const server = state.servers.get(id)
  const run = server?.run(task, number)
  const effect = START_LIMIT_EFFECTS[outcome]
  if (effect !== undefined) effect(state, now)
  else state.startLimit.noteAnswered()
  if (server === undefined || run === undefined) return
  // The incarnation that has answered is gone, with the run if it has begun.
  if (run.incarnation !== server.entry.incarnation && outcome !== 'unanswered') {
    removeRun(state, server, run, 'restarted')
    if (outcome !== 'started') noteNeverBegun(state, server, run)
    return
  }
  if (effect === undefined) server.answeredStartAt = now
  START_HANDLERS[outcome](state, server, run, now)
}

/**
 * Applies the outcome of a stop command. The run is removed when the next poll no longer lists it.
 *
 * @example
 * applyStopOutcome(state, command, 'stopped', now)
 */
export function applyStopOutcome (state: PlannerState, { server: id, incarnation, task, run: number }: StopCommand, outcome: StopOutcome, now: number): void {
  const server = state.servers.get(id)
  const run = server?.run(task, number)
  if (server === undefined || run === undefined || outcome !== 'stopped' || incarnation !== server.entry.incarnation) return
  run.isStopConfirmed = true
  run.stopConfirmedAt = now
  server.stops.noteConfirmed(run)
}
