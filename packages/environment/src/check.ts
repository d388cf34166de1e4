/**
 * Checks that the schema can't express. Each names the top-level members that it
 * reads and is skipped if one of them is invalid by the schema, so that one faulty
 * member doesn't hide faults in the others.
 */
import { describeShape, type CellName, type Shape } from '@cornelgauge/model'
import { capacityOf, shapeFitsCell, unplaceable, type ShapeDemand } from './capacity.js'
import type { CellDeclaration } from './document.js'
import type { DocumentPath } from './fault.js'
import type { LocatedFault } from './schema-fault.js'
import type { SectionName, WrittenDocument, WrittenWorkspace } from './schema.js'

const SHARE_TOLERANCE = 1e-9

interface DocumentCheck {
  readonly needs: readonly SectionName[]
  readonly check: (document: WrittenDocument) => readonly LocatedFault[]
}

interface Named {
  readonly name: string
}

interface LocatedName {
  readonly name: string
  readonly path: DocumentPath
}

interface GuaranteeDemand extends ShapeDemand {
  readonly workspace: string
  readonly path: DocumentPath
}

function locateNames (items: readonly Named[], path: DocumentPath): readonly LocatedName[] {
  return items.map((item, index) => ({ name: item.name, path: [...path, index, 'name'] }))
}

/** A fault for each name that occurs earlier in the list. */
function repeatedNames (names: readonly LocatedName[], noun: string): readonly LocatedFault[] {
  const seen = new Set<string>()
  return names.flatMap(({ name, path }) => {
    if (!seen.has(name)) {
      seen.add(name)
      return []
    }
    return [{ path, rule: 'unique-name', detail: `There is another ${noun} named ${name}.` }]
  })
}

function rackNames (document: WrittenDocument): readonly LocatedName[] {
  return document.cells.flatMap((cell, index) => locateNames(cell.racks, ['cells', index, 'racks']))
}

function repeatedCells (document: WrittenDocument): readonly LocatedFault[] {
  return document.workspaces.flatMap((workspace, index) => {
    const names = (workspace.cells ?? []).map((name, position) => ({ name, path: ['workspaces', index, 'cells', position] }))
    return repeatedNames(names, 'entry for the cell')
  })
}

function regionsOfFailureDomains (document: WrittenDocument): readonly LocatedFault[] {
  const regions = new Map<string, string>()
  return document.cells.flatMap(({ failureDomain, region }, index) => {
    const first = regions.get(failureDomain) ?? region
    regions.set(failureDomain, first)
    if (first === region) return []
    return [{ path: ['cells', index, 'region'], rule: 'one-region', detail: `Failure domain ${failureDomain} already stands in region ${first}.` }]
  })
}

function unknownCells (document: WrittenDocument): readonly LocatedFault[] {
  const known = new Set(document.cells.map(cell => cell.name))
  return document.workspaces.flatMap((workspace, index) => (workspace.cells ?? []).flatMap((name, position) => {
    if (known.has(name)) return []
    return [{ path: ['workspaces', index, 'cells', position], rule: 'known-cell', detail: `There is no cell named ${name}.` }]
  }))
}

function sumOfShares (document: WrittenDocument): readonly LocatedFault[] {
  const sum = document.kinds.reduce((total, kind) => total + kind.minimumShare, 0)
  if (sum <= 1 + SHARE_TOLERANCE) return []
  return [{ path: ['kinds'], rule: 'share-sum', detail: `The minimum shares sum to ${Number(sum.toFixed(6))}; at most 1 can be given.` }]
}

function attemptsOfKinds (document: WrittenDocument): readonly LocatedFault[] {
  return document.kinds.flatMap((kind, index) => {
    if (kind.idempotent || kind.maximumAttempts === 1) return []
    return [{ path: ['kinds', index, 'maximumAttempts'], rule: 'single-attempt', detail: `Kind ${kind.name} is not idempotent and is attempted once only.` }]
  })
}

/** Whether a cell can be the home of requests of a workspace. */
function isHome (workspace: WrittenWorkspace, cell: CellName): boolean {
  return workspace.cells?.includes(cell) ?? true
}

function homeCells (document: WrittenDocument): readonly CellDeclaration[] {
  return document.cells.filter(cell => document.workspaces.some(workspace => isHome(workspace, cell.name)))
}

function shapesOfKinds (document: WrittenDocument): readonly LocatedFault[] {
  const homes = homeCells(document)
  return document.kinds.flatMap((kind, index) => {
    const path = ['kinds', index, 'shape']
    if (!document.cells.some(cell => shapeFitsCell(kind.shape, cell))) {
      return [{ path, rule: 'impossible-shape', detail: `No failure domain can hold ${describeShape(kind.shape)}.` }]
    }
    const misfits = homes.filter(cell => !shapeFitsCell(kind.shape, cell)).map(cell => cell.name)
    if (misfits.length === 0) return []
    return [{ path, rule: 'shape-fits-homes', detail: `${describeShape(kind.shape)} cannot stand in ${misfits.join(', ')}, where requests can be homed.` }]
  })
}

