/** The policy settings of a cell, derived from the environment document. */
import type { EnvironmentDocument } from '@cornelgauge/environment'
import { backendServerName, type CellName } from '@cornelgauge/model'
import type { PolicySettings, ServerDescription } from '@cornelgauge/policy'

const POLICY_SEED = 1

/**
 * Returns the policy settings of a cell: all kinds, and the workspaces assigned to the
 * cell.
 *
 * @example
 * policySettings(document, cellName('praha')).workspaces.length
 */
export function policySettings (document: EnvironmentDocument, cell: CellName): PolicySettings {
  return {
    kinds: document.kinds,
    workspaces: document.workspaces.filter(workspace => workspace.cells.includes(cell)),
    reclaimMilliseconds: document.times.reclaimMilliseconds,
    seed: POLICY_SEED,
    declaredServers: declaredServers(document, cell)
  }
}

/**
 * Returns the backend servers that the document declares for a cell. Their names are
 * placeholders and match no real backend server.
 */
function declaredServers (document: EnvironmentDocument, cell: CellName): readonly ServerDescription[] {
  const racks = document.cells.find(candidate => candidate.name === cell)?.racks ?? []
  return racks.flatMap((rack, rackPosition) => Array.from({ length: rack.servers }, (_, index) => ({
    name: backendServerName(`${rack.name}-${index + 1}`),
    rack: rack.name,
    rackPosition,
    slots: rack.slotsPerServer,
    accelerators: rack.acceleratorsPerServer
  })))
}
