/**
 * Placement: finds the members for a shape, all of them or none. The search is given the
 * room on each backend server, which is the capacity that the job may use there. It
 * therefore works the same on free capacity, guaranteed capacity and empty backend servers.
 */
import type { Adjacency, BackendServerName, PlacementMember, Shape } from '@cornelgauge/model'
import { coversAmount, type Amount } from './amount.js'
import type { Capacity, Rack, Server } from './capacity.js'

/** The capacity that a job may use on one backend server. */
export interface ServerRoom extends Amount {
  readonly server: BackendServerName
}

/** The capacity that a job may use on the backend servers of one rack. */
export interface RackRoom {
  readonly position: number
  readonly servers: readonly ServerRoom[]
}

/** How one of several possible placements is chosen. */
export type Fit = 'best-fit' | 'first-fit'

/** Returns the room of each backend server, grouped by rack. */
export function roomByRack (capacity: Capacity, room: (server: Server) => Amount): readonly RackRoom[] {
  return capacity.racks.map(rack => rackRoom(rack, room))
}

/**
 * The same for views of free capacity. Racks in which no backend server has enough free
 * for one member are returned empty, without computing their room.
 */
export function freeRoomByRack (capacity: Capacity, shape: Shape, room: (server: Server) => Amount): readonly RackRoom[] {
  const accelerators = MINIMUM_ACCELERATORS_PER_MEMBER[shape.adjacency](shape.accelerators)
  const member = { slots: shape.slots, accelerators }
  return capacity.racks.map(rack => coversAmount(rack.maximumFree, member) ? rackRoom(rack, room) : { position: rack.position, servers: [] })
}

/** The fewest accelerators that one member can have, by the shape's accelerators. */
const MINIMUM_ACCELERATORS_PER_MEMBER: Readonly<Record<Adjacency, (accelerators: number) => number>> = {
  server: accelerators => accelerators,
  rack: accelerators => Math.min(1, accelerators),
  'neighbouring-racks': accelerators => Math.min(1, accelerators)
}

function rackRoom (rack: Rack, room: (server: Server) => Amount): RackRoom {
  const servers: ServerRoom[] = []
  for (const server of rack.servers) {
    const { slots, accelerators } = room(server)
    servers.push({ server: server.description.name, slots, accelerators })
  }
  return { position: rack.position, servers }
}

/**
 * Returns members that together give a shape its capacity, or `undefined` if there is too little room.
 *
 * @example
 * place([{ position: 0, servers: [{ server: 'a', slots: 8, accelerators: 8 }] }],
 *   { slots: 1, accelerators: 0, adjacency: 'server' }, 'best-fit')
 * // [{ server: 'a', slots: 1, accelerators: 0 }]
 */
export function place (racks: readonly RackRoom[], shape: Shape, fit: Fit): readonly PlacementMember[] | undefined {
  if (shape.accelerators === 0) return placeOnServer(racks, shape, fit)
  return PLACERS[shape.adjacency](racks, shape, fit)
}

type Placer = (racks: readonly RackRoom[], shape: Shape, fit: Fit) => readonly PlacementMember[] | undefined

const PLACERS: Readonly<Record<Adjacency, Placer>> = {
  server: placeOnServer,
  rack: placeInRack,
  'neighbouring-racks': placeInNeighbours
}

/**
 * Places a shape on a single backend server; best fit minimizes the remaining
 * accelerators, then the remaining slots.
 */
function placeOnServer (racks: readonly RackRoom[], shape: Shape, fit: Fit): readonly PlacementMember[] | undefined {
  let best: ServerRoom | undefined
  for (const rack of racks) {
    for (const candidate of rack.servers) {
      if (candidate.slots < shape.slots || candidate.accelerators < shape.accelerators) continue
      if (fit === 'first-fit') return [memberOn(candidate, shape, shape.accelerators)]
      if (best === undefined || leavesLessRoom(candidate, best)) best = candidate
    }
  }
  return best === undefined ? undefined : [memberOn(best, shape, shape.accelerators)]
}

