/**
 * Stores until when every start is recorded, for the next owner. An owner records each start before it sends it. While the
 * store is away it may send others, but only after a moment that it has stored in advance; while the store answers it
 * moves that moment on. So a new owner that claims before it has to look for no start that isn't recorded.
 */
import { epoch, type Epoch } from '@cornelgauge/model'
import type { RowStore, StoredRow } from '@cornelgauge/ports'
import { RECORDED_PERIOD_MILLISECONDS, REPLACED_OWNER_START_MILLISECONDS, UNRECORDED_START_CONFIRMATION_MILLISECONDS } from './limits.js'
import { checkOwner, isEpochNumber, type OwnerRecord } from './owner-record.js'
import { readTable, type StoreClock } from './table-reader.js'
import { OWNER_KEY, OWNER_TABLE, RECORDED_PERIOD_KEY } from './tables.js'

/** The period in which all starts are recorded, as it is stored. */
export interface RecordedPeriod {
  /** Epoch of the owner that has stored it. */
  readonly under: Epoch
  /** Its end, on the store's clock, in whole milliseconds. */
  readonly until: number
  /** The last owner whose starts may be missing in the record all the same; 0 if there is none. */
  readonly unrecordedUpTo: Epoch
}

/**
 * Finds the recorded period among the rows of the owner's table; undefined if there is none that can be read.
 *
 * @example
 * const period = recordedPeriodIn(rows)
 */
export function recordedPeriodIn (rows: readonly StoredRow[]): RecordedPeriod | undefined {
  const { under, until, unrecordedUpTo } = (rows.find(({ key }) => key === RECORDED_PERIOD_KEY)?.value ?? {}) as Partial<Record<keyof RecordedPeriod, unknown>>
  if (!isEpochNumber(under) || !Number.isSafeInteger(until) || !isEpochNumber(unrecordedUpTo) || unrecordedUpTo >= under) return undefined
  return { under: epoch(under), until: Number(until), unrecordedUpTo: epoch(unrecordedUpTo) }
}

/**
 * Returns the last owner whose starts may be missing in the record; 0 if there is none. What the period says holds if it was still
 * to end when this owner claimed, also for an owner that went on for a while after it was replaced, and if each owner since has
 * recorded its starts. A period that no earlier owner can have stored counts as none.
 *
 * @example
 * planner.inheritServers(ids, bounds, unrecordedUpTo(period, owner, stored.clock))
 */
export function unrecordedUpTo (period: RecordedPeriod | undefined, owner: OwnerRecord, clock: StoreClock | undefined): Epoch {
  const lastOwner = epoch(owner.epoch - 1)
  if (period === undefined || clock === undefined || owner.recordedSince === undefined) return lastOwner
  // The store's clock, which is given as whole milliseconds, was read after the claim.
  const claimedBy = clock.milliseconds + 1
  if (period.under < owner.recordedSince || period.under > lastOwner || period.until > claimedBy + RECORDED_PERIOD_MILLISECONDS) return lastOwner
  return claimedBy + REPLACED_OWNER_START_MILLISECONDS <= period.until ? period.unrecordedUpTo : lastOwner
}

/** Options of the record of one owner. */
export interface RecordedStartsOptions {
  readonly store: RowStore
  readonly owner: OwnerRecord
  /** The last owner whose starts may be missing in the record, 0 if there is none; undefined while starts of this one may, or aren't recorded in time. */
  readonly unrecordedUpTo: () => Epoch | undefined
  /** Milliseconds since ownership was last confirmed by the store or by a majority of peers. */
  readonly confirmedAge: () => number
  /** Monotonic time in milliseconds. */
  readonly now?: () => number
}

/**
 * Keeps the recorded period of one owner.
 *
 * @example
 * await starts.confirm()
 * gate.release(now, starts.mayStartUnrecorded)
 */
export class RecordedStarts {
  readonly #options: Required<RecordedStartsOptions>
  /** When the end of the period was last computed, whether it was stored or not; that of an earlier owner was computed before the claim. */
  #extendedAt: number

  constructor (options: RecordedStartsOptions) {
    this.#options = { now: () => performance.now(), ...options }
    this.#extendedAt = this.#options.now()
  }

  /** True if starts need not be recorded: the period has ended, and most members have lately followed this owner. */
  get mayStartUnrecorded (): boolean {
    const { now, confirmedAge } = this.#options
    return now() >= this.#extendedAt + RECORDED_PERIOD_MILLISECONDS && confirmedAge() < UNRECORDED_START_CONFIRMATION_MILLISECONDS
  }

  /**
   * Confirms with the store that this VM owns the planner, and moves the end of the period on.
   *
   * @throws {CornelgaugeError} `stale-epoch` if another VM owns the planner, or the store's failure
   */
  async confirm (): Promise<void> {
    const { store, owner, now } = this.#options
    const { rows, clock } = await readTable(store, OWNER_TABLE, { now })
    checkOwner(owner, rows.find(({ key }) => key === OWNER_KEY)?.version)
    const lastUnrecorded = this.#options.unrecordedUpTo()
    if (clock === undefined || lastUnrecorded === undefined) return
    this.#extendedAt = now()
    const until = Math.floor(clock.milliseconds + this.#extendedAt - clock.receivedAt) + RECORDED_PERIOD_MILLISECONDS
    const outcome = await store.write({
      conditions: [{ table: OWNER_TABLE, key: OWNER_KEY, version: owner.version }],
      puts: [{ table: OWNER_TABLE, key: RECORDED_PERIOD_KEY, value: { under: owner.epoch, until, unrecordedUpTo: lastUnrecorded } }]
    })
    if (outcome.type === 'conflict') checkOwner(owner, outcome.rows.find(({ key }) => key === OWNER_KEY)?.version)
  }
}
