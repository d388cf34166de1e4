/**
 * The capacity of a cell: its racks in order of position, the backend servers in each,
 * and the totals allocated on them. All values are immutable; a change copies one rack
 * and shares the others.
 */
import type { BackendServerName, PlacementMember, RequestId } from '@cornelgauge/model'
import { addAmount, NO_AMOUNT, sumAmounts, type Amount } from './amount.js'
import type { ServerDescription } from './interface.js'

/**
 * Whether a running job may be preempted. `entitled`: it runs inside a guarantee of its
 * own workspace and isn't preempted. `reclaimable`: it can be checkpointed or stopped
 * at any time, and so may borrow guaranteed capacity of other workspaces. `pinned`: it
 * can't be preempted, and runs until it ends.
 */
export type PreemptionClass = 'entitled' | 'pinned' | 'reclaimable'

/** The part of a running job on one backend server. */
export interface Task extends Amount {
  readonly id: RequestId
  readonly preemptionClass: PreemptionClass
  /** Number of jobs started in the cell before this one. */
  readonly startSequence: number
  readonly expectedEnd: number
  /** True once its preemption is decided; its capacity will be free soon. */
  readonly stopping: boolean
}

/** Totals allocated on a backend server. Each is a sum over tasks, guarantees, reservations or claims. */
export interface Allocations {
  readonly used: Amount
  readonly entitled: Amount
  readonly pinned: Amount
  readonly reclaimable: Amount
  readonly stopping: Amount
  /** Set aside for guarantees, whether in use or idle. */
  readonly guaranteed: Amount
  /** Reserved for waiting gangs. */
  readonly reserved: Amount
  /** The part of `reserved` that urgent work may not use either. */
  readonly exclusive: Amount
  /** Claimed by waiting jobs, for which it may still have to be freed by preemption. */
  readonly claimed: Amount
}

/** The name of one total in `Allocations`. */
export type AllocationName = keyof Allocations

/** A backend server, its tasks and its allocation totals. */
export interface Server extends Allocations {
  readonly description: ServerDescription
  /** A leaving backend server receives no new work. */
  readonly leaving: boolean
  /** An ejected backend server has failed too often, and receives only probes. */
  readonly ejected: boolean
  readonly tasks: readonly Task[]
}

/** A rack with its backend servers in order of name. */
export interface Rack {
  readonly name: string
  readonly position: number
  readonly servers: readonly Server[]
  /** Largest amount of each resource that is free on a single open backend server. */
  readonly maximumFree: Amount
}

/** All racks in order of position, then name. */
export interface Capacity {
  readonly racks: readonly Rack[]
  /** Indexes of each backend server in `racks`. */
  readonly locations: ReadonlyMap<string, Location>
  /** Total capacity of all open backend servers. */
  readonly total: Amount
}

/** Indexes of a backend server in a `Capacity`: of its rack, and of the server within the rack. */
export interface Location {
  readonly rack: number
  readonly server: number
}

export const NO_CAPACITY: Capacity = { racks: [], locations: new Map(), total: NO_AMOUNT }

const NO_ALLOCATIONS: Allocations = {
  used: NO_AMOUNT,
  entitled: NO_AMOUNT,
  pinned: NO_AMOUNT,
  reclaimable: NO_AMOUNT,
  stopping: NO_AMOUNT,
  guaranteed: NO_AMOUNT,
  reserved: NO_AMOUNT,
  exclusive: NO_AMOUNT,
  claimed: NO_AMOUNT
}

/** True if a backend server receives new work. */
export function isOpen ({ leaving, ejected }: Server): boolean {
  return !leaving && !ejected
}

/** Compares two strings by code unit. */
export function compareNames (first: string, second: string): number {
  if (first === second) return 0
  return first < second ? -1 : 1
}

/** Returns the backend server of this name, if it is known. */
export function findServer (capacity: Capacity, name: string): Server | undefined {
  const location = capacity.locations.get(name)
  return location === undefined ? undefined : capacity.racks[location.rack]?.servers[location.server]
}

