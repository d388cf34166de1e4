/** The rooms of one round: what is free, and what will be. */
import { addCapacity } from './capacity.js'
import type { StepState } from './job-state.js'
import { UNSOUND_MILLISECONDS } from './limits.js'
import { Room } from './room.js'
import type { Server } from './server.js'
import type { PlannerState } from './state.js'

/**
 * The backend servers that may get work, with what is free of each.
 *
 * @example
 * const room = roomOf(state, now, server => server.free)
 */
export function roomOf (state: PlannerState, now: number, freeOf: (server: Server) => Server['free']): Room {
  const isSound = (server: Server): boolean => !server.isUnsound || now - server.lastFailureAt > UNSOUND_MILLISECONDS
  const servers = [...state.servers.values()].filter(server => server.isUsable && isSound(server))
  return new Room(servers.map(server => ({ server, free: freeOf(server), tasksOf: tasksOn(state, server) })))
}

/**
 * What is free of a backend server once everything that is being stopped has ended.
 *
 * @example
 * const room = roomOf(state, now, futureOf)
 */
export function futureOf (server: Server): Server['free'] {
  let free = server.free
  for (const run of server.runs.values()) if (run.state === 'stopping') free = addCapacity(free, run.need)
  return free
}

/**
 * True if half of the accelerators, or more, are free.
 *
 * @example
 * isMostlyIdle(room)
 */
export function isMostlyIdle (room: Room): boolean {
  const free = room.places.reduce((sum, place) => sum + place.free.accelerators, 0)
  const all = room.places.reduce((sum, place) => sum + place.server.entry.capacity.accelerators, 0)
  return 2 * free >= all
}

/**
 * The places where a step doesn't disturb others, nor they it. Tasks that fill and tasks
 * whose users wait for answers stay apart: how much they disturb nobody knows beforehand.
 *
 * @example
 * apartFromServing(room, step)
 */
export function apartFromServing (room: Room, step: StepState): Room {
  const { fillsIdleProcessor, tailTargetMilliseconds } = step.specification
  const isServing = (other: StepState): boolean => other.specification.tailTargetMilliseconds !== undefined
  const isFilling = (other: StepState): boolean => other.specification.fillsIdleProcessor
  const disturbs = fillsIdleProcessor ? isServing : tailTargetMilliseconds !== undefined ? isFilling : undefined
  if (disturbs === undefined) return room
  return new Room(room.places.filter(place => ![...place.tasksOf.keys()].some(disturbs)))
}

function tasksOn (state: PlannerState, server: Server): Map<StepState, number> {
  const counts = new Map<StepState, number>()
  for (const run of server.runs.values()) {
    const step = state.task(run.task)?.step
    if (step !== undefined) counts.set(step, (counts.get(step) ?? 0) + 1)
  }
  return counts
}
