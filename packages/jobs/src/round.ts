/** One round of decisions: what is stopped, and what starts where. */
import type { AdviseCommand, Command, StartCommand } from './command.js'
import { EVACUATION_MILLISECONDS, STOP_AGAIN_MILLISECONDS, STUCK_MILLISECONDS, STUCK_PERCENTS, WORK_DONE_PERCENT } from './limits.js'
import { PlacementRound, type RoundTimes } from './placement-round.js'
import { stopRun } from './reports.js'
import type { Server } from './server.js'
import type { PlannerState } from './state.js'

/**
 * Decides once. What it starts is in the state already; its outcome is told later.
 *
 * @example
 * for (const command of decide(state, { now, wallTime })) perform(command)
 */
export function decide (state: PlannerState, times: RoundTimes): readonly Command[] {
  for (const server of state.servers.values()) {
    stopOnLeaving(server)
    stopStuck(state, server, times.now)
  }
  const commands: (StartCommand | AdviseCommand)[] = []
  new PlacementRound(state, times, commands).place()
  return [...stopsDue(state, times.now), ...commands]
}

/** A backend server that is about to leave gives its work back while that can be heard. */
function stopOnLeaving (server: Server): void {
  const { isLeaving, remainingMilliseconds } = server.entry
  if (!isLeaving || remainingMilliseconds === undefined || remainingMilliseconds > EVACUATION_MILLISECONDS) return
  for (const run of server.runs.values()) stopRun(run, 'leaving')
}

/** A task that stands still is stopped: its backend server may be at fault. */
function stopStuck (state: PlannerState, server: Server, now: number): void {
  if (server.missedLooks > 0) return
  for (const run of server.runs.values()) {
    const percentMilliseconds = run.percent === 0 ? 0 : (run.percentAt - run.confirmedAt) / run.percent
    const patience = Math.max(STUCK_MILLISECONDS, STUCK_PERCENTS * percentMilliseconds)
    if (run.state !== 'running' || run.percent >= WORK_DONE_PERCENT || now - run.percentAt < patience) continue
    if (state.task(run.task)?.step.specification.isLasting !== false) continue
    server.failures += 1
    server.lastFailureAt = now
    stopRun(run, 'stuck')
  }
}

function stopsDue (state: PlannerState, now: number): readonly Command[] {
  const stops: Command[] = []
  for (const server of state.servers.values()) {
    for (const run of server.runs.values()) {
      const isToStop = run.state === 'stopping' || run.state === 'doubtful'
      if (!isToStop || run.isStopConfirmed || now - run.stopSentAt < STOP_AGAIN_MILLISECONDS) continue
      run.stopSentAt = now
      stops.push({ type: 'stop', server: server.id, task: run.task, run: run.run, reason: run.stopReason ?? 'unanswered' })
    }
  }
  return stops
}
