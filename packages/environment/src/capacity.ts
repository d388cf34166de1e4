/**
 * Checks whether shapes fit in a cell, each alone or all at the same time. The packing is a
 * best-fit heuristic: everything that it places fits at the same time, but it may fail
 * to place shapes for which an exact search would find a placement, and those are refused.
 */
import type { Adjacency, Shape } from '@cornelgauge/model'
import type { CellDeclaration, EnvironmentDocument } from './document.js'

interface FreeServer {
  slots: number
  accelerators: number
}

type FreeRack = readonly FreeServer[]

interface Allocation {
  readonly server: FreeServer
  readonly accelerators: number
}

/** Servers that can hold a shape together. */
interface Group {
  readonly servers: readonly FreeServer[]
  readonly racks: number
  /** Accelerators on the servers that also have enough slots. */
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

/** The tighter of two groups: the one with fewer racks, then with fewer accelerators left over; the first on a tie. */
function tighterGroup (first: Group | undefined, second: Group): Group {
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
    if (accelerators >= shape.accelerators) best = tighterGroup(best, { servers, racks: 1, accelerators })
  }
  return best
}

/** The shortest range of racks beginning at `first` that has enough accelerators. */
function shortestRackRange (first: number, racks: readonly FreeRack[], usable: readonly number[], shape: Shape): Group | undefined {
  let accelerators = 0
  for (let last = first; last < racks.length; last += 1) {
    accelerators += usable[last] ?? 0
    if (accelerators >= shape.accelerators) {
      return { servers: racks.slice(first, last + 1).flat(), racks: last + 1 - first, accelerators }
    }
  }
  return undefined
}

function tightestRackRange (racks: readonly FreeRack[], shape: Shape): Group | undefined {
  const usable = racks.map(servers => usableAccelerators(servers, shape))
  let best: Group | undefined
  for (let first = 0; first < racks.length; first += 1) {
    const range = shortestRackRange(first, racks, usable, shape)
    if (range !== undefined) best = tighterGroup(best, range)
  }
  return best
}

const GROUP_SEARCHES: Readonly<Record<Adjacency, GroupSearch>> = {
  server: tightestServer,
  rack: tightestRack,
  'neighbouring-racks': tightestRackRange
}

/** Allocates all accelerators of servers, the largest first, and the remainder on the smallest server that can hold it. The group must have enough capacity. */
function allocateFrom (servers: readonly FreeServer[], shape: Shape): readonly Allocation[] {
  const candidates = servers
    .filter(server => server.slots >= shape.slots)
    .toSorted((left, right) => right.accelerators - left.accelerators)
  const allocations: Allocation[] = []
  let missing = shape.accelerators
  for (const server of candidates) {
    if (server.accelerators >= missing) break
    allocations.push({ server, accelerators: server.accelerators })
    missing -= server.accelerators
  }
  const last = candidates.slice(allocations.length).findLast(server => server.accelerators >= missing)
  return last === undefined ? allocations : [...allocations, { server: last, accelerators: missing }]
}

function findAllocations (racks: readonly FreeRack[], shape: Shape): readonly Allocation[] | undefined {
  const adjacency = shape.accelerators === 0 ? 'server' : shape.adjacency
  const group = GROUP_SEARCHES[adjacency](racks, shape)
  return group === undefined ? undefined : allocateFrom(group.servers, shape)
}

/** Allocates a shape's capacity in the racks. Returns false, and allocates nothing, if it doesn't fit. */
function placeShape (racks: readonly FreeRack[], shape: Shape): boolean {
  const allocations = findAllocations(racks, shape)
  if (allocations === undefined) return false
  for (const { server, accelerators } of allocations) {
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

/** A shape and how many of it are requested. */
export interface ShapeDemand {
  readonly shape: Shape
  readonly count: number
}

/**
 * Packs demands into an empty cell, the largest shape first, each into the tightest
 * group that can hold it, and returns the demands that don't fit with their full count.
 *
 * @example
 * unplaceable([{ shape: { slots: 1, accelerators: 16, adjacency: 'rack' }, count: 1 }], cell) // []
 */
export function unplaceable<Demand extends ShapeDemand> (demands: readonly Demand[], cell: CellDeclaration): readonly Demand[] {
  const racks = emptyCell(cell)
  const capacity = capacityOf(cell)
  return demands
    .toSorted((left, right) => largestFirst(left.shape, right.shape))
    .filter(demand => exceedsCapacity(demand, capacity) || !placeAll(racks, demand))
}

/** Whether a demand exceeds the cell's total capacity; avoids placing a huge count one by one. */
function exceedsCapacity ({ shape, count }: ShapeDemand, capacity: CapacitySum): boolean {
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

/** Total slots and accelerators. */
export interface CapacitySum {
  readonly slots: number
  readonly accelerators: number
}

/** The total capacity of a cell. */
export function capacityOf (cell: CellDeclaration): CapacitySum {
  return cell.racks.reduce((sum, rack) => ({
    slots: sum.slots + rack.servers * rack.slotsPerServer,
    accelerators: sum.accelerators + rack.servers * rack.acceleratorsPerServer
  }), { slots: 0, accelerators: 0 })
}
