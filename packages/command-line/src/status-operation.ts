/** The command `status`. */
import { ServiceClient } from './client.js'
import { defineOperation, joinLines } from './operation.js'
import { SERVICE_SETTINGS } from './setting-types.js'
import type { CellStatus, PlatformUse, StatusReport, VmStatus } from './status-report.js'
import { renderLabelled, renderTable, type Column, type Style } from './terminal.js'

const BYTES_PER_MEBIBYTE = 1024 * 1024
const NO_VALUE = '-'

function versionText (version: number | null | undefined): string {
  return version === undefined || version === null ? NO_VALUE : String(version)
}

const VM_COLUMNS: readonly Column<VmStatus>[] = [
  { title: 'VM', text: vm => vm.vm },
  { title: 'FAILURE DOMAIN', text: vm => vm.failureDomain },
  { title: 'STATUS', text: vm => vm.status },
  { title: 'TRIAL', text: vm => versionText(vm.documents?.trial) },
  { title: 'PRODUCTION', text: vm => versionText(vm.documents?.production) },
  { title: 'CELLS', text: vm => (vm.cells ?? []).map(({ cell }) => cell).join(', ') || NO_VALUE },
  { title: 'MEMORY', text: vm => vm.memoryBytes === undefined ? NO_VALUE : `${Math.round(vm.memoryBytes / BYTES_PER_MEBIBYTE)} MiB` }
]

const CELL_COLUMNS: readonly Column<CellStatus>[] = [
  { title: 'CELL', text: cell => cell.cell },
  { title: 'OWNER', text: cell => cell.owner ?? NO_VALUE },
  { title: 'EPOCH', text: cell => String(cell.epoch ?? NO_VALUE) },
  { title: 'STATE', text: cell => cell.state ?? NO_VALUE },
  { title: 'SEQUENCE', text: cell => String(cell.sequence ?? NO_VALUE) },
  { title: 'SNAPSHOT', text: cell => String(cell.snapshotSequence ?? NO_VALUE) },
  { title: 'PENDING', text: cell => String(cell.pending ?? NO_VALUE) },
  { title: 'RUNNING', text: cell => String(cell.running ?? NO_VALUE) }
]

function rateText (perSecond: number): string {
  return String(Math.round(perSecond * 10) / 10)
}

function renderPlatform (platform: PlatformUse | undefined, style: Style): readonly string[] {
  if (platform === undefined) return []
  return ['', ...renderLabelled([
    ['table writes a second, of several hundred', rateText(platform.tableWritesPerSecond)],
    ['table reads a second, of two thousand', rateText(platform.tableReadsPerSecond)]
  ], style)]
}

function renderStatus (report: StatusReport, style: Style): string {
  return joinLines([
    ...renderTable(VM_COLUMNS, report.vms, style),
    '',
    ...renderTable(CELL_COLUMNS, report.cells, style),
    ...renderPlatform(report.platform, style)
  ])
}

/** The operation that shows the status of all VMs and cells. */
export const statusOperation = defineOperation({
  description: 'Show all VMs with their documents in force, and all cells with their owners',
  settings: SERVICE_SETTINGS,
  examples: [
    { line: 'status', does: 'print tables of VMs and cells' },
    { line: 'status --json', does: 'print everything that the service reports' }
  ],
  async run ({ address, token }, tools) {
    const report = await new ServiceClient(address, token, tools.http).status()
    return { exit: 'done', value: report, render: style => renderStatus(report, style) }
  }
})
