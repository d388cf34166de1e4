/**
 * The journal of a cell: one row of the table `journal` for each group commit,
 * numbered without gaps. A row is written in one transaction on two conditions:
 * the owner's claim is in force, and no row with this sequence is there.
 *
 * Why an outcome is never told wrongly, whatever answers are lost or late:
 *
 * - `committed` is told only on the service's own word for this write, or after
 *   the row was read back with this write's nonce.
 * - A try whose answer was lost may land later. So "absent" alone settles nothing
 *   while the claim is in force; the same row with the same nonce is written again,
 *   and the condition of absence lets one of the tries take effect at most.
 * - `fenced` is told only where no try has landed and none ever can: the owner row
 *   was read first and no longer showed the claim, which it will never show again,
 *   and the journal row was read after that. Where a try may have landed, the tail
 *   is read last: a newer owner trims only rows below its tail, so a row at or
 *   above it was never there. Below it, the row may have been there and been
 *   trimmed, and the outcome is `unsettled`.
 * - When the caller gives up, the outcome is `unsettled`. Whoever claims the cell
 *   next fences all tries and then reads the journal, which settles the row for good.
 * - A late try can land after its own row was trimmed. It lies below the tail,
 *   where nobody reads, and the next trim deletes it.
 */
import { CornelgaugeError, epoch, sequenceNumber, cellName, type CellName, type Epoch, type SequenceNumber } from '@cornelgauge/model'
import type { Json, RangeQuery, Row, RowValue, TableService, Transaction } from '@cornelgauge/ports'
import { claimInForce, isInForce, readOwnerRow, type CellClaim, type StoredOwnerRow } from './owner-row.js'
import { StoreCaller, type StoreCallOptions } from './store-call.js'

/** The table that holds the journals of all cells. */
export const JOURNAL_TABLE = 'journal'

const SEQUENCE_DIGITS = 12

/** One group commit. */
export interface JournalRow<Entry> {
  readonly cell: CellName
  readonly epoch: Epoch
  readonly sequence: SequenceNumber
  /** Drawn anew for each row, so that its writer can tell its own from another's. */
  readonly nonce: string
  readonly entries: readonly Entry[]
}

/** How a commit ended; see the top of this module for what each one promises. */
export type CommitOutcome = 'committed' | 'fenced' | 'unsettled'

/** What the read-back of a row showed: settled, or `open` and to be written again. */
type ReadBack = CommitOutcome | 'open'

/**
 * The key of a journal row; keys sort as sequences do.
 *
 * @example
 * journalKey(cellName('praha'), sequenceNumber(7)) // 'praha/000000000007'
 */
export function journalKey (cell: CellName, sequence: SequenceNumber): string {
  return `${cell}/${padSequence(sequence)}`
}

/**
 * A sequence as text that sorts as the number does.
 *
 * @example
 * padSequence(sequenceNumber(7)) // '000000000007'
 */
export function padSequence (sequence: SequenceNumber): string {
  return String(sequence).padStart(SEQUENCE_DIGITS, '0')
}

/**
 * The query for the rows of a cell's journal from one sequence up to, and without, another.
 *
 * @example
 * await table.range(journalRange(cell, { from: tail, limit: 64 }))
 */
export function journalRange (cell: CellName, bounds: { readonly from?: SequenceNumber, readonly before?: SequenceNumber, readonly limit?: number }): RangeQuery {
  const before = bounds.before === undefined ? `${cell}/:` : journalKey(cell, bounds.before)
  return { table: JOURNAL_TABLE, from: journalKey(cell, bounds.from ?? sequenceNumber(0)), before, limit: bounds.limit }
}

/**
 * Reads a journal row, checking its fields against its key. Fails with `record-damaged`.
 *
 * @example
 * const rows = (await table.range(journalRange(cell, { from: tail }))).map(parseJournalRow)
 */
export function parseJournalRow<Entry extends Json> (found: Row): JournalRow<Entry> {
  const { cell, epoch: rowEpoch, sequence, nonce, entries } = found.value
  const fits = typeof cell === 'string' && typeof rowEpoch === 'number' && typeof sequence === 'number' &&
    typeof nonce === 'string' && Array.isArray(entries) && found.key === journalKey(cellName(cell), sequenceNumber(sequence))
  if (!fits) throw new CornelgaugeError('record-damaged', { detail: `Journal row ${found.key} is malformed` })
  return { cell: cellName(cell), epoch: epoch(rowEpoch), sequence: sequenceNumber(sequence), nonce, entries: entries as readonly Entry[] }
}

/**
 * Commits one row. Tries until the outcome is settled or the signal aborts.
 *
 * @example
 * const outcome = await commitRow(table, claim, { sequence, entries, nonce }, options)
 */
export async function commitRow<Entry extends Json> (table: TableService, claim: CellClaim, draft: Pick<JournalRow<Entry>, 'sequence' | 'entries' | 'nonce'>, options: StoreCallOptions): Promise<CommitOutcome> {
  const row: JournalRow<Entry> = { cell: claim.cell, epoch: claim.epoch, ...draft }
  const commit = new RowCommit(table, claim, row, new StoreCaller(options))
  return commit.settle()
}

/** The tries to write one row. */
class RowCommit<Entry extends Json> {
  readonly #table: TableService
  readonly #claim: CellClaim
  readonly #row: JournalRow<Entry>
  readonly #caller: StoreCaller
  /** True once a try got no answer. */
  #mayHaveLanded = false

  constructor (table: TableService, claim: CellClaim, row: JournalRow<Entry>, caller: StoreCaller) {
    this.#table = table
    this.#claim = claim
    this.#row = row
    this.#caller = caller
  }

  async settle (): Promise<CommitOutcome> {
    try {
      while (!this.#caller.aborted) {
        const outcome = await this.#try()
        if (outcome !== 'open') return outcome
        await this.#caller.backOff()
      }
    } catch (failure) {
      if (!this.#caller.aborted) throw failure
    }
    return 'unsettled'
  }

  async #try (): Promise<ReadBack> {
    const written = await this.#caller.write(this.#table, this.#transaction())
    if (written === 'done') return 'committed'
    this.#mayHaveLanded ||= written === 'no-answer'
    return this.#readBack()
  }

  /** The order of the reads matters: owner row, journal row, and the owner row again for its tail. */
  async #readBack (): Promise<ReadBack> {
    const owner = await this.#readOwner()
    const found = await this.#caller.persist(() => this.#table.read(JOURNAL_TABLE, this.#key()))
    if (found !== undefined) return found.value.nonce === this.#row.nonce ? 'committed' : 'fenced'
    if (isInForce(this.#claim, owner?.row)) return 'open'
    if (!this.#mayHaveLanded) return 'fenced'
    return this.#afterTail(await this.#readOwner())
  }

  #afterTail (owner: StoredOwnerRow | undefined): CommitOutcome {
    const isKept = owner !== undefined && owner.row.tail <= this.#row.sequence
    return isKept ? 'fenced' : 'unsettled'
  }

  #readOwner (): Promise<StoredOwnerRow | undefined> {
    return this.#caller.persist(() => readOwnerRow(this.#table, this.#claim.cell))
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
