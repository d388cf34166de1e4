/**
 * The part of the environment document that the policy of one cell needs.
 */
import type { EnvironmentDocument } from '@cornelgauge/environment'
import type { CellName } from '@cornelgauge/model'
import type { PolicySettings } from '@cornelgauge/policy'

const POLICY_SEED = 1

/**
 * The policy's settings in one cell: all kinds, and the workspaces that have a
 * home there.
 *
 * @example
 * policySettings(document, cellName('praha')).workspaces.length
 */
export function policySettings (document: EnvironmentDocument, cell: CellName): PolicySettings {
  return {
    kinds: document.kinds,
    workspaces: document.workspaces.filter(workspace => workspace.cells.includes(cell)),
    reclaimMilliseconds: document.times.reclaimMilliseconds,
    seed: POLICY_SEED
  }
}
