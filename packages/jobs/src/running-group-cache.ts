/** Keeps which runs of a step are stopped together, until one of them begins, ends or is to be stopped. */
import { addCapacity, type Capacity } from './capacity.js'
import type { ServerId } from './ids.js'
import type { Run } from './server.js'
import type { StepState } from './step-state.js'
import type { TaskState } from './task-state.js'

/** A run that goes on, with its task. */
export interface GroupMember {
  readonly task: TaskState
  readonly run: Run
  readonly need: Capacity
}

/** What stopping a group frees on one backend server. */
export interface ServerNeed {
  readonly server: ServerId
  readonly need: Capacity
}

/** Runs that are stopped together: those of a gang, or a single one. */
export interface RunningGroup {
  readonly members: readonly GroupMember[]
  /** One for each backend server. */
  readonly needs: readonly ServerNeed[]
}

interface CachedGroups {
  /** `runChanges` of the step when they were listed. */
  readonly runChanges: number
  /** All runs of the step, and whether each went on. */
  readonly runs: readonly Run[]
  readonly wereActive: readonly boolean[]
  readonly groups: readonly RunningGroup[]
}

/**
 * The running groups of all steps. Those of a step are listed anew only after a change of its runs, so that rounds
 * don't list all runs of the pool again and again.
 *
 * @example
 * for (const { members } of cache.of(step)) console.log(members.length)
 */
export class RunningGroupCache {
  readonly #groups = new WeakMap<StepState, CachedGroups>()

  /** Returns the running groups of a step. */
  of (step: StepState): readonly RunningGroup[] {
    const known = this.#groups.get(step)
    if (known !== undefined && isCurrent(known, step)) return known.groups
    const listed = listGroups(step)
    this.#groups.set(step, listed)
    return listed.groups
  }
}

function isCurrent ({ runChanges, runs, wereActive }: CachedGroups, step: StepState): boolean {
  if (runChanges !== step.runChanges) return false
  for (let index = 0; index < runs.length; index += 1) if (isActive(runs[index]!) !== wereActive[index]) return false
  return true
}

function isActive ({ state }: Run): boolean {
  return state === 'running' || state === 'starting'
}

function listGroups (step: StepState): CachedGroups {
  const runs: Run[] = []
  const members: GroupMember[] = []
  for (const task of step.knownTasks) {
    for (const run of task.runs) {
      runs.push(run)
      if (isActive(run)) members.push({ task, run, need: run.need })
    }
  }
  return { runChanges: step.runChanges, runs, wereActive: runs.map(isActive), groups: groupsOf(members, step.specification.isGang) }
}

function groupsOf (members: readonly GroupMember[], isGang: boolean): readonly RunningGroup[] {
  if (members.length === 0) return []
  return (isGang ? [members] : members.map(member => [member])).map(group => ({ members: group, needs: needsOf(group) }))
}

/**
 * Sums up what stopping the members of a group frees on each backend server.
 *
 * @example
 * const [{ server, need }] = needsOf(group.members)
 */
export function needsOf (members: readonly GroupMember[]): readonly ServerNeed[] {
  if (members.length === 1) return members.map(({ run: { server }, need }) => ({ server, need }))
  const needs = new Map<ServerId, Capacity>()
  for (const { run, need } of members) {
    const other = needs.get(run.server)
    needs.set(run.server, other === undefined ? need : addCapacity(other, need))
  }
  return [...needs].map(([server, need]) => ({ server, need }))
}
