/**
 * Owners that race under an adversary: each call, each answer and each timer waits
 * until the schedule lets it go, however long that is, and meets a fate of its own.
 * No lease holds anybody back, so that all rests on the fencing.
 */
import { sequenceNumber, vmName, type CornelgaugeError, type Epoch, type SequenceNumber, type VmName } from '@cornelgauge/model'
import { MemoryObjectStore, MemoryTableService, type Clock } from '@cornelgauge/ports'
import type { Scheduler } from 'fast-check'
import {
  claimCell, GROUP_COMMIT_LIMITS, GroupCommitter, readOwnerRow, recover, releaseCell, takeSnapshot, type CellClaim, type JournalRow,
  type StoreCallOptions
} from '../src/index.js'
import { PRAHA } from './builders.js'
import { FaultyServices, type Fate } from './faulty-services.js'

/** One life of a process: what it appends, when it takes a snapshot, and when it is killed. */
export interface Life {
  readonly entries: number
  readonly snapshotAfter: number
  /** Number of the platform call during which it is killed. */
  readonly killedAtCall: number | undefined
  readonly releases: boolean
}

/** What becomes of a call, and for how many turns of others it, or its late effect, is held up before that. */
export interface Plan {
  readonly fate: Fate
  readonly heldTurns: number
}

const UNDISTURBED: Plan = { fate: 'answered', heldTurns: 0 }

export interface Told { readonly entry: string, readonly sequence: SequenceNumber, readonly epoch: Epoch }

/** What was told to callers, and what each owner found. */
export class History {
  readonly committed: Told[] = []
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
  readonly #plans: Plan[]
  #names = 0

  constructor (scheduler: Scheduler, plans: readonly Plan[]) {
    this.#scheduler = scheduler
    this.#plans = [...plans]
  }

  async live (vm: VmName, lives: readonly Life[]): Promise<void> {
    for (const life of lives) await new VmProcess(this, vm, life).run()
  }

  /** What a new owner finds once nothing is in flight and nothing fails any more. */
  async finalState (): Promise<readonly string[]> {
    this.#plans.length = 0
    const life = { entries: 0, snapshotAfter: 0, killedAtCall: undefined, releases: false }
    await this.#scheduler.waitFor(new VmProcess(this, vmName('last'), life).run())
    return this.history.recoveries.at(-1)!.state
  }

  async turns (label: string, held = 0): Promise<void> {
    for (let turn = 0; turn <= held; turn++) await this.#scheduler.schedule(Promise.resolve(), label)
  }

  nextPlan (): Plan { return this.#plans.shift() ?? UNDISTURBED }

  newName (): string { return `name-${++this.#names}` }

  newServices (): FaultyServices { return new FaultyServices(this.#table, this.#objects) }
}

class VmProcess {
  readonly #adversary: Adversary
  readonly #vm: VmName
  readonly #life: Life
  readonly #services: FaultyServices
  readonly #abort = new AbortController()
  readonly #options: StoreCallOptions
  #calls = 0
  #appended = 0
  #state: string[] = []
  #applied = sequenceNumber(0)

  constructor (adversary: Adversary, vm: VmName, life: Life) {
    this.#adversary = adversary
    this.#vm = vm
    this.#life = life
    this.#services = adversary.newServices()
    this.#services.decide = call => this.#decide(call)
    this.#services.postpone = effect => { adversary.turns('late', adversary.nextPlan().heldTurns).then(effect).catch(() => {}) }
    this.#services.beforeAnswer = () => adversary.turns('answer')
    this.#options = { clock: this.#clock(), random: () => 0, signal: this.#abort.signal }
  }

  get #killed (): boolean { return this.#abort.signal.aborted }

  async run (): Promise<void> {
    try {
      const seen = await this.#services.table.read('cells', PRAHA).then(() => readOwnerRow(this.#services.table, PRAHA))
      const claimant = { vm: this.#vm, address: '', nonce: this.#adversary.newName() }
      const outcome = await claimCell(this.#services.table, PRAHA, seen, claimant, this.#options)
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
    await this.#append(committer, claim, this.#life.snapshotAfter)
    const { content, sequence } = { content: [...this.#state], sequence: this.#applied }
    const snapshotTaken = takeSnapshot(this.#services, claim, { content, sequence }, this.#options)
    await Promise.all([snapshotTaken, this.#append(committer, claim, this.#life.entries)])
    await committer.drain()
    if (this.#life.releases) await releaseCell(this.#services.table, claim, this.#options)
  }

  async #append (committer: GroupCommitter<string>, { epoch }: CellClaim, upTo: number): Promise<void> {
    const { history } = this.#adversary
    const appended: Promise<void>[] = []
    for (; this.#appended < upTo; this.#appended++) {
      const entry = this.#adversary.newName()
      const told = (sequence: SequenceNumber) => { if (!this.#killed) history.committed.push({ entry, sequence, epoch }) }
      const failed = (failure: CornelgaugeError) => { if (!this.#killed && failure.code === 'not-owner') history.refused.push(entry) }
      appended.push(committer.append(entry).then(told, failed))
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

  /** A killed process makes no more calls; what it has in flight goes on. */
  async #decide (call: string): Promise<Fate> {
    if (this.#killed) return 'refused'
    const { fate, heldTurns } = this.#adversary.nextPlan()
    if (++this.#calls === this.#life.killedAtCall) this.#abort.abort()
    await this.#adversary.turns(call, heldTurns)
    return fate
  }

  #clock (): Clock {
    const after = (_delay: number, action: () => void) => {
      let cancelled = false
      this.#adversary.turns('timer').then(() => { if (!cancelled) action() })
      return () => { cancelled = true }
    }
    return { now: () => 0, after }
  }
}

/** Everything that the history tells and that cannot be true. */
export function violations ({ committed, refused, recoveries, failures }: History, finalState: readonly string[]): readonly string[] {
  const known = new Set(finalState)
  const entries = finalState.map(item => item.slice(item.indexOf(':') + 1))
  const sequences = finalState.map(item => Number.parseInt(item))
  const epochs = new Map<SequenceNumber, Epoch>()
  committed.forEach(({ sequence, epoch }) => { if (!epochs.has(sequence)) epochs.set(sequence, epoch) })
  const isPrefix = (state: readonly string[]) => state.every((item, index) => item === finalState[index])
  const lacks = (recovery: History['recoveries'][number]) =>
    committed.some(({ sequence, entry, epoch }) => epoch < recovery.epoch && !recovery.state.includes(itemOf(sequence, entry)))
  return [
    ...committed.filter(({ sequence, entry }) => !known.has(itemOf(sequence, entry))).map(({ entry }) => `${entry} was told committed and is lost`),
    ...refused.filter(entry => entries.includes(entry)).map(entry => `${entry} was refused and is there`),
    ...entries.filter((entry, index) => entries.indexOf(entry) !== index).map(entry => `${entry} is there twice`),
    ...sequences.filter((sequence, index) => sequence < (sequences[index - 1] ?? 0)).map(sequence => `${sequence} is out of order`),
    ...committed.filter(({ sequence, epoch }) => epochs.get(sequence) !== epoch).map(({ sequence }) => `two epochs committed ${sequence}`),
    ...recoveries.filter(({ state }) => !isPrefix(state)).map(({ epoch }) => `epoch ${epoch} recovered another history`),
    ...recoveries.filter(lacks).map(({ epoch }) => `epoch ${epoch} recovered less than earlier epochs were told`),
    ...failures.filter(({ code }) => code !== 'stale-epoch' && code !== 'timeout').map(({ code, message }) => `unexpected ${code}: ${message}`)
  ]
}
