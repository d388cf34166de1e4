/**
 * Stores the progress of jobs. Each write is conditional on this VM still owning the
 * planner and on the versions that its last write left, so a delayed write of an earlier
 * attempt or of an earlier owner has no effect.
 */
import { asFailure } from '@cornelgauge/model'
import { decodeProgress, encodeProgress, type JobId, type JobProgress, type Planner } from '@cornelgauge/jobs'
import type { RowPut, RowStore, StoredRow, WriteOutcome } from '@cornelgauge/ports'
import { PROGRESS_BATCH, PROGRESS_BATCH_CHARACTERS, REFUSED_PROGRESS_MILLISECONDS } from './limits.js'
import { checkOwner, type OwnerRecord } from './owner-record.js'
import { CANCELS_TABLE, JOBS_TABLE, OWNER_KEY, OWNER_TABLE, PROGRESS_TABLE } from './tables.js'

/** A row of progress to be written. */
type ProgressPut = RowPut & { readonly key: JobId }

/** Changes of jobs, by their numbers, and the rows that store them. */
interface ProgressBatch {
  readonly changes: ReadonlyMap<JobId, number>
  readonly puts: readonly ProgressPut[]
}

/**
 * Writes the progress that the planner reports as unstored.
 *
 * @example
 * const writer = new ProgressWriter(store, owner, versions)
 * await writer.write(planner)
 */
export class ProgressWriter {
  readonly #store: RowStore
  readonly #owner: OwnerRecord
  readonly #versions: Map<JobId, number>
  readonly #now: () => number
  /** Jobs whose progress is being written. */
  readonly #inFlight = new Set<JobId>()
  /** Jobs whose progress the store has refused, with the time from which on it is written again, on the steady clock. */
  readonly #refusedUntil = new Map<JobId, number>()

  /** `now` is the steady clock. */
  constructor (store: RowStore, owner: OwnerRecord, versions: ReadonlyMap<JobId, number>, now = (): number => performance.now()) {
    this.#store = store
    this.#owner = owner
    this.#versions = new Map(versions)
    this.#now = now
  }

  /** True if there is progress to be written that isn't being written. */
  hasNext (planner: Planner): boolean {
    const now = this.#now()
    for (const [id, until] of this.#refusedUntil) if (until <= now) this.#refusedUntil.delete(id)
    return planner.unstoredCount > this.#inFlight.size + this.#refusedUntil.size
  }

  /**
   * Stores one batch, of jobs that no other call is writing, and marks it as stored in the planner. After a write without an answer the
   * next one has the same conditions; if the earlier one took effect, the store turns it away
   * with the current rows, and it is made once more with their versions. If the store refuses a batch for good, its
   * halves are written instead, down to single rows; a row that is refused by itself isn't written again for some time.
   *
   * @returns the number of jobs stored
   * @throws {CornelgaugeError} `stale-epoch` if another VM owns the planner, or the store's failure
   */
  async write (planner: Planner): Promise<number> {
    const batch = nextBatch(planner, id => this.#inFlight.has(id) || this.#refusedUntil.has(id))
    if (batch.changes.size === 0) return 0
    for (const id of batch.changes.keys()) this.#inFlight.add(id)
    try {
      return await this.#writeApart(planner, batch)
    } finally {
      for (const id of batch.changes.keys()) this.#inFlight.delete(id)
    }
  }

  async #writeApart (planner: Planner, batch: ProgressBatch): Promise<number> {
    try {
      return await this.#writeBatch(planner, batch)
    } catch (thrown) {
      if (asFailure(thrown).code !== 'write-refused') throw thrown
      const [one, ...others] = halvesOf(batch)
      if (others.length === 0) this.#refuse(planner, one!)
      let stored = 0
      for (const half of others.length === 0 ? [] : [one!, ...others]) stored += await this.#writeApart(planner, half)
      return stored
    }
  }

  #refuse (planner: Planner, { changes }: ProgressBatch): void {
    for (const id of changes.keys()) {
      this.#refusedUntil.set(id, this.#now() + REFUSED_PROGRESS_MILLISECONDS)
      planner.noteRefused(id)
    }
  }

