/** Free capacity during one round of decisions: a copy that placements are taken from. */
import { addCapacity, timesFitting, type Capacity } from './capacity.js'
import type { StepState } from './job-state.js'
import type { ServerId } from './ids.js'
import type { Server } from './server.js'

/** One backend server in a round. */
export interface Place {
  readonly server: Server
  free: Capacity
  /** Tasks of each step, in one occurrence, that are there. */
  readonly tasksOf: Map<StepState, number>
}

/** The backend servers that may get work, with what is left of each. */
export class Room {
  readonly places: readonly Place[]
  readonly #byServer: ReadonlyMap<ServerId, Place>

  constructor (places: readonly Place[]) {
    this.places = places
    this.#byServer = new Map(places.map(place => [place.server.id, place]))
  }

  /** The place of a backend server that takes part. */
  placeOf (server: ServerId): Place | undefined {
    return this.#byServer.get(server)
  }

  /** A copy that trial placements can be taken from. */
  copy (): Room {
    return new Room(this.places.map(place => ({ ...place, tasksOf: new Map(place.tasksOf) })))
  }

  /** Takes one task's need from a place. */
  take (place: Place, step: StepState): void {
    place.free = addCapacity(place.free, countedNeed(step), -1)
    place.tasksOf.set(step, (place.tasksOf.get(step) ?? 0) + 1)
  }
}

/**
 * What a task of a step takes of a backend server's capacity: filling tasks take no processor.
 *
 * @example
 * countedNeed(step).processor // 0 for a step that fills
 */
export function countedNeed (step: StepState): Capacity {
  const { need, fillsIdleProcessor } = step.specification
  return fillsIdleProcessor ? { ...need, processor: 0 } : need
}

/**
 * How many tasks of a step a place can take.
 *
 * @example
 * roomFor(place, step, 5)
 */
export function roomFor (place: Place, step: StepState, limit: number): number {
  const { requiredLabel, mostPerServer } = step.specification
  if (place.server.entry.pool !== step.job.job.pool) return 0
  if (requiredLabel !== undefined && !place.server.entry.labels.includes(requiredLabel)) return 0
  const most = mostPerServer === undefined ? limit : Math.min(limit, mostPerServer - (place.tasksOf.get(step) ?? 0))
  return timesFitting(place.free, countedNeed(step), most)
}
