/** Types of the response of `GET /v1/status`. */

/** Status of an entry VM. The service may return more members, which only `--json` prints. */
export interface VmStatus {
  readonly vm: string
  readonly failureDomain: string
  readonly status: string
  /** Version of the document in force by environment; null if there is none. */
  readonly documents: Readonly<Record<string, number | null>>
  /** The cells that the VM owns. */
  readonly cells: readonly Pick<CellStatus, 'cell'>[]
  readonly memoryBytes: number
}

/** Status of a cell, as reported by its owner. */
export interface CellStatus {
  readonly cell: string
  readonly owner: string | null
  readonly epoch: number
  readonly state: string
  readonly sequence: number
  readonly pending: number
  readonly running: number
  readonly snapshotSequence: number
}

/** Load that all VMs together put on the platform's table service. */
export interface PlatformUse {
  readonly tableWritesPerSecond: number
  readonly tableReadsPerSecond: number
}

/** Status of all VMs and cells. */
export interface StatusReport {
  readonly vms: readonly VmStatus[]
  readonly cells: readonly CellStatus[]
  readonly platform?: PlatformUse
}
