/**
 * Stores the progress of jobs. Each write is conditional on this VM still owning the
 * planner and on the versions that its last write left, so a delayed write of an earlier
 * attempt or of an earlier owner has no effect.
 */
import { CornelgaugeError } from '@cornelgauge/model'
import { encodeProgress, type JobId, type Planner } from '@cornelgauge/jobs'
import type { RowPut, RowStore, StoredRow } from '@cornelgauge/ports'
import { PROGRESS_BATCH } from './limits.js'
import type { OwnerRecord } from './owner-record.js'
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

  constructor (store: RowStore, owner: OwnerRecord, versions: ReadonlyMap<JobId, number>) {
    this.#store = store
    this.#owner = owner
    this.#versions = new Map(versions)
  }

  /**
   * Stores one batch and marks it as stored in the planner. After a write without an answer the
   * next one has the same conditions; if the earlier one took effect, the store turns it away
   * with the current rows, from which a third continues.
   *
   * @returns the number of jobs stored
   * @throws {CornelgaugeError} `stale-epoch` if another VM owns the planner, or the store's failure
   */
  async write (planner: Planner): Promise<number> {
    const changes = new Map([...planner.unstoredJobs].slice(0, PROGRESS_BATCH))
    if (changes.size === 0) return 0
    const puts: RowPut[] = [...changes.keys()].map(id => ({
      table: PROGRESS_TABLE,
      key: id,
      value: { text: encodeProgress(planner.progressOf(id) ?? { hasBegun: false, steps: {} }) }
    }))
    const conditions = [...changes.keys()].map(id => ({ table: PROGRESS_TABLE, key: id, version: this.#versions.get(id) ?? 0 }))
    const outcome = await this.#store.write({ conditions: [this.#ownerCondition, ...conditions], puts })
    if (outcome.type === 'conflict') {
      this.#checkOwner(outcome.rows.find(row => row.table === OWNER_TABLE)?.version)
      this.#adoptVersions(changes, outcome.rows)
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

  /** Takes over the versions that a conflict reported; a row that it doesn't report doesn't exist. */
  #adoptVersions (changes: ReadonlyMap<JobId, number>, rows: readonly (StoredRow & { readonly table: string })[]): void {
    const versions = new Map(rows.filter(row => row.table === PROGRESS_TABLE).map(row => [row.key, row.version]))
    for (const id of changes.keys()) this.#versions.set(id, versions.get(id) ?? 0)
  }

  #checkOwner (version: number | undefined): void {
    if (version === this.#owner.version) return
    throw new CornelgaugeError('stale-epoch', { detail: `Another VM owns the planner since epoch ${this.#owner.epoch}` })
  }
}
