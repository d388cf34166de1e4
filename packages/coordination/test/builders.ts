/** Test fixture: one cell, two VMs, a virtual clock, and platform services with injected faults. */
import { MemoryObjectStore, MemoryTableService, VirtualClock } from '@cornelgauge/ports'
import { cellName, failureDomainName, vmName, type SequenceNumber } from '@cornelgauge/model'
import { claimCell, commitRow, readOwnerRow, seededRandom, type CellClaim, type ClaimOutcome, type CommitOutcome, type StoreCallOptions } from '../src/index.js'
import { FaultyServices, type OutcomeDecider } from './faulty-services.js'

export const PRAHA = cellName('praha')
export const VM_ONE = vmName('praha-1')
export const VM_TWO = vmName('praha-2')
export const DOMAIN_PRAHA = failureDomainName('praha')
export const DOMAIN_PLZEN = failureDomainName('plzen')

export class World {
  readonly clock = new VirtualClock()
  readonly backingTable = new MemoryTableService(this.clock)
  readonly objects = new MemoryObjectStore(this.clock)
  readonly services = new FaultyServices(this.backingTable, this.objects)
  readonly abort = new AbortController()
  readonly options: StoreCallOptions = { clock: this.clock, random: seededRandom(1), signal: this.abort.signal }
  #nonces = 0

  get stores () { return { table: this.services.table, objects: this.services.objects } }

  nonce (): string { return `nonce-${++this.#nonces}` }

  injectFaults (decide: OutcomeDecider): void { this.services.decideOutcome = decide }

  async tryClaim (vm = VM_ONE, nonce = this.nonce()): Promise<ClaimOutcome> {
    const stored = await readOwnerRow(this.backingTable, PRAHA)
    return this.run(claimCell(this.services.table, PRAHA, stored, { vm, address: '127.0.0.1:1', nonce }, this.options))
  }

  async claim (vm = VM_ONE): Promise<CellClaim> {
    const outcome = await this.tryClaim(vm)
    if (outcome.type !== 'claimed') throw new TypeError(`claim ${outcome.type}`)
    return outcome.claim
  }

  commit (claim: CellClaim, sequence: number, entries: readonly string[] = [`entry ${sequence}`], nonce = this.nonce()): Promise<CommitOutcome> {
    return this.run(commitRow(this.services.table, claim, { sequence: sequence as SequenceNumber, entries, nonce }, this.options))
  }

  /** Advances virtual time until the promise is settled. */
  async run<Value> (promise: Promise<Value>): Promise<Value> {
    const progress = { settled: false }
    const finish = () => { progress.settled = true }
    promise.then(finish, finish)
    while (!progress.settled) await this.clock.advance(50)
    return promise
  }
}

/** Waits for the next turn of the event loop, so that all pending microtasks run. */
export function nextTurn (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}
