/**
 * The journal of a cell: one row of the table `journal` for each group commit,
 * numbered without gaps. A row is written in one transaction on two conditions:
 * the owner's claim is in force, and no row with this sequence exists.
 *
 * Why the reported outcome is always correct, even if answers are lost or late:
 *
 * - `committed` is reported only if the service acknowledged this write, or if the
 *   row was read back with this write's nonce.
 * - A write attempt whose answer was lost may take effect later. So an absent row
 *   proves nothing while the claim is in force; the same row with the same nonce is
 *   written again, and the condition of absence lets at most one attempt take effect.
 * - `fenced` is reported only if no attempt has taken effect and none ever can: the
 *   owner row was read first and no longer showed the claim, which it will never
 *   show again, and the journal row was read after that. If an attempt may have
 *   taken effect, the tail is read last: a newer owner trims only rows below its
 *   tail, so a missing row at or above the tail never existed. A missing row below
 *   it may have been written and trimmed, and the outcome is `unsettled`.
 * - When the caller gives up, the outcome is `unsettled`. The next claimant of the
 *   cell fences all attempts and then reads the journal, which decides the outcome.
 * - A late attempt can take effect after its own row was trimmed. That row is below
 *   the tail, where nothing reads it, and the next trim deletes it.
 */
import { CornelgaugeError, epoch, sequenceNumber, cellName, type CellName, type Epoch, type SequenceNumber } from '@cornelgauge/model'
import type { Json, RangeQuery, Row, RowValue, TableService, Transaction } from '@cornelgauge/ports'
import { claimInForce, isInForce, readOwnerRow, type CellClaim, type StoredOwnerRow } from './owner-row.js'
import { StoreCaller, type StoreCallOptions } from './store-call.js'

/** The table that holds the journals of all cells. */
export const JOURNAL_TABLE = 'journal'

const SEQUENCE_DIGITS = 12

/** A row of the journal: the entries of one group commit. */
export interface JournalRow<Entry> {
  readonly cell: CellName
  readonly epoch: Epoch
  readonly sequence: SequenceNumber
  /** Unique for each row, so that a writer recognizes its own row when it reads it back. */
  readonly nonce: string
  readonly entries: readonly Entry[]
}

/** Outcome of a commit; the module comment says what each one guarantees. */
export type CommitOutcome = 'committed' | 'fenced' | 'unsettled'

/** Result of reading a row back: a final outcome, or `open` if the row has to be written again. */
type ReadBack = CommitOutcome | 'open'

/**
 * Returns the key of a journal row; keys sort in the order of sequences.
 *
 * @example
 * journalKey(cellName('praha'), sequenceNumber(7)) // 'praha/000000000007'
 */
export function journalKey (cell: CellName, sequence: SequenceNumber): string {
  return `${cell}/${padSequence(sequence)}`
}

/**
 * Formats a sequence as text that sorts in numeric order.
 *
 * @example
 * padSequence(sequenceNumber(7)) // '000000000007'
 */
export function padSequence (sequence: SequenceNumber): string {
  return String(sequence).padStart(SEQUENCE_DIGITS, '0')
}

/**
 * Returns the query for the rows of a cell's journal in a range of sequences; `before` is exclusive.
 *
 * @example
 * await table.range(journalRange(cell, { from: tail, limit: 64 }))
 */
export function journalRange (cell: CellName, bounds: { readonly from?: SequenceNumber, readonly before?: SequenceNumber, readonly limit?: number }): RangeQuery {
  const before = bounds.before === undefined ? `${cell}/:` : journalKey(cell, bounds.before)
  return { table: JOURNAL_TABLE, from: journalKey(cell, bounds.from ?? sequenceNumber(0)), before, limit: bounds.limit }
}

/**
 * Parses a journal row and validates its fields and its key. Throws `record-damaged`.
 *
 * @example
 * const rows = (await table.range(journalRange(cell, { from: tail }))).map(parseJournalRow)
 */
