/**
 * Group commit: entries that arrive while a row is being written are batched into
 * the next row. The number of writes depends on the commit interval and not on the
 * number of entries.
 */
import { CornelgaugeError, sequenceNumber, type ErrorCode, type SequenceNumber } from '@cornelgauge/model'
import type { Json, TableService } from '@cornelgauge/ports'
import { commitRow, type CommitOutcome } from './journal.js'
import type { CellClaim } from './owner-row.js'
import type { StoreCallOptions } from './store-call.js'

/** Minimum time between the starts of two commits. */
export const COMMIT_INTERVAL_MILLISECONDS = 50
/** Maximum size of the entries in one row, as JSON. */
export const MAXIMUM_ROW_BYTES = 512 * 1024
/** Maximum size of all queued entries, as JSON. */
export const MAXIMUM_QUEUED_BYTES = 16 * 1024 * 1024

/** Limits of a committer. */
export interface GroupCommitLimits {
  readonly intervalMilliseconds: number
  readonly maximumRowBytes: number
  readonly maximumQueuedBytes: number
}

/** Default limits. */
export const GROUP_COMMIT_LIMITS: GroupCommitLimits = {
  intervalMilliseconds: COMMIT_INTERVAL_MILLISECONDS,
  maximumRowBytes: MAXIMUM_ROW_BYTES,
  maximumQueuedBytes: MAXIMUM_QUEUED_BYTES
}

/** Why a committer accepts no more entries. */
export type CommitterEndReason = Exclude<CommitOutcome, 'committed'> | 'drained' | 'stopped'

/** Options of a committer. */
export interface GroupCommitterOptions<Entry> extends Omit<StoreCallOptions, 'signal'> {
  readonly table: TableService
  readonly claim: CellClaim
  /** Sequence of the first row, as returned by recovery. */
  readonly nextSequence: SequenceNumber
  /** Returns a unique nonce at each call. */
  readonly nonce: () => string
  readonly limits?: GroupCommitLimits
  /**
   * Called with each row once it is committed, before the promises of its entries
   * resolve. A state that applies complete rows here can be snapshotted at any time.
   */
  readonly onCommitted?: (sequence: SequenceNumber, entries: readonly Entry[]) => void
  /** Called once, when the outcome of the last row is known or the committer has given it up. */
  readonly onEnd?: (end: CommitterEndReason) => void
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

/** Commits the entries of one cell under one claim, writing one row at a time. */
export class GroupCommitter<Entry extends Json> {
  readonly #options: GroupCommitterOptions<Entry>
  readonly #limits: GroupCommitLimits
  readonly #abort = new AbortController()
  #queue: QueuedEntry<Entry>[] = []
  #queuedBytes = 0
  #nextSequence: SequenceNumber
  #earliestCommitAt = -Infinity
  #scheduled = false
  #inFlight = false
  #draining = false
  #end: CommitterEndReason | undefined
  #endListeners: (() => void)[] = []

  constructor (options: GroupCommitterOptions<Entry>) {
    this.#options = options
    this.#limits = options.limits ?? GROUP_COMMIT_LIMITS
    this.#nextSequence = options.nextSequence
  }

