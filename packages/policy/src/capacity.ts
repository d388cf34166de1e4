/**
 * The capacity of a cell: its racks in order of position, the backend servers in
 * each, and what is given away of them. All values are immutable; a change copies
 * one rack and leaves the others shared.
 */
import type { BackendServerName, Member, RequestId } from '@cornelgauge/model'
import { addAmount, NO_AMOUNT, sumAmounts, type Amount } from './amount.js'
import type { ServerDescription } from './scheduler.js'

/**
 * How firmly a running job holds its capacity. `entitled`: inside a guarantee of its
 * own workspace. `reclaimable`: can be checkpointed or stopped, and so may use
 * guaranteed capacity of others. `pinned`: must be left to end.
 */
export type Grade = 'entitled' | 'pinned' | 'reclaimable'

/** The part of a running job that one backend server runs. */
export interface Task extends Amount {
  readonly id: RequestId
  readonly grade: Grade
  /** Number of starts in the cell before this one. */
  readonly sequence: number
  readonly expectedEnd: number
  /** Its preemption is decided; the capacity comes free soon. */
  readonly stopping: boolean
}

/** What is given away of a backend server. Each amount is a sum over tasks, guarantees, reservations or claims. */
export interface Ledger {
  readonly used: Amount
  readonly entitled: Amount
  readonly pinned: Amount
  readonly reclaimable: Amount
  readonly stopping: Amount
  /** Set aside for guarantees, in use or not. */
  readonly guaranteed: Amount
  /** Set aside for gangs that wait. */
  readonly reserved: Amount
  /** The part of `reserved` that urgent work is kept out of as well. */
  readonly closed: Amount
  /** Coming free for jobs that already know their members. */
  readonly claimed: Amount
}

/** The name of one sum in a ledger. */
export type LedgerEntry = keyof Ledger

/** A backend server and what runs there. */
export interface Server extends Ledger {
  readonly description: ServerDescription
  /** A leaving backend server receives no new work. */
  readonly leaving: boolean
  /** An ejected one has failed too much, and receives only probes. */
  readonly ejected: boolean
  readonly tasks: readonly Task[]
}

/** A rack with its backend servers in order of name. */
export interface Rack {
  readonly name: string
  readonly position: number
  readonly servers: readonly Server[]
  /** Most that is free of each resource on one backend server. */
  readonly mostFree: Amount
}

/** All racks in order of position, then name. */
export interface Capacity {
  readonly racks: readonly Rack[]
  /** Where each backend server stands in `racks`. */
  readonly locations: ReadonlyMap<string, Location>
  /** Of all open backend servers. */
  readonly total: Amount
}

/** The place of a backend server in a `Capacity`. */
export interface Location {
  readonly rack: number
  readonly server: number
}

export const NO_CAPACITY: Capacity = { racks: [], locations: new Map(), total: NO_AMOUNT }

const EMPTY_LEDGER: Ledger = {
  used: NO_AMOUNT,
  entitled: NO_AMOUNT,
  pinned: NO_AMOUNT,
  reclaimable: NO_AMOUNT,
  stopping: NO_AMOUNT,
  guaranteed: NO_AMOUNT,
  reserved: NO_AMOUNT,
  closed: NO_AMOUNT,
  claimed: NO_AMOUNT
}

/** True of a backend server that receives new work. */
export function isOpen ({ leaving, ejected }: Server): boolean {
  return !leaving && !ejected
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
  racks[location.rack] = { ...rack, servers, mostFree: mostFreeOf(servers) }
  return { ...capacity, racks }
}

function mostFreeOf (servers: readonly Server[]): Amount {
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
  const racks: Array<Rack & { servers: Server[] }> = []
  const locations = new Map<string, Location>()
  for (const server of [...servers].sort(compareServers)) {
    const { rack: name, rackPosition: position } = server.description
    let rack = racks.at(-1)
    if (rack === undefined || rack.name !== name || rack.position !== position) {
      rack = { name, position, servers: [], mostFree: NO_AMOUNT }
      racks.push(rack)
    }
    locations.set(server.description.name, { rack: racks.length - 1, server: rack.servers.length })
    rack.servers.push(server)
  }
  const total = sumAmounts(servers.filter(isOpen).map(server => server.description))
  return { racks: racks.map(rack => ({ ...rack, mostFree: mostFreeOf(rack.servers) })), locations, total }
}

/** An empty backend server. */
export function emptyServer (description: ServerDescription): Server {
  return { ...EMPTY_LEDGER, description, leaving: false, ejected: false, tasks: [] }
}

/** The capacity with a backend server put in place of the one of its name, or without it. */
export function replaceServer (capacity: Capacity, name: BackendServerName, server: Server | undefined): Capacity {
  const others = allServers(capacity).filter(other => other.description.name !== name)
  return arrangeServers(server === undefined ? others : [...others, server])
}

/** Adds each member to one sum of its backend server, `times` times. */
export function enter (capacity: Capacity, entry: LedgerEntry, members: readonly Member[], times: number): Capacity {
  return members.reduce((current, member) => updateServer(current, member.server, server =>
    ({ ...server, [entry]: addAmount(server[entry], member, times) })), capacity)
}

/** The backend server with one more task. */
export function addTask (server: Server, task: Task): Server {
  return bookTask({ ...server, tasks: [...server.tasks, task] }, task, 1)
}

/** The backend server without the task of this job. */
export function removeTask (server: Server, id: RequestId): Server {
  const task = server.tasks.find(candidate => candidate.id === id)
  if (task === undefined) return server
  return bookTask({ ...server, tasks: server.tasks.filter(candidate => candidate !== task) }, task, -1)
}

function bookTask (server: Server, task: Task, times: number): Server {
  return {
    ...server,
    used: addAmount(server.used, task, times),
    [task.grade]: addAmount(server[task.grade], task, times),
    stopping: task.stopping ? addAmount(server.stopping, task, times) : server.stopping
  }
}

/** The capacity with a job's tasks on these members. */
export function occupy (capacity: Capacity, members: readonly Member[], task: Omit<Task, keyof Amount>): Capacity {
  return members.reduce((current, { server, slots, accelerators }) =>
    updateServer(current, server, found => addTask(found, { ...task, slots, accelerators })), capacity)
}

/** The capacity without a job that was on these members. */
export function release (capacity: Capacity, id: RequestId, members: readonly Member[]): Capacity {
  return members.reduce((current, { server }) => updateServer(current, server, found => removeTask(found, id)), capacity)
}
