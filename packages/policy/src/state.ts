/** What the policy knows: settings, capacity, waiting and running jobs. */
import type { Member, RequestId } from '@cornelgauge/model'
import { Map as PersistentMap } from 'immutable'
import { NO_CAPACITY, type Capacity } from './capacity.js'
import { NOTHING_WAITING, type Waiting } from './queue.js'
import type { Job, PolicySettings, PolicyState, ServerDescription } from './scheduler.js'

/** A running job, and where it runs. */
export interface RunningJob {
  readonly job: Job
  readonly members: readonly Member[]
  readonly startedAt: number
}

/** The inside of a `PolicyState`. */
export interface ScheduleState extends PolicyState {
  readonly capacity: Capacity
  /** Each backend server ever seen, also the lost ones, to judge whether a shape is possible at all. */
  readonly known: PersistentMap<string, ServerDescription>
  readonly waiting: Waiting
  readonly running: PersistentMap<RequestId, RunningJob>
}

/** Looks inside a state. */
export function inside (state: PolicyState): ScheduleState {
  return state as ScheduleState
}

/**
 * A policy that knows its settings and nothing else.
 *
 * @example
 * const state = createPolicy({ kinds: [], workspaces: [], reclaimMilliseconds: 5000, seed: 1 })
 */
export function createPolicy (settings: PolicySettings): PolicyState {
  const state: ScheduleState = { settings, capacity: NO_CAPACITY, known: PersistentMap(), waiting: NOTHING_WAITING, running: PersistentMap() }
  return state
}
