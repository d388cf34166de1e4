/**
 * Checks that a new version doesn't change what has to stay as in the version in force.
 * The home cell of a request depends on the cells and the generation, so neither may
 * change while there are accepted requests.
 */
import type { CellDeclaration, EnvironmentDocument } from './document.js'
import type { DocumentFault } from './fault.js'

const UNSUPPORTED_DETAIL = 'Moving accepted requests between cells is not supported yet.'

type SuccessionRule = (before: EnvironmentDocument, after: EnvironmentDocument) => readonly DocumentFault[]

function sameName (before: EnvironmentDocument, after: EnvironmentDocument): readonly DocumentFault[] {
  if (before.name === after.name) return []
  return [{ path: 'name', rule: 'same-name', detail: `The document in force is ${before.name}; this one is ${after.name}.` }]
}

function sameGeneration (before: EnvironmentDocument, after: EnvironmentDocument): readonly DocumentFault[] {
  if (before.generation === after.generation) return []
  const rule = after.generation < before.generation ? 'generation-falls' : 'generation-unsupported'
  return [{ path: 'generation', rule, detail: `The generation in force is ${before.generation} and must stay. ${UNSUPPORTED_DETAIL}` }]
}

function describeCells (cells: readonly CellDeclaration[]): string {
  return cells.map(({ name, region, failureDomain }) => `${name} in ${region}/${failureDomain}`).toSorted().join(', ')
}

function sameCells (before: EnvironmentDocument, after: EnvironmentDocument): readonly DocumentFault[] {
  const placesBefore = describeCells(before.cells)
  const placesAfter = describeCells(after.cells)
  if (placesBefore === placesAfter) return []
  return [{
    path: 'cells',
    rule: 'generation-required',
    detail: `The cells change from ${placesBefore} to ${placesAfter}; that takes a higher generation. ${UNSUPPORTED_DETAIL}`
  }]
}

function sameHomes (before: EnvironmentDocument, after: EnvironmentDocument): readonly DocumentFault[] {
  const homes = new Map(before.workspaces.map(workspace => [workspace.name, workspace.cells.toSorted().join(', ')]))
  return after.workspaces.flatMap((workspace, index) => {
    const cells = workspace.cells.toSorted().join(', ')
    const known = homes.get(workspace.name)
    if (known === undefined || known === cells) return []
    return [{
      path: `workspaces[${index}].cells`,
      rule: 'generation-required',
      detail: `The cells of ${workspace.name} change from ${known} to ${cells}; that takes a higher generation. ${UNSUPPORTED_DETAIL}`
    }]
  })
}

const RULES: readonly SuccessionRule[] = [sameName, sameGeneration, sameCells, sameHomes]

/**
 * Lists the faults of a document as the successor of another; empty if it may replace it.
 *
 * @example
 * checkSuccession(inForce, { ...inForce, generation: 2 })[0]?.rule // 'generation-unsupported'
 */
export function checkSuccession (before: EnvironmentDocument, after: EnvironmentDocument): readonly DocumentFault[] {
  return RULES.flatMap(rule => rule(before, after))
}
