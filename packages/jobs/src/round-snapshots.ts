/** Takes the capacity snapshots of a round: free capacity now, and after pending stops, without evacuated failure domains. */
import { sumFreeAccelerators } from './capacity.js'
import type { StepState } from './step-state.js'
import { MAXIMUM_REGISTRY_AGE_MILLISECONDS, UNHEALTHY_MILLISECONDS } from './limits.js'
import { CapacitySnapshot } from './capacity-snapshot.js'
import type { Server } from './server.js'
import type { PlannerState } from './state.js'

/**
 * Takes a snapshot of the usable, healthy backend servers and their free capacity.
 *
 * @example
 * const snapshot = snapshotOf(state, now)
 */
export function snapshotOf (state: PlannerState, now: number): CapacitySnapshot {
  const isHealthy = (server: Server): boolean => !server.isUnhealthy || now - server.lastFailureAt > UNHEALTHY_MILLISECONDS
  const isCapacityKnown = capacityCheck(state, now)
  const servers = [...state.servers.values()].filter(server => server.isUsable && !state.evacuations.has(server) && isHealthy(server) && isCapacityKnown(server))
  return new CapacitySnapshot(servers.map(server => ({ server, free: server.free, tasksOf: server.tasksOf, tasksWithoutCheckpoints: server.tasksWithoutCheckpoints })), state.work)
}

/**
 * Takes the snapshot of the same backend servers with the capacity that is free once all runs which are being stopped have ended.
 *
 * @example
 * const afterStops = snapshotAfterStops(snapshotOf(state, now))
 */
export function snapshotAfterStops ({ targets, work }: CapacitySnapshot): CapacitySnapshot {
  return new CapacitySnapshot(targets.map(target => ({ ...target, free: target.server.freeAfterStops })), work)
}

/** Returns a check whether the capacity that is known of a backend server still counts. One that refuses starts beyond its capacity checks it itself. */
function capacityCheck (state: PlannerState, now: number): (server: Server) => boolean {
  const isRegistryCurrent = now - state.registryReadAt <= MAXIMUM_REGISTRY_AGE_MILLISECONDS
  const guardedPools = new Set(state.configuration?.pools.filter(pool => pool.enforcesCapacity).map(pool => pool.name))
  return server => guardedPools.has(server.entry.pool) || (isRegistryCurrent && server.isEntryCurrent)
}

/**
 * True if at least half of the accelerators are free.
 *
 * @example
 * isMostlyIdle(snapshot)
 */
export function isMostlyIdle (snapshot: CapacitySnapshot): boolean {
  const free = sumFreeAccelerators(snapshot.targets.map(target => target.free))
  const all = snapshot.targets.reduce((sum, target) => sum + target.server.entry.capacity.accelerators, 0)
  return 2 * free >= all
}

/**
 * Excludes targets on which best-effort tasks and serving tasks with a tail target would
 * share a backend server: how much they interfere is not known in advance.
 *
 * @example
 * withoutInterference(snapshot, step)
 */
export function withoutInterference (snapshot: CapacitySnapshot, step: StepState): CapacitySnapshot {
  const { fillsIdleProcessor, tailTargetMilliseconds } = step.specification
  const isServing = (other: StepState): boolean => other.specification.tailTargetMilliseconds !== undefined
  const isFilling = (other: StepState): boolean => other.specification.fillsIdleProcessor
  const interferes = fillsIdleProcessor ? isServing : tailTargetMilliseconds !== undefined ? isFilling : undefined
  if (interferes === undefined) return snapshot
  return new CapacitySnapshot(snapshot.targets.filter(target => !target.tasksOf.keySeq().some(interferes)), snapshot.work)
}
