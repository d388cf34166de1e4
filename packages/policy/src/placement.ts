/**
 * Placement: the members for a shape, all of them or none. A placement is sought
 * on `Spot`s, the room that each backend server has for the job in question, so
 * the same search serves free capacity, guaranteed capacity and empty backend servers.
 */
import type { Adjacency, BackendServerName, Member, Shape } from '@cornelgauge/model'
import { holdsAmount, type Amount } from './amount.js'
import type { Capacity, Rack, Server } from './capacity.js'

/** Room on one backend server. */
export interface Spot extends Amount {
  readonly server: BackendServerName
}

/** The spots of one rack. */
export interface SpotRack {
  readonly position: number
  readonly spots: readonly Spot[]
}

/** How a placement chooses among several that would do. */
export type Fit = 'best-fit' | 'first-fit'

/** The room of each backend server, rack by rack. */
export function spotsOf (capacity: Capacity, room: (server: Server) => Amount): readonly SpotRack[] {
  return capacity.racks.map(rack => spotRack(rack, room))
}

/** The same for room that is free now: a rack with too little free for one member has no spots. */
export function freeSpotsOf (capacity: Capacity, shape: Shape, room: (server: Server) => Amount): readonly SpotRack[] {
  const accelerators = ACCELERATORS_EACH[shape.adjacency](shape.accelerators)
  const member = { slots: shape.slots, accelerators }
  return capacity.racks.map(rack => holdsAmount(rack.mostFree, member) ? spotRack(rack, room) : { position: rack.position, spots: [] })
}

/** The least that one member has to give. */
const ACCELERATORS_EACH: Readonly<Record<Adjacency, (accelerators: number) => number>> = {
  server: accelerators => accelerators,
  rack: accelerators => Math.min(1, accelerators),
  'neighbouring-racks': accelerators => Math.min(1, accelerators)
}

function spotRack (rack: Rack, room: (server: Server) => Amount): SpotRack {
  const spots: Spot[] = []
  for (const server of rack.servers) {
    const { slots, accelerators } = room(server)
    spots.push({ server: server.description.name, slots, accelerators })
  }
  return { position: rack.position, spots }
}

/**
 * The members that give a shape its capacity, or `undefined` where there is no room.
 *
 * @example
 * place([{ position: 0, spots: [{ server: 'a', slots: 8, accelerators: 8 }] }],
 *   { slots: 1, accelerators: 0, adjacency: 'server' }, 'best-fit')
 * // [{ server: 'a', slots: 1, accelerators: 0 }]
 */
export function place (racks: readonly SpotRack[], shape: Shape, fit: Fit): readonly Member[] | undefined {
  if (shape.accelerators === 0) return placeOnServer(racks, shape, fit)
  return PLACERS[shape.adjacency](racks, shape, fit)
}

type Placer = (racks: readonly SpotRack[], shape: Shape, fit: Fit) => readonly Member[] | undefined

const PLACERS: Readonly<Record<Adjacency, Placer>> = {
  server: placeOnServer,
  rack: placeInRack,
  'neighbouring-racks': placeInNeighbours
}

/** Work on one backend server goes where the least is left over: accelerators first, then slots. */
function placeOnServer (racks: readonly SpotRack[], shape: Shape, fit: Fit): readonly Member[] | undefined {
  let best: Spot | undefined
  for (const rack of racks) {
    for (const spot of rack.spots) {
      if (spot.slots < shape.slots || spot.accelerators < shape.accelerators) continue
      if (fit === 'first-fit') return [memberOn(spot, shape, shape.accelerators)]
      if (best === undefined || leavesLess(spot, best)) best = spot
    }
  }
  return best === undefined ? undefined : [memberOn(best, shape, shape.accelerators)]
}

function leavesLess (first: Spot, second: Spot): boolean {
  return first.accelerators < second.accelerators ||
    (first.accelerators === second.accelerators && first.slots < second.slots)
}

function memberOn (spot: Spot, shape: Shape, accelerators: number): Member {
  return { server: spot.server, slots: shape.slots, accelerators }
}

function isUsable (spot: Spot, shape: Shape): boolean {
  return spot.slots >= shape.slots && spot.accelerators > 0
}

/** Accelerators of a rack that a gang of this shape could use. */
function usableAccelerators (rack: SpotRack, shape: Shape): number {
  let sum = 0
  for (const spot of rack.spots) if (isUsable(spot, shape)) sum += spot.accelerators
  return sum
}

function placeInRack (racks: readonly SpotRack[], shape: Shape, fit: Fit): readonly Member[] | undefined {
  let best: SpotRack | undefined
  let leastUsable = Infinity
  for (const rack of racks) {
    const usable = usableAccelerators(rack, shape)
    if (usable < shape.accelerators || usable >= leastUsable) continue
    best = rack
    leastUsable = usable
    if (fit === 'first-fit') break
  }
  return best === undefined ? undefined : fillSpots(best.spots, shape, fit)
}

/** Neighbouring racks: the fewest racks in a row that do, and of these the ones with the least left over. */
function placeInNeighbours (racks: readonly SpotRack[], shape: Shape, fit: Fit): readonly Member[] | undefined {
  const usable = racks.map(rack => usableAccelerators(rack, shape))
  let best: { first: number, last: number, sum: number } | undefined
  let first = 0
  let sum = 0
  for (let last = 0; last < racks.length; last++) {
    if (last > 0 && !areNeighbours(racks[last - 1] as SpotRack, racks[last] as SpotRack)) {
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
  return fillSpots(racks.slice(best.first, best.last + 1).flatMap(rack => rack.spots), shape, fit)
}

/** Racks that share a position are taken as neighbours as well. */
function areNeighbours (first: SpotRack, second: SpotRack): boolean {
  return second.position - first.position <= 1
}

/** Takes the spots with most room first, and the last part from the tightest spot that can give it. */
function fillSpots (spots: readonly Spot[], shape: Shape, fit: Fit): readonly Member[] {
  const usable = spots.filter(spot => isUsable(spot, shape))
  if (fit === 'best-fit') usable.sort((first, second) => second.accelerators - first.accelerators)
  const members: Member[] = []
  let missing = shape.accelerators
  for (let index = 0; missing > 0; index++) {
    let spot = usable[index] as Spot
    if (fit === 'best-fit' && spot.accelerators >= missing) spot = tightest(usable, index, missing)
    const taken = Math.min(missing, spot.accelerators)
    members.push(memberOn(spot, shape, taken))
    missing -= taken
  }
  return members
}

/** From spots in falling order of room, the one with the least room that still gives all that is missing. */
function tightest (spots: readonly Spot[], from: number, missing: number): Spot {
  let found = spots[from] as Spot
  for (let index = from + 1; index < spots.length; index++) {
    const spot = spots[index] as Spot
    if (spot.accelerators < missing) break
    if (spot.accelerators < found.accelerators) found = spot
  }
  return found
}
