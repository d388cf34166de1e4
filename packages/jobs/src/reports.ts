/** What backend servers say of their runs, taken into the state. */
import type { StartOutcome, StopOutcome, StopReason } from './command.js'
import { NO_CAPACITY } from './capacity.js'
import type { RunNumber, ServerId, TaskName } from './ids.js'
import type { JobState, TaskState } from './job-state.js'
import { countedNeed } from './room.js'
import type { ListedEnd, ListedRun, Run, RunEnd, Server, ServerReport } from './server.js'
import type { PlannerState } from './state.js'

/**
 * Takes an answer to a look. Runs that it doesn't list any more are gone.
 *
 * @example
 * takeReport(state, server, report, Date.now())
 */
export function takeReport (state: PlannerState, server: Server, report: ServerReport, wallTime: number): void {
  if (report.life !== server.entry.life) takeNewLife(state, server, report.life, report.receivedAt)
  server.hear(report.clock, report.receivedAt)
  server.hasRefusedRoom = false
  const listed = new Set<Run>()
  for (const entry of report.running) {
    listed.add(takeRunning(state, server, entry, report.receivedAt))
  }
  for (const end of report.ended) {
    if (end.position > server.heardPosition) takeEnd(state, server, end, report, wallTime)
  }
  const last = report.ended.at(-1)
  if (last !== undefined && last.position > server.heardPosition) {
    server.heardPosition = last.position
    state.noteLater(server, last.position)
  }
  for (const run of [...server.runs.values()]) {
    if (!listed.has(run) && isGone(run, report.sentAt)) dropRun(state, server, run)
  }
}

/** A run that isn't listed: gone if it was there before the look, or can't come any more. */
function isGone (run: Run, sentAt: number): boolean {
  return run.confirmedAt < sentAt || (run.isStopConfirmed && run.stopConfirmedAt < sentAt)
}

function takeRunning (state: PlannerState, server: Server, entry: ListedRun, now: number): Run {
  const run = server.run(entry.task, entry.run) ?? adopt(state, server, entry, now)
  if (run.state === 'ordered') run.state = 'running'
  run.confirmedAt = Math.min(run.confirmedAt, now)
  if (entry.percent > run.percent) {
    run.percent = entry.percent
    run.percentAt = now
  }
  if (entry.checkpoint !== '') {
    run.checkpoint = entry.checkpoint
    const task = state.task(entry.task)
    if (task !== undefined) saveCheckpoint(task, entry.checkpoint)
  }
  return run
}

/** A run that an earlier owner started: it goes on if its task is still wanted. */
function adopt (state: PlannerState, server: Server, { task: name, run: number, percent, checkpoint }: ListedRun, now: number): Run {
  const task = state.task(name)
  const run: Run = {
    task: name,
    run: number,
    server: server.id,
    need: task === undefined ? NO_CAPACITY : countedNeed(task.step),
    state: 'running',
    orderedAt: now,
    confirmedAt: now,
    isStopConfirmed: false,
    stopConfirmedAt: Infinity,
    percent,
    percentAt: now,
    checkpoint,
    stopSentAt: -Infinity
  }
  server.add(run)
  if (task === undefined) return stopRun(run, 'unknown-job')
  task.runs.add(run)
  const { job } = task.step
  if (job.phase === 'queued') job.phase = 'running'
  if (task.isDone) return stopRun(run, 'done-elsewhere')
  return job.isOpen ? run : stopRun(run, job.phase === 'canceled' ? 'cancelled' : 'job-failed')
}

function saveCheckpoint (task: TaskState, checkpoint: string): void {
  const sharing = task.step.specification.isGang ? task.step.tasks : [task]
  for (const each of sharing) each.checkpoint = checkpoint
}

type EndHandler = (state: PlannerState, server: Server, task: TaskState, end: ListedEnd, report: ServerReport, wallTime: number) => void

const END_HANDLERS: Readonly<Record<RunEnd, EndHandler>> = {
  done: (state, server, task, end, report, wallTime) => {
    const { step } = task
    server.failures = 0
    const run = server.run(end.task, end.run)
    if (run !== undefined && run.confirmedAt < report.receivedAt) state.learnRun(step.job.job.queue, report.receivedAt - run.confirmedAt)
    if (step.specification.isLasting || task.isDone) return
    step.complete(task)
    if (!step.specification.isGang) stopRuns(task, 'done-elsewhere', run)
    finishIfDone(state, step.job, wallTime)
    state.touch(step.job)
  },
  failed: (state, server, task, end, report, wallTime) => {
    const { step } = task
    server.failures += 1
    server.lastFailureAt = report.receivedAt
    breakGang(task, end.run)
    if (step.specification.isLasting || task.isDone || !step.job.isOpen) return
    task.failedRuns.add(end.run)
    const attempts = state.queueOf(step.job)?.attempts ?? Infinity
    if (step.failuresOf(task) >= attempts) close(state, step.job, 'failed', 'job-failed', wallTime)
    state.touch(step.job)
  },
  stopped: (_state, _server, task, end) => breakGang(task, end.run),
  lapsed: (_state, _server, task, end) => breakGang(task, end.run),
  broken: (_state, _server, task, end) => breakGang(task, end.run),
  alone: (_state, _server, task, end) => breakGang(task, end.run)
}