export function parseJournalRow<Entry extends Json> (found: Row): JournalRow<Entry> {
  const { cell, epoch: rowEpoch, sequence, nonce, entries } = found.value
  const isValid = typeof cell === 'string' && typeof rowEpoch === 'number' && typeof sequence === 'number' &&
    typeof nonce === 'string' && Array.isArray(entries) && found.key === journalKey(cellName(cell), sequenceNumber(sequence))
  if (!isValid) throw new CornelgaugeError('record-damaged', { detail: `Journal row ${found.key} is malformed` })
  return { cell: cellName(cell), epoch: epoch(rowEpoch), sequence: sequenceNumber(sequence), nonce, entries: entries as readonly Entry[] }
}

/**
 * Commits one row. Retries until the outcome is known or the signal aborts.
 *
 * @example
 * const outcome = await commitRow(table, claim, { sequence, entries, nonce }, options)
 */
export async function commitRow<Entry extends Json> (table: TableService, claim: CellClaim, draft: Pick<JournalRow<Entry>, 'sequence' | 'entries' | 'nonce'>, options: StoreCallOptions): Promise<CommitOutcome> {
  const row: JournalRow<Entry> = { cell: claim.cell, epoch: claim.epoch, ...draft }
  const commit = new RowCommit(table, claim, row, new StoreCaller(options))
  return commit.settle()
}

/** Writes one row, in as many attempts as it takes. */
class RowCommit<Entry extends Json> {
  readonly #table: TableService
  readonly #claim: CellClaim
  readonly #row: JournalRow<Entry>
  readonly #caller: StoreCaller
  /** True once an attempt got no answer, so that it may take effect at any time. */
  #mayHaveTakenEffect = false

  constructor (table: TableService, claim: CellClaim, row: JournalRow<Entry>, caller: StoreCaller) {
    this.#table = table
    this.#claim = claim
    this.#row = row
    this.#caller = caller
  }

  async settle (): Promise<CommitOutcome> {
    try {
      while (!this.#caller.aborted) {
        const outcome = await this.#attempt()
        if (outcome !== 'open') return outcome
        await this.#caller.backOff()
      }
    } catch (failure) {
      if (!this.#caller.aborted) throw failure
    }
    return 'unsettled'
  }

  async #attempt (): Promise<ReadBack> {
    const outcome = await this.#caller.write(this.#table, this.#transaction())
    if (outcome === 'done') return 'committed'
    this.#mayHaveTakenEffect ||= outcome === 'no-answer'
    return this.#readBack()
  }

  /** The order of the reads matters, as the module comment explains: owner row, journal row, and the owner row again for its tail. */
  async #readBack (): Promise<ReadBack> {
    const owner = await this.#readOwner()
    const found = await this.#caller.retryUntilAnswered(() => this.#table.read(JOURNAL_TABLE, this.#key()))
    if (found !== undefined) return found.value.nonce === this.#row.nonce ? 'committed' : 'fenced'
    if (isInForce(this.#claim, owner?.row)) return 'open'
    if (!this.#mayHaveTakenEffect) return 'fenced'
    return this.#outcomeFromTail(await this.#readOwner())
  }

  #outcomeFromTail (owner: StoredOwnerRow | undefined): CommitOutcome {
    const isUntrimmed = owner !== undefined && owner.row.tail <= this.#row.sequence
    return isUntrimmed ? 'fenced' : 'unsettled'
  }

  #readOwner (): Promise<StoredOwnerRow | undefined> {
    return this.#caller.retryUntilAnswered(() => readOwnerRow(this.#table, this.#claim.cell))
  }

  #key (): string {
    return journalKey(this.#claim.cell, this.#row.sequence)
  }

  #transaction (): Transaction {
    const key = this.#key()
    const value: RowValue = { ...this.#row }
    return {
      conditions: [claimInForce(this.#claim), { type: 'absent', table: JOURNAL_TABLE, key }],
      operations: [{ type: 'put', table: JOURNAL_TABLE, key, value }]
    }
  }
}
