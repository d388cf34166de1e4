/** The answer of `GET /v1/status`. */

/** One entry VM. Members beyond these are printed with `--json` only. */
export interface VmStatus {
  readonly vm: string
  readonly failureDomain: string
  readonly status: string
  /** Version in force by environment; null where there is none. */
  readonly documents: Readonly<Record<string, number | null>>
  /** The cells that it owns. */
  readonly cells: readonly Pick<CellStatus, 'cell'>[]
  readonly memoryBytes: number
}

/** One cell as its owner sees it. */
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

/** How much the service asks of the platform, all VMs together. */
export interface PlatformUse {
  readonly tableWritesPerSecond: number
  readonly tableReadsPerSecond: number
}

/** The state of all VMs and cells. */
export interface StatusReport {
  readonly vms: readonly VmStatus[]
  readonly cells: readonly CellStatus[]
  readonly platform?: PlatformUse
}