function takeEnd (state: PlannerState, server: Server, end: ListedEnd, report: ServerReport, wallTime: number): void {
  const task = state.task(end.task)
  const run = server.run(end.task, end.run)
  state.find({ type: 'task-ended', task: end.task, run: end.run, server: server.id, how: end.how })
  if (task !== undefined) {
    if (end.checkpoint !== '') saveCheckpoint(task, end.checkpoint)
    END_HANDLERS[end.how](state, server, task, end, report, wallTime)
  }
  if (run === undefined) return
  server.remove(run)
  task?.runs.delete(run)
}

/** The members of a gang end together: the rest of the run is stopped. */
function breakGang (task: TaskState, number: RunNumber): void {
  if (!task.step.specification.isGang) return
  for (const member of task.step.tasks) {
    for (const run of member.runs) if (run.run === number) stopRun(run, 'gang-incomplete')
  }
}

function finishIfDone (state: PlannerState, job: JobState, wallTime: number): void {
  if (job.isOpen && job.isDone) finish(state, job, 'completed', wallTime)
}

/**
 * Gives a job its final phase and stops what still runs of it.
 *
 * @example
 * close(state, job, 'canceled', 'cancelled', Date.now())
 */
export function close (state: PlannerState, job: JobState, phase: 'failed' | 'canceled', reason: StopReason, wallTime: number): void {
  finish(state, job, phase, wallTime)
  for (const run of job.runs) stopRun(run, reason)
}

function finish (state: PlannerState, job: JobState, phase: 'completed' | 'failed' | 'canceled', wallTime: number): void {
  job.phase = phase
  job.finishedAt = wallTime
  state.find({ type: 'job-ended', job: job.job.id, phase, milliseconds: wallTime - job.job.acceptedAt })
}

/**
 * Marks a run as to be stopped; the next round sends the stop.
 *
 * @example
 * stopRun(run, 'reclaimed')
 */
export function stopRun (run: Run, reason: StopReason): Run {
  if (run.state === 'stopping') return run
  run.state = run.state === 'doubtful' ? 'doubtful' : 'stopping'
  run.stopReason ??= reason
  return run
}

function stopRuns (task: TaskState, reason: StopReason, except?: Run): void {
  for (const run of task.runs) if (run !== except) stopRun(run, reason)
}

/** Takes a run away that is known not to be alive; its gang can't go on. */
function dropRun (state: PlannerState, server: Server, run: Run): void {
  server.remove(run)
  if (run.confirmedAt < Infinity) state.find({ type: 'task-ended', task: run.task, run: run.run, server: server.id, how: 'gone' })
  const task = state.task(run.task)
  if (task === undefined) return
  task.runs.delete(run)
  breakGang(task, run.run)
}

/**
 * Takes that a backend server has another life, which knows nothing of the runs before;
 * orders without an answer may still reach it.
 *
 * @example
 * takeNewLife(state, server, entry.life, now)
 */
export function takeNewLife (state: PlannerState, server: Server, life: number, now: number): void {
  const gone = [...server.runs.values()].filter(run => run.confirmedAt < Infinity)
  server.restart(life, now)
  for (const run of gone) dropRun(state, server, run)
}

/**
 * Drops the runs of a backend server whose leases have all lapsed unreached.
 *
 * @example
 * dropLapsed(state, server, now)
 */
export function dropLapsed (state: PlannerState, server: Server, now: number): void {
  if (server.missedLooks === 0 || server.lapsedBy > now) return
  for (const run of [...server.runs.values()]) dropRun(state, server, run)
}

type StartHandler = (state: PlannerState, server: Server, run: Run, now: number) => void

const notStarted: StartHandler = (state, server, run) => dropRun(state, server, run)

const START_HANDLERS: Readonly<Record<StartOutcome, StartHandler>> = {
  started: (state, _server, run, now) => {
    if (run.state === 'ordered') run.state = 'running'
    run.confirmedAt = Math.min(run.confirmedAt, now)
    run.percentAt = now
    const job = state.task(run.task)?.step.job
    if (job?.phase === 'queued') job.phase = 'running'
  },
  'no-room': (state, server, run) => {
    server.hasRefusedRoom = true
    dropRun(state, server, run)
  },
  unhealthy: (state, server, run, now) => {
    server.failures += 1
    server.lastFailureAt = now
    dropRun(state, server, run)
  },
  unanswered: (state, _server, run) => {
    run.state = 'doubtful'
    run.stopReason ??= 'unanswered'
    const task = state.task(run.task)
    if (task !== undefined) breakGang(task, run.run)
  },
  fenced: notStarted,
  outdated: notStarted,
  late: notStarted,
  invalid: notStarted,
  'other-life': notStarted,
  'no-ticket': (state, server, run) => {
    state.task(run.task)?.step.advice.tickets.delete(server.id)
    dropRun(state, server, run)
  }
}

/**
 * Takes the answer to a start.
 *
 * @example
 * takeStartOutcome(state, server.id, task, run, 'started', now)
 */
export function takeStartOutcome (state: PlannerState, id: ServerId, task: TaskName, number: RunNumber, outcome: StartOutcome, now: number): void {
  const server = state.servers.get(id)
  const run = server?.run(task, number)
  if (server !== undefined && run !== undefined) START_HANDLERS[outcome](state, server, run, now)
}

/**
 * Takes the answer to a stop. The run is gone when the next look doesn't list it.
 *
 * @example
 * takeStopOutcome(state, server.id, task, run, 'stopped', now)
 */
export function takeStopOutcome (state: PlannerState, id: ServerId, task: TaskName, number: RunNumber, outcome: StopOutcome, now: number): void {
  const run = state.servers.get(id)?.run(task, number)
  if (run === undefined || outcome !== 'stopped') return
  run.isStopConfirmed = true
  run.stopConfirmedAt = now
}
