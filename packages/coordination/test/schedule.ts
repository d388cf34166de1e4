/**
 * Racing owners under an adversarial schedule: each call, answer and timer waits
 * for an arbitrary time until the schedule releases it, and each call has a planned
 * outcome. VMs claim the cell without regard to leases, so that correctness depends
 * on the fencing alone.
 */
import { sequenceNumber, vmName, type CornelgaugeError, type Epoch, type SequenceNumber, type VmName } from '@cornelgauge/model'
import { MemoryObjectStore, MemoryTableService, type Clock } from '@cornelgauge/ports'
import type { Scheduler } from 'fast-check'
import {
  claimCell, GROUP_COMMIT_LIMITS, GroupCommitter, readOwnerRow, recover, releaseCell, takeSnapshot, type CellClaim, type JournalRow,
  type StoreCallOptions
} from '../src/index.js'
import { PRAHA } from './builders.js'
import { FaultyServices, type CallOutcome } from './faulty-services.js'

/** Plan of one process: how many entries it appends, when it takes a snapshot, and when it is killed. */
export interface ProcessPlan {
  readonly entries: number
  readonly snapshotAfter: number
  /** Ordinal number, from 1, of the platform call during which it is killed. */
  readonly killedAtCall: number | undefined
  readonly releases: boolean
}

/** Plan of a call: its outcome, and for how many scheduler turns the call, or its late effect, is delayed. */
export interface CallPlan {
  readonly outcome: CallOutcome
  readonly delayTurns: number
}

const NO_FAULT: CallPlan = { outcome: 'answered', delayTurns: 0 }

export interface CommittedEntry { readonly entry: string, readonly sequence: SequenceNumber, readonly epoch: Epoch }

/** The outcomes reported to callers, and the state that each owner recovered. */
export class History {
  readonly committed: CommittedEntry[] = []
  readonly refused: string[] = []
  readonly recoveries: { readonly epoch: Epoch, readonly state: readonly string[] }[] = []
  readonly failures: CornelgaugeError[] = []
}

const itemOf = (sequence: SequenceNumber, entry: string) => `${sequence}:${entry}`
const itemsOf = (rows: readonly JournalRow<string>[]) => rows.flatMap(({ sequence, entries }) => entries.map(entry => itemOf(sequence, entry)))

export class Adversary {
  readonly history = new History()
  readonly #table = new MemoryTableService()
  readonly #objects = new MemoryObjectStore()
  readonly #scheduler: Scheduler
  readonly #plans: CallPlan[]
  #names = 0

  constructor (scheduler: Scheduler, plans: readonly CallPlan[]) {
    this.#scheduler = scheduler
    this.#plans = [...plans]
  }

  async runProcesses (vm: VmName, plans: readonly ProcessPlan[]): Promise<void> {
    for (const plan of plans) await new VmProcess(this, vm, plan).run()
  }

  /** Returns the state that a new owner recovers once no call is in flight and no call fails. */
  async finalState (): Promise<readonly string[]> {
    this.#plans.length = 0
    const plan = { entries: 0, snapshotAfter: 0, killedAtCall: undefined, releases: false }
    await this.#scheduler.waitFor(new VmProcess(this, vmName('last'), plan).run())
    return this.history.recoveries.at(-1)!.state
  }

  async waitTurns (label: string, delayTurns = 0): Promise<void> {
    for (let turn = 0; turn <= delayTurns; turn++) await this.#scheduler.schedule(Promise.resolve(), label)
  }