function leavesLessRoom (first: ServerRoom, second: ServerRoom): boolean {
  return first.accelerators < second.accelerators ||
    (first.accelerators === second.accelerators && first.slots < second.slots)
}

function memberOn (candidate: ServerRoom, shape: Shape, accelerators: number): PlacementMember {
  return { server: candidate.server, slots: shape.slots, accelerators }
}

function isUsable (candidate: ServerRoom, shape: Shape): boolean {
  return candidate.slots >= shape.slots && candidate.accelerators > 0
}

/** Returns the accelerators of a rack that a gang of this shape could use. */
function usableAccelerators (rack: RackRoom, shape: Shape): number {
  let sum = 0
  for (const candidate of rack.servers) if (isUsable(candidate, shape)) sum += candidate.accelerators
  return sum
}

function placeInRack (racks: readonly RackRoom[], shape: Shape, fit: Fit): readonly PlacementMember[] | undefined {
  let best: RackRoom | undefined
  let leastUsable = Infinity
  for (const rack of racks) {
    const usable = usableAccelerators(rack, shape)
    if (usable < shape.accelerators || usable >= leastUsable) continue
    best = rack
    leastUsable = usable
    if (fit === 'first-fit') break
  }
  return best === undefined ? undefined : fillServers(best.servers, shape, fit)
}

/**
 * Places a shape on a run of neighbouring racks; best fit takes the shortest run with
 * enough accelerators, and of these the one with the fewest to spare.
 */
function placeInNeighbours (racks: readonly RackRoom[], shape: Shape, fit: Fit): readonly PlacementMember[] | undefined {
  const usable = racks.map(rack => usableAccelerators(rack, shape))
  let best: { first: number, last: number, sum: number } | undefined
  let first = 0
  let sum = 0
  for (let last = 0; last < racks.length; last++) {
    if (last > 0 && !areNeighbours(racks[last - 1] as RackRoom, racks[last] as RackRoom)) {
      first = last
      sum = 0
    }
    sum += usable[last] as number
    while (sum - (usable[first] as number) >= shape.accelerators) sum -= usable[first++] as number
    if (sum < shape.accelerators) continue
    const isBetter = best === undefined || last - first < best.last - best.first ||
      (last - first === best.last - best.first && sum < best.sum)
    if (isBetter) best = { first, last, sum }
    if (fit === 'first-fit') break
  }
  if (best === undefined) return undefined
  return fillServers(racks.slice(best.first, best.last + 1).flatMap(rack => rack.servers), shape, fit)
}

/** Racks at the same position also count as neighbours. */
function areNeighbours (first: RackRoom, second: RackRoom): boolean {
  return second.position - first.position <= 1
}

/**
 * Takes servers in order; best fit starts with the most room, and takes the last part
 * from the server with the least sufficient room.
 */
function fillServers (servers: readonly ServerRoom[], shape: Shape, fit: Fit): readonly PlacementMember[] {
  const usable = servers.filter(candidate => isUsable(candidate, shape))
  if (fit === 'best-fit') usable.sort((first, second) => second.accelerators - first.accelerators)
  const members: PlacementMember[] = []
  let missing = shape.accelerators
  for (let index = 0; missing > 0; index++) {
    let candidate = usable[index] as ServerRoom
    if (fit === 'best-fit' && candidate.accelerators >= missing) candidate = smallestSufficient(usable, index, missing)
    const taken = Math.min(missing, candidate.accelerators)
    members.push(memberOn(candidate, shape, taken))
    missing -= taken
  }
  return members
}

/**
 * Returns, from servers in descending order of room, the one with the least room that
 * still covers all that is missing.
 */
function smallestSufficient (servers: readonly ServerRoom[], from: number, missing: number): ServerRoom {
  let found = servers[from] as ServerRoom
  for (let index = from + 1; index < servers.length; index++) {
    const candidate = servers[index] as ServerRoom
    if (candidate.accelerators < missing) break
    if (candidate.accelerators < found.accelerators) found = candidate
  }
  return found
}
