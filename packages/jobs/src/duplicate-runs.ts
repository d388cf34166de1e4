/** Stops all runs of a task but one if several of them are known. */
import type { RunNumber } from './ids.js'
import type { Run, Server } from './server.js'
import type { PlannerState } from './state.js'
import { requestStop } from './stops.js'
import type { TaskState } from './task-state.js'

/**
 * How a run became known: its start was answered, a list has confirmed it, a list has shown it though this owner had no such run,
 * or only its start was sent.
 */
export type RunOrigin = 'answer' | 'list' | 'adopted' | 'unconfirmed'

/** The members of a gang with one run number, or a single run. */
type Start = readonly Run[]

/**
 * Stops the other runs of a task if this one, which was listed, is not the only one that goes on. In a gang, whole starts are kept or stopped.
 *
 * A run on a backend server that misses polls, is held or drains is stopped even if it is further: it may have ended, or its lease isn't
 * renewed, or it has to leave.
 *
 * @example
 * stopDuplicates(state, run)
 */
export function stopDuplicates (state: PlannerState, run: Run): void {
  const task = state.task(run.task)
  if (task === undefined || !mayHaveDuplicate(task, run)) return
  const [kept, ...others] = startsOf(task).sort((left, right) => compareStarts(state, left, right))
  for (const other of others) stopStart(state, other, kept!)
}

function mayHaveDuplicate (task: TaskState, run: Run): boolean {
  if (task.runs.size < 2 || task.isDone || run.stopReason !== undefined || task.step.specification.allowsCopies) return false
  const { isGang } = task.step.specification
  for (const other of task.runs) if (other !== run && other.stopReason === undefined && !(isGang && other.run === run.run)) return true
  return false
}

/** Returns the starts of a task, or of its gang, that may be executing. */
function startsOf (task: TaskState): Start[] {
  if (!task.step.specification.isGang) return [...task.runs].map(run => [run])
  const starts = new Map<RunNumber, Run[]>()
  for (const { runs } of task.step.knownTasks) {
    for (const run of runs) {
      const members = starts.get(run.run)
      if (members === undefined) starts.set(run.run, [run])
      else members.push(run)
    }
  }
  return [...starts.values()]
}

/**
 * Orders starts: first one that isn't being stopped, has only members whose backend servers keep them, is the furthest, has the
 * most confirmed members, is the earliest. A gang with progress is complete, so that counts more than the members that are known.
 */
function compareStarts (state: PlannerState, left: Start, right: Start): number {
  const isStopping = (start: Start): number => start.some(({ stopReason }) => stopReason !== undefined) ? 1 : 0
  const mayEndEarly = (start: Start): number => start.some(({ server }) => !keepsRuns(state.servers.get(server))) ? 1 : 0
  const percent = (start: Start): number => Math.max(...start.map(run => run.percent))
  const confirmed = (start: Start): number => start.filter(({ confirmedAt }) => confirmedAt < Infinity).length
  return isStopping(left) - isStopping(right) || mayEndEarly(left) - mayEndEarly(right) || percent(right) - percent(left) || confirmed(right) - confirmed(left) || left[0]!.run - right[0]!.run
}

function keepsRuns (server: Server | undefined): boolean {
  return server !== undefined && server.missedPolls === 0 && !server.isHeld && !server.entry.isDraining
}

/** Stops a start, and reports it unless members of it are being stopped for the same reason. */
function stopStart (state: PlannerState, start: Start, kept: Start): void {
  const isKnown = start.some(({ stopReason }) => stopReason === 'duplicate')
  const members = start.filter(({ stopReason }) => stopReason === undefined)
  for (const member of members) requestStop(state, member, 'duplicate')
  const [first] = members
  if (first === undefined || isKnown) return
  const keptRun = kept.find(({ task }) => task === first.task) ?? kept[0]!
  state.recordEvent({ type: 'duplicate-run', task: first.task, run: first.run, server: first.server, known: originOf(first), keptRun: keptRun.run, keptServer: keptRun.server, keptKnown: originOf(keptRun), members: members.length })
}

function originOf ({ confirmedAt, isAdopted, isAnswered }: Run): RunOrigin {
  if (confirmedAt === Infinity) return 'unconfirmed'
  if (isAdopted === true) return 'adopted'
  return isAnswered === true ? 'answer' : 'list'
}
