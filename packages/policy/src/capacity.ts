/**
 * The capacity of a cell: its racks in order of position, the backend servers in
 * each, and what the running jobs hold of them. All values are immutable; a
 * change copies one rack and leaves the others shared.
 */
import type { BackendServerName, Member, RequestId } from '@cornelgauge/model'
import type { ServerDescription } from './scheduler.js'

/** An amount of capacity on one backend server. */
export interface Amount {
  readonly slots: number
  readonly accelerators: number
}

/** The part of a running job that one backend server runs. */
export interface Task extends Amount {
  readonly id: RequestId
}

/** A backend server and what runs there. */
export interface Server {
  readonly description: ServerDescription
  /** A leaving backend server receives no new work. */
  readonly leaving: boolean
  readonly used: Amount
  readonly tasks: readonly Task[]
}

/** A rack with its backend servers in order of name. */
export interface Rack {
  readonly name: string
  readonly position: number
  readonly servers: readonly Server[]
}

/** All racks in order of position, then name. */
export interface Capacity {
  readonly racks: readonly Rack[]
  /** Where each backend server stands in `racks`. */
  readonly locations: ReadonlyMap<string, Location>
}

/** The place of a backend server in a `Capacity`. */
export interface Location {
  readonly rack: number
  readonly server: number
}

export const NO_AMOUNT: Amount = { slots: 0, accelerators: 0 }
export const NO_CAPACITY: Capacity = { racks: [], locations: new Map() }

/**
 * The sum of two amounts, the second one taken `times` times.
 *
 * @example
 * addAmount({ slots: 1, accelerators: 8 }, { slots: 1, accelerators: 0 }, -1) // { slots: 0, accelerators: 8 }
 */
export function addAmount (first: Amount, second: Amount, times = 1): Amount {
  return { slots: first.slots + times * second.slots, accelerators: first.accelerators + times * second.accelerators }
}

/** Compares two strings by code unit. */
export function compareNames (first: string, second: string): number {
  if (first === second) return 0
  return first < second ? -1 : 1
}

/** The backend server of this name, if it is known. */
export function findServer (capacity: Capacity, name: string): Server | undefined {
  const location = capacity.locations.get(name)
  return location === undefined ? undefined : capacity.racks[location.rack]?.servers[location.server]
}

/** The capacity with one backend server changed; unchanged where it is not known. */
export function updateServer (capacity: Capacity, name: string, change: (server: Server) => Server): Capacity {
  const location = capacity.locations.get(name)
  if (location === undefined) return capacity
  const rack = capacity.racks[location.rack] as Rack
  const servers = rack.servers.slice()
  servers[location.server] = change(servers[location.server] as Server)
  const racks = capacity.racks.slice()
  racks[location.rack] = { ...rack, servers }
  return { racks, locations: capacity.locations }
}

/** All backend servers in order of rack position, rack name and name. */
export function allServers (capacity: Capacity): readonly Server[] {
  return capacity.racks.flatMap(rack => rack.servers)
}

function compareServers (first: Server, second: Server): number {
  return first.description.rackPosition - second.description.rackPosition ||
    compareNames(first.description.rack, second.description.rack) ||
    compareNames(first.description.name, second.description.name)
}

/** Arranges backend servers into racks; the order of the list does not matter. */
export function arrangeServers (servers: readonly Server[]): Capacity {
  const racks: Array<{ name: string, position: number, servers: Server[] }> = []
  const locations = new Map<string, Location>()
  for (const server of [...servers].sort(compareServers)) {
    const { rack: name, rackPosition: position } = server.description
    let rack = racks.at(-1)
    if (rack === undefined || rack.name !== name || rack.position !== position) {
      rack = { name, position, servers: [] }
      racks.push(rack)
    }
    locations.set(server.description.name, { rack: racks.length - 1, server: rack.servers.length })
    rack.servers.push(server)
  }
  return { racks, locations }
}

/** An empty backend server. */
export function emptyServer (description: ServerDescription): Server {
  return { description, leaving: false, used: NO_AMOUNT, tasks: [] }
}

/** The capacity with a backend server put in place of the one of its name, or without it. */
export function replaceServer (capacity: Capacity, name: BackendServerName, server: Server | undefined): Capacity {
  const others = allServers(capacity).filter(other => other.description.name !== name)
  return arrangeServers(server === undefined ? others : [...others, server])
}

/** What is free on a backend server for new work. */
export function freeAmount (server: Server): Amount {
  if (server.leaving) return NO_AMOUNT
  const { slots, accelerators } = server.description
  return { slots: Math.max(0, slots - server.used.slots), accelerators: Math.max(0, accelerators - server.used.accelerators) }
}

/** The backend server with one more task. */
export function addTask (server: Server, task: Task): Server {
  return { ...server, used: addAmount(server.used, task), tasks: [...server.tasks, task] }
}

/** The backend server without the task of this job. */
export function removeTask (server: Server, id: RequestId): Server {
  const task = server.tasks.find(candidate => candidate.id === id)
  if (task === undefined) return server
  return { ...server, used: addAmount(server.used, task, -1), tasks: server.tasks.filter(candidate => candidate !== task) }
}

/** The capacity with a job on these members. */
export function occupy (capacity: Capacity, id: RequestId, members: readonly Member[]): Capacity {
  return members.reduce((current, { server, slots, accelerators }) =>
    updateServer(current, server, found => addTask(found, { id, slots, accelerators })), capacity)
}

/** The capacity without a job that was on these members. */
export function release (capacity: Capacity, id: RequestId, members: readonly Member[]): Capacity {
  return members.reduce((current, { server }) => updateServer(current, server, found => removeTask(found, id)), capacity)
}
