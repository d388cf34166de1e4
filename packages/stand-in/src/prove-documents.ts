/**
 * The case about environment documents: operators make concurrent changes through
 * several VMs over one table service, some of whose answers are lost.
 */
import { seededRandom, type Random } from '@cornelgauge/coordination'
import { Documents } from '@cornelgauge/daemon/parts'
import { asFailure, digestOf, type DocumentVersion } from '@cornelgauge/model'
import { MemoryTableService, VirtualClock } from '@cornelgauge/ports'
import { DOCUMENT_TEXT } from './document-text.js'
import type { CaseResult, ProveCase } from './prove-case.js'
import type { Adoption, ChangeResponse } from './prove-rules.js'
import type { RigInterfaces, RecordedEvent } from './rig.js'

const VM_NAMES = ['vm-1', 'vm-2', 'vm-3']
const ROUNDS = 30
const PROPAGATION_MILLISECONDS = 10_000
const RETENTION = 'retentionMilliseconds: 3600000'

/** Three VMs that follow the documents, and operators that change them concurrently. */
class OperatorRace {
  readonly clock = new VirtualClock(1_800_000_000_000)
  readonly table = new MemoryTableService(this.clock)
  readonly responses: ChangeResponse[] = []
  readonly adoptions: Adoption[] = []
  readonly events: RecordedEvent[] = []
  readonly random: Random
  readonly #vms: ReadonlyMap<string, Documents>
  readonly #calls: Promise<void>[] = []
  #textCount = 0

  constructor (seed: number, interfaces: RigInterfaces) {
    this.random = seededRandom(seed)
    this.#vms = new Map(VM_NAMES.map(name => [name, this.#makeVm(name, interfaces)] as const))
  }

  async start (): Promise<void> {
    await Promise.all([...this.#vms.values()].map(documents => documents.start()))
    await this.apply('vm-1')
    await this.clock.advance(1500)
  }

  randomVm (): string {
    return VM_NAMES[Math.floor(this.random() * VM_NAMES.length)]!
  }

  /** An operator applies a new text, expecting the version that is in force on its VM. */
  apply (vm: string): Promise<void> {
    const documents = this.#vms.get(vm)!
    const text = DOCUMENT_TEXT.replace(RETENTION, `retentionMilliseconds: ${3_600_000 + this.#textCount++}`)
    const expected = documents.inForce('trial')?.version
    return this.#call('trial', digestOf(text), () => documents.apply(text, expected, vm))
  }

  /** An operator promotes the trial document that is in force on its VM. */
  async promote (vm: string): Promise<void> {
    const documents = this.#vms.get(vm)!
    const current = documents.newestDocument('trial')
    if (current !== undefined) await this.#call('production', current.digest, () => documents.promote(current.digest, vm))
  }

  track (call: Promise<void>): void {
    this.#calls.push(call)
  }

  async finish (): Promise<CaseResult> {
    this.table.faults.set({ mode: 'none' })
    await this.clock.advance(PROPAGATION_MILLISECONDS)
    await Promise.all(this.#calls)
    for (const documents of this.#vms.values()) documents.stop()
    return { evidence: { documents: { vms: VM_NAMES, responses: this.responses, adoptions: this.adoptions } }, events: this.events }
  }

  async #call (environment: 'trial' | 'production', digest: string, change: () => Promise<{ version: DocumentVersion }>): Promise<void> {
    try {
      const { version } = await change()
      this.#record({ environment, digest, at: this.clock.now(), version })
    } catch (thrown) {
      this.#record({ environment, digest, at: this.clock.now(), code: asFailure(thrown).code })
    }
  }

  #record (change: ChangeResponse): void {
    this.responses.push(change)
    this.events.push({ vm: 'operator' as never, name: 'told', at: change.at, details: { ...change } })
  }

  #makeVm (vm: string, interfaces: RigInterfaces): Documents {
    const table = interfaces.table?.(this.table, { clock: this.clock, isAlive: () => true }) ?? this.table
    return new Documents({
      table,
      clock: this.clock,
      wall: () => this.clock.now(),
      emit: (name, facts = {}) => { this.events.push({ vm: vm as never, name, at: this.clock.now(), ...facts }) },
      fetchFromPeers: async environment => [...this.#vms.values()].map(documents => documents.newestDocument(environment)).filter(found => found !== undefined),
      onAdopted: (environment, { version }) => { this.#recordAdoption(vm, environment, version) }
    })
  }

  #recordAdoption (vm: string, environment: 'trial' | 'production', version: number): void {
    const digest = this.#vms.get(vm)!.newestDocument(environment)!.digest
    this.adoptions.push({ vm, environment, at: this.clock.now(), version, digest })
  }
}

/** Operators call `apply` and `promote` concurrently through several VMs, while answers of the table service are lost. */
export const operatorRace: ProveCase = async (seed, interfaces) => {
  const race = new OperatorRace(seed, interfaces)
  await race.start()
  for (let round = 0; round < ROUNDS; round++) {
    if (race.random() < 0.3) race.table.faults.set({ mode: 'lose-answers', only: 'writes', calls: 1 })
    const operators = 1 + Math.floor(race.random() * 3)
    for (let operator = 0; operator < operators; operator++) {
      race.track(race.random() < 0.7 ? race.apply(race.randomVm()) : race.promote(race.randomVm()))
    }
    await race.clock.advance(race.random() * 1500)
  }
  return race.finish()
}
