/**
 * The home cell of a request: the only cell that accepts and runs it. It depends only
 * on the document's generation, the workspace's cells, the workspace and the key, so
 * a retry reaches the cell of its first attempt through any VM.
 */
import { createHash } from 'node:crypto'
import { CornelgaugeError, type CellName, type RequestKey, type WorkspaceName } from '@cornelgauge/model'
import type { EnvironmentDocument } from './document.js'

interface ScoredCell {
  readonly cell: CellName
  readonly score: string
}

function scoreOf (cell: CellName, generation: number, workspace: WorkspaceName, key: RequestKey): string {
  return createHash('sha256').update(`${generation}/${cell}/${workspace}/${key}`).digest('hex')
}

function higherScore (left: ScoredCell, right: ScoredCell): ScoredCell {
  return right.score > left.score ? right : left
}

/**
 * Selects the cell of a request by rendezvous hashing over the workspace's cells.
 *
 * @throws CornelgaugeError `not-found` if the document has no such workspace
 * @example
 * homeCell(document, workspaceName('ustredi'), requestKey('rota-2027-spring')) // 'plzen'
 */
export function homeCell (document: EnvironmentDocument, workspace: WorkspaceName, key: RequestKey): CellName {
  const declared = document.workspaces.find(candidate => candidate.name === workspace)
  if (declared === undefined) {
    throw new CornelgaugeError('not-found', { detail: `There is no workspace named ${workspace}` })
  }
  return declared.cells
    .map(cell => ({ cell, score: scoreOf(cell, document.generation, workspace, key) }))
    .reduce(higherScore)
    .cell
}
