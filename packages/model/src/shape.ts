import type { BackendServerName } from './ids.js'

/**
 * What a task needs of backend servers. A shape asks for slots, or for
 * accelerators that stand together.
 */
export type Adjacency = 'server' | 'rack' | 'neighbouring-racks'

/** Capacity that one request needs, all of it or nothing. */
export interface Shape {
  /** Slots on one backend server; for a gang, slots on each member. */
  readonly slots: number
  /** Accelerators over all members; 0 for work that needs none. */
  readonly accelerators: number
  /** How near to each other the accelerators must stand. */
  readonly adjacency: Adjacency
}

/** One member of a placement: the part that one backend server gives. */
export interface Member {
  readonly server: BackendServerName
  readonly slots: number
  readonly accelerators: number
  /** Which life of the backend server this is; it forgets its executions when it restarts. */
  readonly incarnation?: string
}

/**
 * Says in words what a shape asks for, for messages to people.
 *
 * @example
 * describeShape({ slots: 1, accelerators: 16, adjacency: 'rack' })
 * // '1 slot, 16 accelerators within one rack'
 */
export function describeShape (shape: Shape): string {
  const slots = `${shape.slots} slot${shape.slots === 1 ? '' : 's'}`
  if (shape.accelerators === 0) return slots
  return `${slots}, ${shape.accelerators} accelerators within ${ADJACENCY_WORDS[shape.adjacency]}`
}

const ADJACENCY_WORDS: Readonly<Record<Adjacency, string>> = {
  server: 'one backend server',
  rack: 'one rack',
  'neighbouring-racks': 'neighbouring racks'
}
