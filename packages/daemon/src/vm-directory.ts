/**
 * The VM list as last read, which may be out of date: the entry VMs, since when each is
 * live, and the backend servers of each failure domain.
 */
import type { Candidate } from '@cornelgauge/coordination'
import { asFailure, backendServerName, rackName, type FailureDomainName, type VmName } from '@cornelgauge/model'
import type { ListedVm, VmList } from '@cornelgauge/ports'
import type { ListedServer } from '@cornelgauge/scheduler'
import type { EmitEvent } from '@cornelgauge/telemetry'

/** Interval between two reads of the VM list. */
export const VM_LIST_POLL_MILLISECONDS = 1000

/** Polls the VM list. */
export class VmDirectory {
  readonly #list: VmList
  readonly #emit: EmitEvent
  readonly #now: () => number
  readonly #liveSince = new Map<VmName, number>()
  #vms: readonly ListedVm[] = []
  #reachable = true

  constructor (list: VmList, emit: EmitEvent, now: () => number) {
    this.#list = list
    this.#emit = emit
    this.#now = now
  }

  /** Reads the list once; keeps the previous content if the read fails. */
  async refresh (): Promise<void> {
    try {
      this.#vms = await this.#list.list()
      this.#updateLiveSince()
      if (!this.#reachable) this.#emit('vm-list-reachable')
      this.#reachable = true
    } catch (thrown) {
      if (this.#reachable) this.#emit('vm-list-unreachable', { details: { failure: asFailure(thrown) } })
      this.#reachable = false
    }
  }

  /** The entry VMs, including this one. */
  get entryVms (): readonly ListedVm[] {
    return this.#vms.filter(vm => vm.role === 'entry')
  }

  /** The backend servers. */
  get backendServers (): readonly ListedVm[] {
    return this.#vms.filter(vm => vm.role === 'backend-server')
  }

  /** The entry VMs as candidates for the ownership of cells. */
  get candidates (): readonly Candidate[] {
    return this.entryVms.map(vm => ({
      vm: vm.name,
      failureDomain: vm.failureDomain,
      leaving: vm.status === 'leaving',
      liveSince: this.#liveSince.get(vm.name) ?? this.#now()
    }))
  }

  /** Returns the backend servers of a failure domain, in the form that a cell owner expects. */
  serversOf (failureDomain: FailureDomainName): readonly ListedServer[] {
    const servers = this.backendServers.filter(vm => vm.failureDomain === failureDomain)
    const racks = [...new Set(servers.map(vm => vm.rack ?? ''))].sort(compareRackNames)
    return servers.map(vm => ({
      description: {
        name: backendServerName(vm.name),
        rack: rackName(vm.rack ?? ''),
        rackPosition: racks.indexOf(vm.rack ?? ''),
        slots: vm.slots ?? 0,
        accelerators: vm.accelerators ?? 0
      },
      address: vm.address,
      leaving: vm.status === 'leaving'
    }))
  }

  #updateLiveSince (): void {
    const live = new Set(this.entryVms.filter(vm => vm.status === 'live').map(vm => vm.name))
    for (const name of this.#liveSince.keys()) if (!live.has(name)) this.#liveSince.delete(name)
    for (const name of live) if (!this.#liveSince.has(name)) this.#liveSince.set(name, this.#now())
  }
}

/** Sorts racks by the numbers in their names, which determine the neighbouring racks. */
function compareRackNames (one: string, other: string): number {
  return one.localeCompare(other, 'en', { numeric: true })
}
