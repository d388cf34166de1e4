import type { BackendServerName } from './ids.js'

/** How close to each other the accelerators of a shape have to be: on one backend server, in one rack, or in neighbouring racks. */
export type Adjacency = 'server' | 'rack' | 'neighbouring-racks'

/** Capacity that one request needs: slots, or accelerators that are close to each other. It is granted in full or not at all. */
export interface Shape {
  /** Slots on one backend server; for a gang, slots on each member. */
  readonly slots: number
  /** Accelerators in total over all members; 0 for work that needs none. */
  readonly accelerators: number
  /** How close to each other the accelerators have to be. */
  readonly adjacency: Adjacency
}

/** One member of a placement: the capacity taken from one backend server. */
export interface PlacementMember {
  readonly server: BackendServerName
  readonly slots: number
  readonly accelerators: number
  /** Incarnation of the backend server; after a restart it has lost its executions and has a new incarnation. */
  readonly incarnation?: string
}

/**
 * Describes a shape in words, for messages to people.
 *
 * @example
 * describeShape({ slots: 1, accelerators: 16, adjacency: 'rack' })
 * // '1 slot, 16 accelerators within one rack'
 */
export function describeShape (shape: Shape): string {
  const slots = `${shape.slots} slot${shape.slots === 1 ? '' : 's'}`
  if (shape.accelerators === 0) return slots
  return `${slots}, ${shape.accelerators} accelerators within ${ADJACENCY_LABELS[shape.adjacency]}`
}

const ADJACENCY_LABELS: Readonly<Record<Adjacency, string>> = {
  server: 'one backend server',
  rack: 'one rack',
  'neighbouring-racks': 'neighbouring racks'
}
