/**
 * Whether shapes can stand in a cell, each alone or all at the same time. The
 * packing is sound but not complete: what it places can be held at once; what it
 * cannot place is refused, though a cleverer packing might have found room.
 */
import type { Adjacency, Shape } from '@cornelgauge/model'
import type { CellDeclaration, EnvironmentDocument } from './document.js'

interface FreeServer {
  slots: number
  accelerators: number
}

type FreeRack = readonly FreeServer[]

interface Taking {
  readonly server: FreeServer
  readonly accelerators: number
}

/** Servers that could give a shape together. */
interface Group {
  readonly servers: readonly FreeServer[]
  readonly racks: number
  /** Accelerators on those servers that have the slots as well. */
  readonly accelerators: number
}

type GroupSearch = (racks: readonly FreeRack[], shape: Shape) => Group | undefined

const STRICTNESS: Readonly<Record<Adjacency, number>> = { server: 0, rack: 1, 'neighbouring-racks': 2 }

function emptyCell (cell: CellDeclaration): readonly FreeRack[] {
  return cell.racks.map(rack => Array.from({ length: rack.servers }, () => ({
    slots: rack.slotsPerServer,
    accelerators: rack.acceleratorsPerServer
  })))
}

function usableAccelerators (servers: readonly FreeServer[], shape: Shape): number {
  return servers.reduce((sum, server) => server.slots >= shape.slots ? sum + server.accelerators : sum, 0)
}

/** The tighter of two groups: fewer racks, then less left over; the first one where they are alike. */
function tighter (first: Group | undefined, second: Group): Group {
  if (first === undefined) return second
  const difference = second.racks - first.racks || second.accelerators - first.accelerators
  return difference < 0 ? second : first
}

function tightestServer (racks: readonly FreeRack[], shape: Shape): Group | undefined {
  let best: FreeServer | undefined
  for (const servers of racks) {
    for (const server of servers) {
      if (server.slots < shape.slots || server.accelerators < shape.accelerators) continue
      if (best === undefined || leavesLess(server, best)) best = server
    }
  }
  return best === undefined ? undefined : { servers: [best], racks: 1, accelerators: best.accelerators }
}

function leavesLess (server: FreeServer, other: FreeServer): boolean {
  return server.accelerators < other.accelerators || (server.accelerators === other.accelerators && server.slots < other.slots)
}

function tightestRack (racks: readonly FreeRack[], shape: Shape): Group | undefined {
  let best: Group | undefined
  for (const servers of racks) {
    const accelerators = usableAccelerators(servers, shape)
    if (accelerators >= shape.accelerators) best = tighter(best, { servers, racks: 1, accelerators })
  }
  return best
}

/** The shortest run of racks from one rack on that has enough. */
function runFrom (first: number, racks: readonly FreeRack[], usable: readonly number[], shape: Shape): Group | undefined {
  let accelerators = 0
  for (let last = first; last < racks.length; last += 1) {
    accelerators += usable[last] ?? 0
    if (accelerators >= shape.accelerators) {
      return { servers: racks.slice(first, last + 1).flat(), racks: last + 1 - first, accelerators }
    }
  }
  return undefined
}

function tightestRun (racks: readonly FreeRack[], shape: Shape): Group | undefined {
  const usable = racks.map(servers => usableAccelerators(servers, shape))
  let best: Group | undefined
  for (let first = 0; first < racks.length; first += 1) {
    const run = runFrom(first, racks, usable, shape)
    if (run !== undefined) best = tighter(best, run)
  }
  return best
}

const GROUP_SEARCHES: Readonly<Record<Adjacency, GroupSearch>> = {
  server: tightestServer,
  rack: tightestRack,
  'neighbouring-racks': tightestRun
}

