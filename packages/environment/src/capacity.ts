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

const STRICTNESS: Readonly<Record<Adjacency, number>> = { server: 0, rack: 1, 'neighbouring-racks': 2 }

function emptyCell (cell: CellDeclaration): readonly FreeRack[] {
  return cell.racks.map(rack => Array.from({ length: rack.servers }, () => ({
    slots: rack.slotsPerServer,
    accelerators: rack.acceleratorsPerServer
  })))
}

/** Runs of racks that follow each other, the shortest first. */
function * runsOfRacks (racks: readonly FreeRack[]): Generator<readonly FreeServer[]> {
  for (let length = 1; length <= racks.length; length += 1) {
    for (let first = 0; first + length <= racks.length; first += 1) {
      yield racks.slice(first, first + length).flat()
    }
  }
}

const GROUPS: Readonly<Record<Adjacency, (racks: readonly FreeRack[]) => Iterable<readonly FreeServer[]>>> = {
  server: racks => racks.flat().map(server => [server]),
  rack: racks => racks,
  'neighbouring-racks': runsOfRacks
}

/** The smallest server that holds all that is left, else the one that holds most. */
function nextServer (candidates: readonly FreeServer[], accelerators: number): FreeServer | undefined {
  const byFree = candidates.toSorted((left, right) => left.accelerators - right.accelerators)
  return byFree.find(server => server.accelerators >= accelerators) ?? byFree.at(-1)
}

/** What to take from each server of a group, with as few members as can be. */
function takeFromGroup (group: readonly FreeServer[], shape: Shape): readonly Taking[] | undefined {
  let candidates = group.filter(server => server.slots >= shape.slots && server.accelerators > 0)
  let left = shape.accelerators
  const takings: Taking[] = []
  while (left > 0) {
    const server = nextServer(candidates, left)
    if (server === undefined) return undefined
    const accelerators = Math.min(server.accelerators, left)
    takings.push({ server, accelerators })
    candidates = candidates.filter(candidate => candidate !== server)
    left -= accelerators
  }
  return takings
}

function takeSlots (racks: readonly FreeRack[], shape: Shape): readonly Taking[] | undefined {
  const server = racks.flat().find(candidate => candidate.slots >= shape.slots)
  return server === undefined ? undefined : [{ server, accelerators: 0 }]
}

function findTakings (racks: readonly FreeRack[], shape: Shape): readonly Taking[] | undefined {
  if (shape.accelerators === 0) return takeSlots(racks, shape)
  for (const group of GROUPS[shape.adjacency](racks)) {
    const takings = takeFromGroup(group, shape)
    if (takings !== undefined) return takings
  }
  return undefined
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
 * Packs demands into an empty cell, the largest shape first, each into the first
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
