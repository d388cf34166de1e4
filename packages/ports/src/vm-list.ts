/**
 * The port to the platform's list of VMs, which lags behind the truth.
 */
import type { FailureDomainName, VmName } from '@cornelgauge/model'

/** What the platform says of one VM or backend server. */
export interface ListedVm {
  readonly name: VmName
  readonly role: 'entry' | 'backend-server'
  readonly failureDomain: FailureDomainName
  /** Rack of a backend server; neighbouring racks have neighbouring numbers. */
  readonly rack?: string
  readonly slots?: number
  readonly accelerators?: number
  /** `ip:port` of the HTTP interface. */
  readonly address: string
  /** `ip:port` where peers reach an entry VM over the inner protocol. */
  readonly wireAddress?: string
  readonly status: 'live' | 'leaving'
}

/** What the VM list does. Its content may be several seconds old. */
export interface VmList {
  list (): Promise<readonly ListedVm[]>
}