  /** Sequence of the last committed row. */
  get committedSequence (): SequenceNumber {
    return sequenceNumber(this.#nextSequence - 1)
  }

  /** Number of queued entries, without those in the row that is being written. */
  get queuedEntries (): number {
    return this.#queue.length
  }

  /** Why the committer accepts no more entries; undefined while it accepts them. */
  get endReason (): CommitterEndReason | undefined {
    return this.#end
  }

  /**
   * Appends an entry; resolves with its row's sequence once that row is committed.
   * Entries keep their order. Rejects with `overloaded`, `body-too-large` or
   * `not-owner` if the entry is not in the journal and never will be, and with
   * `outcome-unknown` if only the cell's next owner can determine that.
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

  /** Accepts no more entries; resolves once the outcome of all accepted entries is known. */
  drain (): Promise<CommitterEndReason> {
    this.#draining = true
    if (!this.#inFlight && this.#queue.length === 0) this.#finish('drained')
    return this.#untilEnded()
  }

  /** Gives up immediately. The outcome of a row that is being written stays unknown. */
  stop (): Promise<CommitterEndReason> {
    this.#abort.abort()
    if (!this.#inFlight) this.#finish('stopped')
    return this.#untilEnded()
  }

  #refusal (bytes: number): CornelgaugeError | undefined {
    if (this.#draining || this.#end !== undefined || this.#abort.signal.aborted) return new CornelgaugeError('not-owner')
    if (bytes > this.#limits.maximumRowBytes) return new CornelgaugeError('body-too-large', { detail: `An entry of ${bytes} bytes fits no journal row` })
    if (this.#queuedBytes + bytes > this.#limits.maximumQueuedBytes) return new CornelgaugeError('overloaded')
    return undefined
  }

  /**
   * Schedules the commit of the next row: in a microtask if the commit interval has
   * passed, so that entries appended in the same turn of the event loop share a row;
   * otherwise at the end of the interval.
   */
  #schedule (): void {
    if (this.#scheduled || this.#inFlight || this.#queue.length === 0) return
    this.#scheduled = true
    const { clock } = this.#options
    const delayMilliseconds = this.#earliestCommitAt - clock.now()
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
    if (outcome === 'committed') this.#settleCommitted(batch)
    else this.#settleFailed(batch, outcome)
  }

  async #commit (batch: readonly QueuedEntry<Entry>[]): Promise<CommitOutcome> {
    const { table, claim, nonce, ...call } = this.#options
    this.#earliestCommitAt = call.clock.now() + this.#limits.intervalMilliseconds
    const draft = { sequence: this.#nextSequence, entries: batch.map(({ entry }) => entry), nonce: nonce() }
    try {
      return await commitRow(table, claim, draft, { ...call, signal: this.#abort.signal })
    } catch {
      return 'unsettled'
    }
  }

  #takeBatch (): readonly QueuedEntry<Entry>[] {
    let bytes = 0
    const exceedsRow = (queued: QueuedEntry<Entry>) => (bytes += queued.bytes) > this.#limits.maximumRowBytes
    const firstExcess = this.#queue.findIndex(exceedsRow)
    const batch = this.#queue.splice(0, firstExcess === -1 ? this.#queue.length : firstExcess)
    this.#queuedBytes -= batch.reduce((sum, queued) => sum + queued.bytes, 0)
    return batch
  }

  #settleCommitted (batch: readonly QueuedEntry<Entry>[]): void {
    const sequence = this.#nextSequence
    this.#nextSequence = sequenceNumber(sequence + 1)
    this.#options.onCommitted?.(sequence, batch.map(({ entry }) => entry))
    batch.forEach(({ resolve }) => resolve(sequence))
    if (this.#abort.signal.aborted) this.#finish('stopped')
    else if (this.#draining && this.#queue.length === 0) this.#finish('drained')
    else this.#schedule()
  }

  #settleFailed (batch: readonly QueuedEntry<Entry>[], outcome: Exclude<CommitOutcome, 'committed'>): void {
    batch.forEach(({ reject }) => reject(new CornelgaugeError(ROW_FAILURES[outcome])))
    this.#finish(outcome)
  }

  /** Queued entries were never sent, so they are rejected as definitely not committed. */
  #finish (end: CommitterEndReason): void {
    if (this.#end !== undefined) return
    this.#end = end
    const refused = this.#queue.splice(0)
    this.#queuedBytes = 0
    refused.forEach(({ reject }) => reject(new CornelgaugeError('not-owner')))
    this.#endListeners.splice(0).forEach(resolve => resolve())
    this.#options.onEnd?.(end)
  }

  async #untilEnded (): Promise<CommitterEndReason> {
    if (this.#end === undefined) await new Promise<void>(resolve => this.#endListeners.push(resolve))
    return this.#end as CommitterEndReason
  }
}