  nextPlan (): CallPlan { return this.#plans.shift() ?? NO_FAULT }

  newName (): string { return `name-${++this.#names}` }

  newServices (): FaultyServices { return new FaultyServices(this.#table, this.#objects) }
}

class VmProcess {
  readonly #adversary: Adversary
  readonly #vm: VmName
  readonly #processPlan: ProcessPlan
  readonly #services: FaultyServices
  readonly #abort = new AbortController()
  readonly #options: StoreCallOptions
  #calls = 0
  #appended = 0
  #state: string[] = []
  #applied = sequenceNumber(0)

  constructor (adversary: Adversary, vm: VmName, plan: ProcessPlan) {
    this.#adversary = adversary
    this.#vm = vm
    this.#processPlan = plan
    this.#services = adversary.newServices()
    this.#services.decideOutcome = call => this.#decide(call)
    this.#services.deferEffect = effect => { adversary.waitTurns('late', adversary.nextPlan().delayTurns).then(effect).catch(() => {}) }
    this.#services.beforeAnswer = () => adversary.waitTurns('answer')
    this.#options = { clock: this.#clock(), random: () => 0, signal: this.#abort.signal }
  }

  get #killed (): boolean { return this.#abort.signal.aborted }

  async run (): Promise<void> {
    try {
      const stored = await this.#services.table.read('cells', PRAHA).then(() => readOwnerRow(this.#services.table, PRAHA))
      const claimant = { vm: this.#vm, address: '', nonce: this.#adversary.newName() }
      const outcome = await claimCell(this.#services.table, PRAHA, stored, claimant, this.#options)
      if (outcome.type === 'claimed') await this.#own(outcome.claim)
    } catch (failure) {
      if (!this.#killed) this.#adversary.history.failures.push(failure as CornelgaugeError)
    }
  }

  async #own (claim: CellClaim): Promise<void> {
    const { history } = this.#adversary
    const { snapshot, rows, nextSequence } = await recover<readonly string[], string>(this.#services, claim, this.#options)
    this.#state = [...snapshot?.content ?? [], ...itemsOf(rows)]
    this.#applied = sequenceNumber(nextSequence - 1)
    if (this.#killed) return
    history.recoveries.push({ epoch: claim.epoch, state: [...this.#state] })
    const committer = this.#newCommitter(claim, nextSequence)
    this.#abort.signal.addEventListener('abort', () => { committer.stop() })
    await this.#append(committer, claim, this.#processPlan.snapshotAfter)
    const { content, sequence } = { content: [...this.#state], sequence: this.#applied }
    const snapshotTaken = takeSnapshot(this.#services, claim, { content, sequence }, this.#options)
    await Promise.all([snapshotTaken, this.#append(committer, claim, this.#processPlan.entries)])
    await committer.drain()
    if (this.#processPlan.releases) await releaseCell(this.#services.table, claim, this.#options)
  }

  async #append (committer: GroupCommitter<string>, { epoch }: CellClaim, upTo: number): Promise<void> {
    const { history } = this.#adversary
    const appended: Promise<void>[] = []
    for (; this.#appended < upTo; this.#appended++) {
      const entry = this.#adversary.newName()
      const onCommitted = (sequence: SequenceNumber) => { if (!this.#killed) history.committed.push({ entry, sequence, epoch }) }
      const onFailed = (failure: CornelgaugeError) => { if (!this.#killed && failure.code === 'not-owner') history.refused.push(entry) }
      appended.push(committer.append(entry).then(onCommitted, onFailed))
    }
    await Promise.all(appended)
  }

  #newCommitter (claim: CellClaim, nextSequence: SequenceNumber): GroupCommitter<string> {
    const { clock, random } = this.#options
    return new GroupCommitter<string>({
      table: this.#services.table,
      claim,
      nextSequence,
      nonce: () => this.#adversary.newName(),
      clock,
      random,
      limits: { ...GROUP_COMMIT_LIMITS, maximumRowBytes: 20 },
      onCommitted: (sequence, entries) => {
        this.#state.push(...entries.map(entry => itemOf(sequence, entry)))
        this.#applied = sequence
      }
    })
  }

  /** A killed process makes no more calls; those in flight still take effect. */
  async #decide (call: string): Promise<CallOutcome> {
    if (this.#killed) return 'refused'
    const { outcome, delayTurns } = this.#adversary.nextPlan()
    if (++this.#calls === this.#processPlan.killedAtCall) this.#abort.abort()
    await this.#adversary.waitTurns(call, delayTurns)
    return outcome
  }

  #clock (): Clock {
    const after = (_delay: number, action: () => void) => {
      let cancelled = false
      this.#adversary.waitTurns('timer').then(() => { if (!cancelled) action() })
      return () => { cancelled = true }
    }
    return { now: () => 0, after }
  }
}

/** Returns each contradiction between the reported outcomes, the recovered states and the final state. */
export function violations ({ committed, refused, recoveries, failures }: History, finalState: readonly string[]): readonly string[] {
  const finalItems = new Set(finalState)
  const entries = finalState.map(item => item.slice(item.indexOf(':') + 1))
  const sequences = finalState.map(item => Number.parseInt(item))
  const epochs = new Map<SequenceNumber, Epoch>()
  committed.forEach(({ sequence, epoch }) => { if (!epochs.has(sequence)) epochs.set(sequence, epoch) })
  const isPrefix = (state: readonly string[]) => state.every((item, index) => item === finalState[index])
  const lacks = (recovery: History['recoveries'][number]) =>
    committed.some(({ sequence, entry, epoch }) => epoch < recovery.epoch && !recovery.state.includes(itemOf(sequence, entry)))
  return [
    ...committed.filter(({ sequence, entry }) => !finalItems.has(itemOf(sequence, entry))).map(({ entry }) => `${entry} was reported as committed and is lost`),
    ...refused.filter(entry => entries.includes(entry)).map(entry => `${entry} was refused and is in the journal`),
    ...entries.filter((entry, index) => entries.indexOf(entry) !== index).map(entry => `${entry} is in the journal twice`),
    ...sequences.filter((sequence, index) => sequence < (sequences[index - 1] ?? 0)).map(sequence => `${sequence} is out of order`),
    ...committed.filter(({ sequence, epoch }) => epochs.get(sequence) !== epoch).map(({ sequence }) => `two epochs committed ${sequence}`),
    ...recoveries.filter(({ state }) => !isPrefix(state)).map(({ epoch }) => `epoch ${epoch} recovered a state that is no prefix of the final one`),
    ...recoveries.filter(lacks).map(({ epoch }) => `epoch ${epoch} recovered less than earlier epochs had committed`),
    ...failures.filter(({ code }) => code !== 'stale-epoch' && code !== 'timeout').map(({ code, message }) => `unexpected ${code}: ${message}`)
  ]
}
