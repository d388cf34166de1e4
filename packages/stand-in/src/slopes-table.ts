/** Measures of the table calls of VMs: the daemon's own components on a virtual clock, counted by the in-memory table service. */
import { seededRandom } from '@cornelgauge/coordination'
import { CellHost, Documents, Replies, VmDirectory } from '@cornelgauge/daemon'
import { parseDocument } from '@cornelgauge/environment'
import { documentVersion, failureDomainName, vmName } from '@cornelgauge/model'
import { MemoryBackendServer, MemoryObjectStore, MemoryTableService, VirtualClock, type ListedVm } from '@cornelgauge/ports'
import type { Measure } from './slopes-measure.js'

const SECOND_MILLISECONDS = 1000
const POLL_MILLISECONDS = 500
const SETTLE_SECONDS = 5
const SECONDS = 20
const DOMAIN = failureDomainName('domain-1')

function textOf (cells: number): string {
  const names = Array.from({ length: cells }, (_, number) => `cell-${number + 1}`)
  return JSON.stringify({
    name: 'slopes',
    generation: 1,
    cells: names.map(name => ({ name, region: 'region-1', failureDomain: name, racks: [{ name: `${name}-rack`, servers: 1, slotsPerServer: 8, acceleratorsPerServer: 8 }] })),
    kinds: [{ name: 'short', idempotent: true, urgent: true, checkpointable: false, minimumShare: 0.2, shape: { slots: 1 }, declaredMilliseconds: 300 }],
    workspaces: [{ name: 'team-1', guarantees: [] }],
    times: { reclaimMilliseconds: 5000, retentionMilliseconds: 600_000, taskLeaseMilliseconds: 30_000 }
  })
}

/** VMs that share the ownership of idle cells. */
class TableHarness {
  readonly clock = new VirtualClock()
  readonly table = new MemoryTableService(this.clock)
  readonly #objects = new MemoryObjectStore(this.clock)
  readonly #listed: readonly ListedVm[]
  readonly #hosts: CellHost[] = []
  readonly #cells: number

  constructor (vms: number, cells: number) {
    this.#cells = cells
    this.#listed = Array.from({ length: vms }, (_, number) => ({ name: vmName(`vm-${number + 1}`), role: 'entry', failureDomain: DOMAIN, address: '127.0.0.1:1', wireAddress: '127.0.0.1:2', status: 'live' }))
  }

  /** Writes and reads a second, once every cell has an owner. */
  async rates (): Promise<{ writes: number, reads: number }> {
    await Promise.all(this.#listed.map((vm, number) => this.#startVm(vm, number)))
    await this.clock.advance(SETTLE_SECONDS * SECOND_MILLISECONDS)
    const { writes, reads } = this.table.counters
    await this.clock.advance(SECONDS * SECOND_MILLISECONDS)
    const { counters } = this.table
    this.#hosts.forEach(host => { host.stop() })
    return { writes: (counters.writes - writes) / SECONDS, reads: (counters.reads - reads) / SECONDS }
  }

  async #startVm (vm: ListedVm, seed: number): Promise<void> {
    const emit = (): void => {}
    const now = (): number => this.clock.now()
    const directory = new VmDirectory({ list: async () => this.#listed }, emit, now)
    const documents = new Documents({ table: this.table, clock: this.clock, emit, wall: now, fetchFromPeers: async () => [], onAdopted: () => {} })
    const inForce = { version: documentVersion(1), document: parseDocument(textOf(this.#cells)).document }
    const server = new MemoryBackendServer({ slots: 8, accelerators: 8, clock: this.clock, leaseMilliseconds: 30_000, incarnation: 'life-1' })
    let nonces = 0
    const host = new CellHost({
      vm: vm.name,
      failureDomain: DOMAIN,
      wireAddress: vm.wireAddress!,
      stores: { table: this.table, objects: this.#objects },
      clock: this.clock,
      wall: now,
      random: seededRandom(seed),
      nonce: () => `${vm.name}-${nonces++}`,
      directory,
      servers: { setAddress: () => {}, get: () => server },
      replies: new Replies(),
      emit,
      documentInForce: () => inForce,
      onReleased: () => {}
    })
    this.#hosts.push(host)
    await directory.refresh()
    await documents.start()
    this.#poll(host)
  }

  #poll (host: CellHost): void {
    host.refresh().then(() => { host.startDueActions() })
    this.clock.after(POLL_MILLISECONDS, () => { this.#poll(host) })
  }
}

/** The measures of table calls. */
export const TABLE_MEASURES: readonly Measure[] = [
  { name: 'table-vm', driver: 'VM, one cell', sizes: [1, 2, 4, 8, 12], units: { writes: '1/s', reads: '1/s' }, repeats: 1, take: size => new TableHarness(size, 1).rates() },
  { name: 'table-cell', driver: 'cell, two VMs', sizes: [1, 3, 7, 14, 21], units: { writes: '1/s', reads: '1/s' }, repeats: 1, take: size => new TableHarness(2, size).rates() }
]