  async #writeBatch (planner: Planner, { changes, puts }: ProgressBatch): Promise<number> {
    let outcome = await this.#transact(puts)
    if (outcome.type === 'conflict') outcome = await this.#transact(puts)
    if (outcome.type === 'conflict') return 0
    for (const id of changes.keys()) this.#versions.set(id, outcome.version)
    planner.markStored(changes)
    return changes.size
  }

  /**
   * Reads the progress of a job that the planner has released; undefined if there is none.
   *
   * @throws {CornelgaugeError} `record-damaged`, or the store's failure
   */
  async read (id: JobId): Promise<JobProgress | undefined> {
    const row = await this.#store.read(PROGRESS_TABLE, id)
    if (row === undefined) return undefined
    this.#versions.set(id, row.version)
    return decodeProgress(row.value.text)
  }

  /** The version of a job's progress row, as last written or loaded; 0 if there is none. */
  progressVersion (id: JobId): number {
    return this.#versions.get(id) ?? 0
  }

  /**
   * Deletes all rows of jobs, on condition of the versions of their progress rows: after a deletion
   * without an answer, another job may have been accepted under the same id.
   *
   * @returns the jobs whose rows are deleted now or were before; the others are to be tried again
   * @throws {CornelgaugeError} as `write`
   */
  async deleteJobs (progressVersions: ReadonlyMap<JobId, number>): Promise<ReadonlySet<JobId>> {
    const ids = [...progressVersions.keys()]
    const conditions = [...progressVersions].map(([key, version]) => ({ table: PROGRESS_TABLE, key, version }))
    const deletions = ids.flatMap(id => [JOBS_TABLE, CANCELS_TABLE, PROGRESS_TABLE].map(table => ({ table, key: id })))
    const outcome = await this.#store.write({ conditions: [this.#ownerCondition, ...conditions], puts: [], deletions })
    const current = outcome.type === 'conflict' ? this.#currentVersions(outcome.rows) : new Map<string, number>()
    const deleted = ids.filter(id => current.get(id) !== progressVersions.get(id))
    for (const id of deleted) if (this.#versions.get(id) === progressVersions.get(id)) this.#versions.delete(id)
    return new Set(deleted)
  }

  /**
   * Deletes the cancellations of ids under which there is no job. If a job has been accepted under one of them
   * meanwhile, the others remain too.
   *
   * @returns the ids whose cancellations need no further attempt
   * @throws {CornelgaugeError} as `write`
   */
  async deleteCancellations (ids: readonly JobId[]): Promise<ReadonlySet<JobId>> {
    const conditions = ids.map(key => ({ table: JOBS_TABLE, key, version: 0 }))
    const deletions = ids.map(key => ({ table: CANCELS_TABLE, key }))
    const outcome = await this.#store.write({ conditions: [this.#ownerCondition, ...conditions], puts: [], deletions })
    if (outcome.type === 'written') return new Set(ids)
    checkOwner(this.#owner, outcome.rows.find(row => row.table === OWNER_TABLE)?.version)
    const keys = new Set(outcome.rows.filter(row => row.table === JOBS_TABLE).map(row => row.key))
    return new Set(ids.filter(id => keys.has(id)))
  }

  get #ownerCondition (): { table: string, key: string, version: number } {
    return { table: OWNER_TABLE, key: OWNER_KEY, version: this.#owner.version }
  }

  /** Writes rows on condition of the known versions. A conflict tells the current ones; a row that it doesn't report doesn't exist. */
  async #transact (puts: readonly ProgressPut[]): Promise<WriteOutcome> {
    const conditions = puts.map(({ key }) => ({ table: PROGRESS_TABLE, key, version: this.#versions.get(key) ?? 0 }))
    const outcome = await this.#store.write({ conditions: [this.#ownerCondition, ...conditions], puts })
    if (outcome.type === 'written') return outcome
    const versions = this.#currentVersions(outcome.rows)
    for (const { key } of puts) this.#versions.set(key, versions.get(key) ?? 0)
    return outcome
  }

  /** The versions of progress rows that a conflict reports, once it is clear that this VM still owns the planner. */
  #currentVersions (rows: readonly (StoredRow & { readonly table: string })[]): ReadonlyMap<string, number> {
    checkOwner(this.#owner, rows.find(row => row.table === OWNER_TABLE)?.version)
    return new Map(rows.filter(row => row.table === PROGRESS_TABLE).map(row => [row.key, row.version]))
  }
}

/** Encodes the progress of the first jobs with unstored changes that aren't being written, as many as one transaction holds, and at least one. */
function nextBatch (planner: Planner, isLeftOut: (id: JobId) => boolean): ProgressBatch {
  const changes = new Map<JobId, number>()
  const puts: ProgressPut[] = []
  let characters = 0
  for (const [id, change] of [...planner.unstoredJobs].filter(([id]) => !isLeftOut(id)).slice(0, PROGRESS_BATCH)) {
    const text = encodeProgress(planner.progressOf(id) ?? { hasBegun: false, steps: {} })
    characters += text.length
    if (puts.length > 0 && characters > PROGRESS_BATCH_CHARACTERS) break
    changes.set(id, change)
    puts.push({ table: PROGRESS_TABLE, key: id, value: { text } })
  }
  return { changes, puts }
}

/** Divides a batch in two; one of a single row stays as it is. */
function halvesOf ({ changes, puts }: ProgressBatch): readonly ProgressBatch[] {
  const middle = puts.length >> 1
  const halves = puts.length < 2 ? [puts] : [puts.slice(0, middle), puts.slice(middle)]
  return halves.map(half => ({ changes: new Map(half.map(({ key }) => [key, changes.get(key)!])), puts: half }))
}
