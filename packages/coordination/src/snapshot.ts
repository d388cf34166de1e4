/**
 * Snapshots of a cell's state in the object store, and the trimming of the
 * journal. The steps are ordered so that a failure between any two is harmless:
 * put the object, update the owner row to point to it, delete the journal rows below
 * the new tail, delete the older objects. Rows and objects that a failed step leaves
 * behind are deleted after the next snapshot, since deletions list what is actually
 * stored.
 */
import { cellName, CornelgaugeError, digestOf, epoch, sequenceNumber, type CellName, type Digest, type Epoch, type SequenceNumber } from '@cornelgauge/model'
import type { Json, ObjectStore, TableService } from '@cornelgauge/ports'
import { JOURNAL_TABLE, journalRange, padSequence } from './journal.js'
import { changeOwnerRow, type ChangeOutcome } from './owner-row-change.js'
import { claimInForce, type CellClaim, type OwnerRow } from './owner-row.js'
import { StoreCaller, type StoreCallOptions } from './store-call.js'

/** Maximum number of journal rows deleted by one transaction. */
export const TRIM_BATCH_ROWS = 100

const DIGEST_PREFIX_LENGTH = 12
const FORMAT = 1
const NEW_LINE = 0x0a

/** The state of a cell after the journal row with this sequence. */
export interface Snapshot<Content> {
  readonly cell: CellName
  readonly epoch: Epoch
  readonly sequence: SequenceNumber
  readonly content: Content
}

interface SnapshotHeader {
  readonly format: typeof FORMAT
  readonly cell: CellName
  readonly epoch: Epoch
  readonly sequence: SequenceNumber
  /** Digest of the content's bytes. */
  readonly digest: Digest
}

/** The two storage services of the platform. */
export interface Stores {
  readonly table: TableService
  readonly objects: ObjectStore
}

/** A serialized snapshot and the name of its object. */
export interface SnapshotObject {
  readonly name: string
  readonly bytes: Uint8Array
}

/**
 * Serializes a snapshot to a named object: one line with the header, then the content as JSON.
 *
 * @example
 * const { name, bytes } = encodeSnapshot({ cell, epoch, sequence, content })
 */
export function encodeSnapshot<Content extends Json> (snapshot: Snapshot<Content>): SnapshotObject {
  const { content, ...position } = snapshot
  const text = JSON.stringify(content)
  const header: SnapshotHeader = { format: FORMAT, ...position, digest: digestOf(text) }
  const name = `${snapshotPrefix(snapshot.cell)}${padSequence(snapshot.sequence)}-${snapshot.epoch}-${header.digest.slice(0, DIGEST_PREFIX_LENGTH)}`
  return { name, bytes: Buffer.from(`${JSON.stringify(header)}\n${text}`) }
}

/**
 * Parses a snapshot object and verifies its digest. Throws `record-damaged`.
 *
 * @example
 * decodeSnapshot(encodeSnapshot(snapshot).bytes) // equal to snapshot
 */
export function decodeSnapshot<Content extends Json> (bytes: Uint8Array): Snapshot<Content> {
  try {
    const end = bytes.indexOf(NEW_LINE)
    const header = JSON.parse(Buffer.from(bytes.subarray(0, end)).toString()) as SnapshotHeader
    const body = bytes.subarray(end + 1)
    if (header.format !== FORMAT || header.digest !== digestOf(body)) throw new CornelgaugeError('record-damaged', { detail: 'The snapshot fails its digest' })
    const content = JSON.parse(Buffer.from(body).toString()) as Content
    return { cell: cellName(header.cell), epoch: epoch(header.epoch), sequence: sequenceNumber(header.sequence), content }
  } catch (cause) {
    throw new CornelgaugeError('record-damaged', { detail: 'The snapshot is damaged', cause })
  }
}

/**
 * Takes a snapshot and trims the journal. After the outcome `made` the owner row
 * points to it; deletions that failed are repeated after the next snapshot.
 *
 * @example
 * const outcome = await takeSnapshot({ table, objects }, claim, { sequence: lastCommitted, content }, options)
 */
export async function takeSnapshot<Content extends Json> (stores: Stores, claim: CellClaim, state: Pick<Snapshot<Content>, 'sequence' | 'content'>, options: StoreCallOptions): Promise<ChangeOutcome> {
  const object = encodeSnapshot({ cell: claim.cell, epoch: claim.epoch, ...state })
  const caller = new StoreCaller(options)
  try {
    await caller.retryUntilAnswered(() => stores.objects.put(object.name, object.bytes))
  } catch (failure) {
    if (caller.aborted) return { type: 'unsettled' }
    throw failure
  }
  const outcome = await changeOwnerRow(stores.table, claim, snapshotChange(object.name, state.sequence), options)
  if (outcome.type === 'made') await deleteObsolete(stores, claim, outcome.row)
  return outcome
}

function snapshotChange (snapshot: string, sequence: SequenceNumber) {
  const apply = (row: OwnerRow): OwnerRow => ({ ...row, snapshot, snapshotSequence: sequence, tail: sequenceNumber(sequence + 1) })
  return { apply, isMade: (row: OwnerRow) => row.snapshotSequence >= sequence }
}

/** Deletes the obsolete rows and objects. Failures are ignored: what remains is deleted after the next snapshot. */
async function deleteObsolete (stores: Stores, claim: CellClaim, row: OwnerRow): Promise<void> {
  try {
    await trimJournal(stores.table, claim, row.tail)
    await deleteOldSnapshots(stores.objects, row)
  } catch (failure) {
    if (!(failure instanceof CornelgaugeError)) throw failure
  }
}

/**
 * Deletes the journal rows below the tail, in batches, and returns their number. If
 * the table service fails, the batches before that remain deleted.
 *
 * @example
 * await trimJournal(table, claim, row.tail)
 */
export async function trimJournal (table: TableService, claim: CellClaim, tail: SequenceNumber): Promise<number> {
  let trimmed = 0
  while (true) {
    const rows = await table.range(journalRange(claim.cell, { before: tail, limit: TRIM_BATCH_ROWS }))
    if (rows.length === 0) return trimmed
    const operations = rows.map(({ key }) => ({ type: 'delete' as const, table: JOURNAL_TABLE, key }))
    await table.write({ conditions: [claimInForce(claim)], operations })
    trimmed += rows.length
  }
}

/**
 * Deletes the snapshots of a cell that are older than the one its owner row points to.
 *
 * @example
 * await deleteOldSnapshots(objects, row)
 */
export async function deleteOldSnapshots (objects: ObjectStore, row: OwnerRow): Promise<void> {
  const prefix = snapshotPrefix(row.cell)
  const oldest = `${prefix}${padSequence(row.snapshotSequence)}`
  const names = await objects.list(prefix)
  for (const name of names.filter(name => name < oldest)) await objects.delete(name)
}

function snapshotPrefix (cell: CellName): string {
  return `snapshots/${cell}/`
}