/** Takes whole servers, the largest first, and the last part from the smallest server that has it; the group has enough. */
function takeFrom (servers: readonly FreeServer[], shape: Shape): readonly Taking[] {
  const candidates = servers
    .filter(server => server.slots >= shape.slots)
    .toSorted((left, right) => right.accelerators - left.accelerators)
  const takings: Taking[] = []
  let missing = shape.accelerators
  for (const server of candidates) {
    if (server.accelerators >= missing) break
    takings.push({ server, accelerators: server.accelerators })
    missing -= server.accelerators
  }
  const last = candidates.slice(takings.length).findLast(server => server.accelerators >= missing)
  return last === undefined ? takings : [...takings, { server: last, accelerators: missing }]
}

function findTakings (racks: readonly FreeRack[], shape: Shape): readonly Taking[] | undefined {
  const adjacency = shape.accelerators === 0 ? 'server' : shape.adjacency
  const group = GROUP_SEARCHES[adjacency](racks, shape)
  return group === undefined ? undefined : takeFrom(group.servers, shape)
}

/** Takes the shape's capacity out of the racks; false, with nothing taken, where there is no room. */
function placeShape (racks: readonly FreeRack[], shape: Shape): boolean {
  const takings = findTakings(racks, shape)
  if (takings === undefined) return false
  for (const { server, accelerators } of takings) {
    server.slots -= shape.slots
    server.accelerators -= accelerators
  }
  return true
}

function largestFirst (left: Shape, right: Shape): number {
  return right.accelerators - left.accelerators ||
    right.slots - left.slots ||
    STRICTNESS[left.adjacency] - STRICTNESS[right.adjacency]
}

/** A shape that is asked for, a number of times. */
export interface ShapeDemand {
  readonly shape: Shape
  readonly count: number
}

/**
 * Packs demands into an empty cell, the largest shape first, each into the tightest
 * place that has room, and gives back those that found no room for all their shapes.
 *
 * @example
 * unplaceable([{ shape: { slots: 1, accelerators: 16, adjacency: 'rack' }, count: 1 }], cell) // []
 */
export function unplaceable<Demand extends ShapeDemand> (demands: readonly Demand[], cell: CellDeclaration): readonly Demand[] {
  const racks = emptyCell(cell)
  const capacity = capacityOf(cell)
  return demands
    .toSorted((left, right) => largestFirst(left.shape, right.shape))
    .filter(demand => exceeds(demand, capacity) || !placeAll(racks, demand))
}

/** True of what is more than the whole cell has; saves placing an absurd count one by one. */
function exceeds ({ shape, count }: ShapeDemand, capacity: CapacitySum): boolean {
  return shape.slots * count > capacity.slots || shape.accelerators * count > capacity.accelerators
}

function placeAll (racks: readonly FreeRack[], demand: ShapeDemand): boolean {
  for (let placed = 0; placed < demand.count; placed += 1) {
    if (!placeShape(racks, demand.shape)) return false
  }
  return true
}

/**
 * Whether the cell, when empty, holds the shape.
 *
 * @example
 * shapeFitsCell({ slots: 1, accelerators: 16, adjacency: 'rack' }, document.cells[0])
 */
export function shapeFitsCell (shape: Shape, cell: CellDeclaration): boolean {
  return placeShape(emptyCell(cell), shape)
}

/**
 * Whether any cell of the document, when empty, holds the shape.
 *
 * @example
 * shapeFitsAnywhere({ slots: 1, accelerators: 4096, adjacency: 'rack' }, document) // false
 */
export function shapeFitsAnywhere (shape: Shape, document: EnvironmentDocument): boolean {
  return document.cells.some(cell => shapeFitsCell(shape, cell))
}

/** Slots and accelerators, summed. */
export interface CapacitySum {
  readonly slots: number
  readonly accelerators: number
}

/** All that a cell has. */
export function capacityOf (cell: CellDeclaration): CapacitySum {
  return cell.racks.reduce((sum, rack) => ({
    slots: sum.slots + rack.servers * rack.slotsPerServer,
    accelerators: sum.accelerators + rack.servers * rack.acceleratorsPerServer
  }), { slots: 0, accelerators: 0 })
}
