/**
 * Group commit: entries gather while a row is in flight, and go together into the
 * next one. The number of writes depends on the commit interval and not on the
 * number of entries.
 */
import { CornelgaugeError, sequenceNumber, type ErrorCode, type SequenceNumber } from '@cornelgauge/model'
import type { Json, TableService } from '@cornelgauge/ports'
import { commitRow, type CommitOutcome } from './journal.js'
import type { CellClaim } from './owner-row.js'
import type { StoreCallOptions } from './store-call.js'

/** Shortest time between the starts of two commits. */
export const COMMIT_INTERVAL_MILLISECONDS = 50
/** Most bytes of entries in one row, as JSON. */
export const MAXIMUM_ROW_BYTES = 512 * 1024
/** Most bytes of entries that wait, as JSON. */
export const MAXIMUM_QUEUED_BYTES = 16 * 1024 * 1024

/** Bounds of a committer. */
export interface GroupCommitLimits {
  readonly intervalMilliseconds: number
  readonly maximumRowBytes: number
  readonly maximumQueuedBytes: number
}

/** The bounds that hold where none are given. */
export const GROUP_COMMIT_LIMITS: GroupCommitLimits = {
  intervalMilliseconds: COMMIT_INTERVAL_MILLISECONDS,
  maximumRowBytes: MAXIMUM_ROW_BYTES,
  maximumQueuedBytes: MAXIMUM_QUEUED_BYTES
}

/** Why a committer takes no more entries. */
export type CommitterEnd = Exclude<CommitOutcome, 'committed'> | 'drained' | 'stopped'

/** What a committer is made with. */
export interface GroupCommitterOptions<Entry> extends Omit<StoreCallOptions, 'signal'> {
  readonly table: TableService
  readonly claim: CellClaim
  /** Sequence of the first row, as recovery gave it. */
  readonly nextSequence: SequenceNumber
  /** Gives a nonce that is never given again. */
  readonly nonce: () => string
  readonly limits?: GroupCommitLimits
  /**
   * Called with each row once it is committed, before the promises of its entries
   * resolve. A state that applies whole rows here can be put in a snapshot at any time.
   */
  readonly onCommitted?: (sequence: SequenceNumber, entries: readonly Entry[]) => void
  /** Called once, when the committer has settled or given up its last row. */
  readonly onEnd?: (end: CommitterEnd) => void
}

interface QueuedEntry<Entry> {
  readonly entry: Entry
  readonly bytes: number
  readonly resolve: (sequence: SequenceNumber) => void
  readonly reject: (failure: CornelgaugeError) => void
}

const ROW_FAILURES: Readonly<Record<Exclude<CommitOutcome, 'committed'>, ErrorCode>> = {
  fenced: 'not-owner',
  unsettled: 'outcome-unknown'
}

/** Commits the entries of one cell under one claim, one row in flight at a time. */
export class GroupCommitter<Entry extends Json> {
  readonly #options: GroupCommitterOptions<Entry>
  readonly #limits: GroupCommitLimits
  readonly #abort = new AbortController()
  #queue: QueuedEntry<Entry>[] = []
  #queuedBytes = 0
  #nextSequence: SequenceNumber
  #earliestStart = -Infinity
  #scheduled = false
  #inFlight = false
  #draining = false
  #end: CommitterEnd | undefined
  #onEnded: (() => void)[] = []

  constructor (options: GroupCommitterOptions<Entry>) {
    this.#options = options
    this.#limits = options.limits ?? GROUP_COMMIT_LIMITS
    this.#nextSequence = options.nextSequence
  }