function repeatedShapes (document: WrittenDocument): readonly LocatedFault[] {
  return document.workspaces.flatMap((workspace, index) => {
    const shapes = workspace.guarantees.map(({ shape }, position) => ({
      name: describeShape(shape),
      path: ['workspaces', index, 'guarantees', position, 'shape']
    }))
    return repeatedNames(shapes, 'guarantee of this workspace').map(fault => ({ ...fault, rule: 'unique-shape', detail: 'This workspace already has a guarantee of this shape; raise its count.' }))
  })
}

function demandsIn (document: WrittenDocument, cell: CellName): readonly GuaranteeDemand[] {
  return document.workspaces.flatMap((workspace, index) => {
    if (!isHome(workspace, cell)) return []
    return workspace.guarantees.map((guarantee, position) => ({
      ...guarantee,
      workspace: workspace.name,
      path: ['workspaces', index, 'guarantees', position]
    }))
  })
}

function misfitFault (demand: GuaranteeDemand, cell: CellDeclaration): LocatedFault {
  return {
    path: [...demand.path, 'shape'],
    rule: 'guarantee-fits',
    detail: `Cell ${cell.name} cannot hold ${describeShape(demand.shape)}, even when empty.`
  }
}

/** Least number of slots that a shape needs: its slots on each member of the smallest gang possible on the cell's servers. */
function leastSlots (shape: Shape, cell: CellDeclaration): number {
  const largest = Math.max(1, ...cell.racks.map(rack => rack.acceleratorsPerServer))
  return shape.slots * Math.max(1, Math.ceil(shape.accelerators / largest))
}

function describeDemands (demands: readonly GuaranteeDemand[], cell: CellDeclaration): string {
  const slots = demands.reduce((sum, { shape, count }) => sum + count * leastSlots(shape, cell), 0)
  const accelerators = demands.reduce((sum, { shape, count }) => sum + count * shape.accelerators, 0)
  const list = demands.map(({ workspace, count, shape }) => `${workspace} ${count} x (${describeShape(shape)})`)
  return `${list.join('; ')}: together at least ${slots} slots and ${accelerators} accelerators`
}

function conflictFaults (unplaced: readonly GuaranteeDemand[], demands: readonly GuaranteeDemand[], cell: CellDeclaration): readonly LocatedFault[] {
  const capacity = capacityOf(cell)
  return unplaced.map(demand => ({
    path: demand.path,
    rule: 'guarantees-together',
    detail: `Cell ${cell.name} cannot hold all its guarantees at the same time: ${describeDemands(demands, cell)}; the cell has ${capacity.slots} slots and ${capacity.accelerators} accelerators in ${cell.racks.length} racks.`
  }))
}

function guaranteesOfCell (document: WrittenDocument, cell: CellDeclaration): readonly LocatedFault[] {
  const demands = demandsIn(document, cell.name)
  const unplaced = unplaceable(demands, cell)
  const misfits = unplaced.filter(demand => !shapeFitsCell(demand.shape, cell))
  if (misfits.length > 0) return misfits.map(demand => misfitFault(demand, cell))
  return conflictFaults(unplaced, demands, cell)
}

const CHECKS: readonly DocumentCheck[] = [
  { needs: ['cells'], check: document => repeatedNames(locateNames(document.cells, ['cells']), 'cell') },
  { needs: ['cells'], check: document => repeatedNames(rackNames(document), 'rack') },
  { needs: ['cells'], check: regionsOfFailureDomains },
  { needs: ['kinds'], check: document => repeatedNames(locateNames(document.kinds, ['kinds']), 'kind') },
  { needs: ['kinds'], check: sumOfShares },
  { needs: ['kinds'], check: attemptsOfKinds },
  { needs: ['workspaces'], check: document => repeatedNames(locateNames(document.workspaces, ['workspaces']), 'workspace') },
  { needs: ['workspaces'], check: repeatedCells },
  { needs: ['workspaces'], check: repeatedShapes },
  { needs: ['cells', 'workspaces'], check: unknownCells },
  { needs: ['cells', 'kinds', 'workspaces'], check: shapesOfKinds },
  { needs: ['cells', 'workspaces'], check: document => document.cells.flatMap(cell => guaranteesOfCell(document, cell)) }
]

/**
 * Runs every check whose members are valid by the schema.
 *
 * @param document - its invalid members are never read
 * @param validSections - the top-level members that are valid by the schema
 */
export function checkDocument (document: WrittenDocument, validSections: ReadonlySet<SectionName>): readonly LocatedFault[] {
  return CHECKS
    .filter(({ needs }) => needs.every(section => validSections.has(section)))
    .flatMap(({ check }) => check(document))
}