/** Changes one backend server; returns the capacity unchanged if the server is not known. */
export function updateServer (capacity: Capacity, name: string, change: (server: Server) => Server): Capacity {
  const location = capacity.locations.get(name)
  if (location === undefined) return capacity
  const rack = capacity.racks[location.rack] as Rack
  const servers = rack.servers.slice()
  servers[location.server] = change(servers[location.server] as Server)
  const racks = capacity.racks.slice()
  racks[location.rack] = { ...rack, servers, maximumFree: maximumFreeOf(servers) }
  return { ...capacity, racks }
}

function maximumFreeOf (servers: readonly Server[]): Amount {
  let slots = 0
  let accelerators = 0
  for (const server of servers) {
    if (!isOpen(server)) continue
    const { description, used } = server
    slots = Math.max(slots, description.slots - used.slots)
    accelerators = Math.max(accelerators, description.accelerators - used.accelerators)
  }
  return { slots, accelerators }
}

/** Returns all backend servers, ordered by rack position, rack name and name. */
export function allServers (capacity: Capacity): readonly Server[] {
  return capacity.racks.flatMap(rack => rack.servers)
}

function compareServers (first: Server, second: Server): number {
  return first.description.rackPosition - second.description.rackPosition ||
    compareNames(first.description.rack, second.description.rack) ||
    compareNames(first.description.name, second.description.name)
}

/** Arranges backend servers into racks. The result doesn't depend on the order of the list. */
export function arrangeServers (servers: readonly Server[]): Capacity {
  const racks: Array<Rack & { servers: Server[] }> = []
  const locations = new Map<string, Location>()
  for (const server of [...servers].sort(compareServers)) {
    const { rack: name, rackPosition: position } = server.description
    let rack = racks.at(-1)
    if (rack === undefined || rack.name !== name || rack.position !== position) {
      rack = { name, position, servers: [], maximumFree: NO_AMOUNT }
      racks.push(rack)
    }
    locations.set(server.description.name, { rack: racks.length - 1, server: rack.servers.length })
    rack.servers.push(server)
  }
  const total = sumAmounts(servers.filter(isOpen).map(server => server.description))
  return { racks: racks.map(rack => ({ ...rack, maximumFree: maximumFreeOf(rack.servers) })), locations, total }
}

/** Returns an open backend server without tasks. */
export function emptyServer (description: ServerDescription): Server {
  return { ...NO_ALLOCATIONS, description, leaving: false, ejected: false, tasks: [] }
}

/** Replaces the backend server of this name, or removes it if `server` is undefined. */
export function replaceServer (capacity: Capacity, name: BackendServerName, server: Server | undefined): Capacity {
  const others = allServers(capacity).filter(other => other.description.name !== name)
  return arrangeServers(server === undefined ? others : [...others, server])
}

/** Adds each member `times` times to one allocation total of its backend server; -1 subtracts it. */
export function addAllocation (capacity: Capacity, entry: AllocationName, members: readonly PlacementMember[], times: number): Capacity {
  return members.reduce((current, member) => updateServer(current, member.server, server =>
    ({ ...server, [entry]: addAmount(server[entry], member, times) })), capacity)
}

/** Returns the backend server with one more task. */
export function addTask (server: Server, task: Task): Server {
  return countTask({ ...server, tasks: [...server.tasks, task] }, task, 1)
}

/** Returns the backend server without the task of this job. */
export function removeTask (server: Server, id: RequestId): Server {
  const task = server.tasks.find(candidate => candidate.id === id)
  if (task === undefined) return server
  return countTask({ ...server, tasks: server.tasks.filter(candidate => candidate !== task) }, task, -1)
}

function countTask (server: Server, task: Task, times: number): Server {
  return {
    ...server,
    used: addAmount(server.used, task, times),
    [task.preemptionClass]: addAmount(server[task.preemptionClass], task, times),
    stopping: task.stopping ? addAmount(server.stopping, task, times) : server.stopping
  }
}

/** Adds a job's tasks on these members. */
export function addTasks (capacity: Capacity, members: readonly PlacementMember[], task: Omit<Task, keyof Amount>): Capacity {
  return members.reduce((current, { server, slots, accelerators }) =>
    updateServer(current, server, found => addTask(found, { ...task, slots, accelerators })), capacity)
}

/** Removes a job's tasks from these members. */
export function removeTasks (capacity: Capacity, id: RequestId, members: readonly PlacementMember[]): Capacity {
  return members.reduce((current, { server }) => updateServer(current, server, found => removeTask(found, id)), capacity)
}