  /** Sequence of the last row that was committed. */
  get committedSequence (): SequenceNumber {
    return sequenceNumber(this.#nextSequence - 1)
  }

  /** Entries that wait for a row, those in flight left out. */
  get queuedEntries (): number {
    return this.#queue.length
  }

  /** Why no more entries are taken; undefined while they are. */
  get end (): CommitterEnd | undefined {
    return this.#end
  }

  /**
   * Appends an entry; resolves with its row's sequence once that is committed.
   * Entries keep their order. Fails with `overloaded`, `body-too-large` or
   * `not-owner` where the entry is not in the journal and never will be, and with
   * `outcome-unknown` where only the cell's next owner can tell.
   */
  append (entry: Entry): Promise<SequenceNumber> {
    const bytes = Buffer.byteLength(JSON.stringify(entry))
    const refusal = this.#refusal(bytes)
    if (refusal !== undefined) return Promise.reject(refusal)
    return new Promise((resolve, reject) => {
      this.#queue.push({ entry, bytes, resolve, reject })
      this.#queuedBytes += bytes
      if (this.#queue.length === 1) this.#schedule()
    })
  }

  /** Takes no more entries, and resolves once all that were taken are settled. */
  drain (): Promise<CommitterEnd> {
    this.#draining = true
    if (!this.#inFlight && this.#queue.length === 0) this.#finish('drained')
    return this.#ended()
  }

  /** Gives up at once. The row in flight, if any, is left unsettled. */
  stop (): Promise<CommitterEnd> {
    this.#abort.abort()
    if (!this.#inFlight) this.#finish('stopped')
    return this.#ended()
  }

  #refusal (bytes: number): CornelgaugeError | undefined {
    if (this.#draining || this.#end !== undefined || this.#abort.signal.aborted) return new CornelgaugeError('not-owner')
    if (bytes > this.#limits.maximumRowBytes) return new CornelgaugeError('body-too-large', { detail: `An entry of ${bytes} bytes fits no journal row` })
    if (this.#queuedBytes + bytes > this.#limits.maximumQueuedBytes) return new CornelgaugeError('overloaded')
    return undefined
  }

  /** Starts the next row as soon as it may: in this turn's last microtask where the interval is over. */
  #schedule (): void {
    if (this.#scheduled || this.#inFlight || this.#queue.length === 0) return
    this.#scheduled = true
    const { clock } = this.#options
    const delayMilliseconds = this.#earliestStart - clock.now()
    if (delayMilliseconds > 0) clock.after(delayMilliseconds, () => this.#commitNext())
    else queueMicrotask(() => this.#commitNext())
  }

  async #commitNext (): Promise<void> {
    this.#scheduled = false
    if (this.#end !== undefined) return
    const batch = this.#takeBatch()
    this.#inFlight = true
    const outcome = await this.#commit(batch)
    this.#inFlight = false
    if (outcome === 'committed') this.#committed(batch)
    else this.#failed(batch, outcome)
  }

  async #commit (batch: readonly QueuedEntry<Entry>[]): Promise<CommitOutcome> {
    const { table, claim, nonce, ...call } = this.#options
    this.#earliestStart = call.clock.now() + this.#limits.intervalMilliseconds
    const draft = { sequence: this.#nextSequence, entries: batch.map(({ entry }) => entry), nonce: nonce() }
    try {
      return await commitRow(table, claim, draft, { ...call, signal: this.#abort.signal })
    } catch {
      return 'unsettled'
    }
  }

  #takeBatch (): readonly QueuedEntry<Entry>[] {
    let bytes = 0
    const isOver = (queued: QueuedEntry<Entry>) => (bytes += queued.bytes) > this.#limits.maximumRowBytes
    const firstLeftOut = this.#queue.findIndex(isOver)
    const batch = this.#queue.splice(0, firstLeftOut === -1 ? this.#queue.length : firstLeftOut)
    this.#queuedBytes -= batch.reduce((sum, queued) => sum + queued.bytes, 0)
    return batch
  }

  #committed (batch: readonly QueuedEntry<Entry>[]): void {
    const sequence = this.#nextSequence
    this.#nextSequence = sequenceNumber(sequence + 1)
    this.#options.onCommitted?.(sequence, batch.map(({ entry }) => entry))
    batch.forEach(({ resolve }) => resolve(sequence))
    if (this.#abort.signal.aborted) this.#finish('stopped')
    else if (this.#draining && this.#queue.length === 0) this.#finish('drained')
    else this.#schedule()
  }

  #failed (batch: readonly QueuedEntry<Entry>[], outcome: Exclude<CommitOutcome, 'committed'>): void {
    batch.forEach(({ reject }) => reject(new CornelgaugeError(ROW_FAILURES[outcome])))
    this.#finish(outcome)
  }

  /** What still waits was never sent, so it is refused for good. */
  #finish (end: CommitterEnd): void {
    if (this.#end !== undefined) return
    this.#end = end
    const refused = this.#queue.splice(0)
    this.#queuedBytes = 0
    refused.forEach(({ reject }) => reject(new CornelgaugeError('not-owner')))
    this.#onEnded.splice(0).forEach(resolve => resolve())
    this.#options.onEnd?.(end)
  }

  async #ended (): Promise<CommitterEnd> {
    if (this.#end === undefined) await new Promise<void>(resolve => this.#onEnded.push(resolve))
    return this.#end as CommitterEnd
  }
}
