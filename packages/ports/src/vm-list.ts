/**
 * The port to the platform's list of VMs, which lags behind the actual state.
 */
import type { FailureDomainName, VmName } from '@cornelgauge/model'

/** The platform's entry for one VM or backend server. */
export interface ListedVm {
  readonly name: VmName
  readonly role: 'entry' | 'backend-server'
  readonly failureDomain: FailureDomainName
  /** Rack of a backend server; adjacent racks have adjacent numbers. */
  readonly rack?: string
  readonly slots?: number
  readonly accelerators?: number
  /** `ip:port` of the HTTP interface. */
  readonly address: string
  /** `ip:port` of an entry VM for peers that use the inner protocol. */
  readonly wireAddress?: string
  readonly status: 'live' | 'leaving'
}

/** Reads the VM list. The result may be several seconds old. */
export interface VmList {
  list (): Promise<readonly ListedVm[]>
}
