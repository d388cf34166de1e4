/** A scheduling round: decides which runs are stopped, and which tasks are started on which backend servers. */
import { CallWindow } from './call-window.js'
import type { AdviseCommand, Command, StartCommand } from './command.js'
import { evacuateDraining } from './draining.js'
import { MAXIMUM_CALLS_PER_SERVER, START_SETTLEMENT_MILLISECONDS, STOPS_PER_UNREACHABLE_SERVER, STOP_RETRY_MILLISECONDS, STUCK_MILLISECONDS, STUCK_PERCENT_TIME_FACTOR, WORK_DONE_PERCENT } from './limits.js'
import { PlacementRound, type RoundTimes } from './placement-round.js'
import { failExhausted } from './job-end.js'
import { determineCauses } from './lost-runs.js'
import type { ServerId } from './ids.js'
import { giveUpStart } from './reports.js'
import type { Run, Server } from './server.js'
import type { PlannerState } from './state.js'
import type { StepState } from './step-state.js'
import { requestStop } from './stops.js'

/**
 * Runs one round. Started runs are in the state at once; the outcomes of the commands are reported later.
 *
 * @example
 * for (const command of decide(state, { now, wallTime })) perform(command)
 */
export function decide (state: PlannerState, times: RoundTimes, mayStart = true): readonly Command[] {
  state.loads.noteRunning(state.openJobs)
  failExhausted(state, times.wallTime)
  determineCauses(state, times)
  for (const server of state.servers.values()) {
    evacuateDraining(state, server, times.now)
    stopStuck(state, server, times.now)
  }
  giveUpUnsettled(state, times.now)
  const commands: (StartCommand | AdviseCommand)[] = []
  if (mayStart) new PlacementRound(state, times, commands).place()
  if (mayStart) state.evacuations.moves.plan(state, times.now)
  state.idleJobs.check(state, times)
  state.speedReport.check(state, times.now)
  return [...dueStops(state, times.now), ...commands]
}

/**
 * Stops runs without progress: their backend server may be faulty, or they are slower than others. So the
 * next run of the task gets twice the time.
 */
function stopStuck (state: PlannerState, server: Server, now: number): void {
  // Runs that seem to stand still may have ended behind a list that was cut.
  if (server.missedPolls > 0 || server.hasMoreEnds || now < server.nextStuckCheckAt) return
  // Runs that begin or progress from now on can't be stuck before this.
  server.nextStuckCheckAt = now + STUCK_MILLISECONDS
  for (const run of server.runs.values()) {
    const task = state.task(run.task)
    if (run.percent >= WORK_DONE_PERCENT || task?.step.specification.isLasting !== false) continue
    const percentMilliseconds = run.percent === 0 ? 0 : (run.progressedAt - run.confirmedAt) / run.percent
    const stallLimit = Math.max(STUCK_MILLISECONDS * 2 ** task.stalls, STUCK_PERCENT_TIME_FACTOR * percentMilliseconds)
    if (now - run.progressedAt < stallLimit) {
      server.nextStuckCheckAt = Math.min(server.nextStuckCheckAt, run.progressedAt + stallLimit)
      continue
    }
    if (run.state !== 'running') continue
    if (isServerSuspect(task.step, server)) {
      server.consecutiveFailures += 1
      server.lastFailureAt = now
    }
    task.stalls += 1
    task.step.stalledOn.add(server.id)
    requestStop(state, run, 'stuck')
  }
}

/** False if the tasks of a step stand still on other backend servers too, and have progressed on none: then they are slow themselves. */
function isServerSuspect ({ stalledOn, hasDone, progressedOn }: StepState, server: Server): boolean {
  return !hasOther(stalledOn, server) || hasDone || hasOther(progressedOn, server)
}

function hasOther (servers: ReadonlySet<ServerId>, { id }: Server): boolean {
  return servers.size > (servers.has(id) ? 1 : 0)
}

/** Gives up starts without an answer that no poll has settled in time. */
function giveUpUnsettled (state: PlannerState, now: number): void {
  for (const run of state.unsettledRuns) {
    const isSettled = run.confirmedAt < Infinity || state.servers.get(run.server)?.run(run.task, run.run) !== run
    if (!isSettled && now - run.unansweredAt! <= START_SETTLEMENT_MILLISECONDS) continue
    state.unsettledRuns.delete(run)
    if (!isSettled) giveUpStart(state, run)
  }
}

/** The stops that are to be sent, or sent again, as many as may be under way. */
function dueStops (state: PlannerState, now: number): readonly Command[] {
  const stops: Command[] = []
  const underWay = new CallWindow()
  const due: Run[] = []
  for (const { id, stops: pending } of state.servers.values()) {
    if (pending.size === 0) continue
    for (const run of pending.sent) {
      if (now - run.stopSentAt < STOP_RETRY_MILLISECONDS) underWay.add(id)
      else due.push(run)
    }
    due.push(...pending.unsent(MAXIMUM_CALLS_PER_SERVER))
  }
  // Those that were never sent come first, then those that have waited longest for an answer.
  due.sort((left, right) => left.stopSentAt === right.stopSentAt ? 0 : left.stopSentAt - right.stopSentAt)
  for (const run of due) {
    const server = state.servers.get(run.server)!
    const isUnreachable = server.missedPolls > 0
    if (!underWay.hasRoomFor(run.server, isUnreachable ? STOPS_PER_UNREACHABLE_SERVER : MAXIMUM_CALLS_PER_SERVER)) continue
    underWay.add(run.server)
    run.stopSentAt = now
    server.stops.noteSent(run)
    run.firstStopSentAt ??= now
    stops.push({ type: 'stop', server: run.server, incarnation: server.entry.incarnation, task: run.task, run: run.run, reason: run.stopReason ?? 'unanswered', ...(run.stoppedFor === undefined ? {} : { stoppedFor: run.stoppedFor }) })
  }
  return stops
}
