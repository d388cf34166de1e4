/**
 * Stores the progress of jobs. Each write is conditional on this VM still owning the
 * planner and on the versions that its last write left, so a delayed write of an earlier
 * attempt or of an earlier owner has no effect.
 */
import { asFailure, CornelgaugeError } from '@cornelgauge/model'
import { encodeProgress, jobId, type JobId, type Planner } from '@cornelgauge/jobs'
import type { RowPut, RowStore } from '@cornelgauge/ports'
import { PROGRESS_BATCH } from './limits.js'
import type { OwnerRecord } from './owner-record.js'
import { readTable } from './table-reader.js'
import { CANCELS_TABLE, JOBS_TABLE, OWNER_KEY, OWNER_TABLE, PROGRESS_TABLE } from './tables.js'

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
  /** True after a write without an answer or with a conflict: the row versions have to be read before the next write. */
  #isOutcomeUnknown = false

  constructor (store: RowStore, owner: OwnerRecord, versions: ReadonlyMap<JobId, number>) {
    this.#store = store
    this.#owner = owner
    this.#versions = new Map(versions)
  }

  /**
   * Stores one batch and marks it as stored in the planner.
   *
   * @returns the number of jobs stored
   * @throws {CornelgaugeError} `stale-epoch` if another VM owns the planner, or the store's failure
   */
  async write (planner: Planner): Promise<number> {
    const changes = new Map([...planner.unstoredJobs].slice(0, PROGRESS_BATCH))
    if (changes.size === 0) return 0
    if (this.#isOutcomeUnknown) await this.#readVersions(changes)
    const puts: RowPut[] = [...changes.keys()].map(id => ({
      table: PROGRESS_TABLE,
      key: id,
      value: { text: encodeProgress(planner.progressOf(id) ?? { hasBegun: false, steps: {} }) }
    }))
    const outcome = await this.#transact(changes, puts)
    if (outcome.type === 'conflict') {
      this.#checkOwner(outcome.rows.find(row => row.table === OWNER_TABLE)?.version)
      this.#isOutcomeUnknown = true
      return 0
    }
    for (const id of changes.keys()) this.#versions.set(id, outcome.version)
    planner.markStored(changes)
    return changes.size
  }

  /** Confirms with the store that this VM owns the planner. @throws {CornelgaugeError} `stale-epoch` */
  async confirmOwnership (): Promise<void> {
    this.#checkOwner((await this.#store.read(OWNER_TABLE, OWNER_KEY))?.version)
  }

  /** Deletes all rows of these jobs. */
  async deleteJobs (ids: readonly JobId[]): Promise<void> {
    const deletions = ids.flatMap(id => [JOBS_TABLE, CANCELS_TABLE, PROGRESS_TABLE].map(table => ({ table, key: id })))
    await this.#store.write({ conditions: [this.#ownerCondition], puts: [], deletions })
    for (const id of ids) this.#versions.delete(id)
  }

  get #ownerCondition (): { table: string, key: string, version: number } {
    return { table: OWNER_TABLE, key: OWNER_KEY, version: this.#owner.version }
  }

  async #transact (changes: ReadonlyMap<JobId, number>, puts: readonly RowPut[]): ReturnType<RowStore['write']> {
    const conditions = [...changes.keys()].map(id => ({ table: PROGRESS_TABLE, key: id, version: this.#versions.get(id) ?? 0 }))
    try {
      return await this.#store.write({ conditions: [this.#ownerCondition, ...conditions], puts })
    } catch (thrown) {
      const failure = asFailure(thrown)
      if (failure.code !== 'overloaded') this.#isOutcomeUnknown = true
      throw failure
    }
  }

  async #readVersions (changes: ReadonlyMap<JobId, number>): Promise<void> {
    const { rows } = await readTable(this.#store, PROGRESS_TABLE)
    const versions = new Map(rows.map(row => [jobId(row.key), row.version]))
    for (const id of changes.keys()) this.#versions.set(id, versions.get(id) ?? 0)
    this.#isOutcomeUnknown = false
  }

  #checkOwner (version: number | undefined): void {
    if (version === this.#owner.version) return
    throw new CornelgaugeError('stale-epoch', { detail: `Another VM owns the planner since epoch ${this.#owner.epoch}` })
  }
}
