/** The status of a VM, and that of the system, combined from the statuses of all VMs. */
import type { OwnerState } from '@cornelgauge/scheduler'
import type { TableCounts } from './counting-table.js'

/** The status of a cell, as reported by its owner. */
export interface CellStatus {
  readonly cell: string
  readonly owner: string
  readonly epoch: number
  readonly state: 'serving' | 'draining'
  readonly sequence: number
  readonly snapshotSequence: number
  readonly pending: number
  readonly running: number
  readonly requests: number
  readonly servers: Readonly<Record<string, number>>
}

/** The status of a VM, as reported by itself. */
export interface VmStatus {
  readonly vm: string
  readonly failureDomain: string
  readonly status: 'ready' | 'not-ready' | 'stopping'
  readonly documents: { readonly trial: number | null, readonly production: number | null }
  readonly cells: readonly CellStatus[]
  readonly memoryBytes: number
  readonly processorMilliseconds: number
  readonly uptimeMilliseconds: number
  readonly table: TableCounts
}

/** Returns the status of an owned cell. */
export function cellStatus (state: OwnerState): CellStatus {
  return {
    cell: state.cell,
    owner: state.vm,
    epoch: state.epoch,
    state: state.draining ? 'draining' : 'serving',
    sequence: state.nextSequence - 1,
    snapshotSequence: state.snapshotSequence,
    pending: state.waiting.size,
    running: state.runs.size,
    requests: state.committed.size,
    servers: state.servers.countBy(server => server.status).toObject()
  }
}

/** The load that all VMs together put on the table service. */
export interface PlatformStatus {
  readonly tableWritesPerSecond: number
  readonly tableReadsPerSecond: number
}

/** The status of all VMs and cells, and the load on the platform. */
export interface SystemStatus {
  readonly vms: readonly VmStatus[]
  readonly cells: readonly CellStatus[]
  readonly platform: PlatformStatus
}

/** Combines the statuses of all VMs. */
export function systemStatus (vms: readonly VmStatus[]): SystemStatus {
  const sorted = [...vms].sort((one, other) => one.vm < other.vm ? -1 : 1)
  const cells = sorted.flatMap(vm => vm.cells).sort((one, other) => one.cell < other.cell ? -1 : 1)
  const sum = (rate: (vm: VmStatus) => number): number => sorted.reduce((total, vm) => total + rate(vm), 0)
  const platform = {
    tableWritesPerSecond: sum(vm => vm.table.writesPerSecond),
    tableReadsPerSecond: sum(vm => vm.table.readsPerSecond)
  }
  return { vms: sorted, cells, platform }
}
