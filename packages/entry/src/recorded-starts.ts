/**
 * Stores until when every start is recorded, for the next owner. An owner records each start before it sends it. While the
 * store is away it may send others, but only after a moment that it has stored in advance; while the store answers it
 * moves that moment on. So a new owner that claims before it has to look for no start that isn't recorded.
 */
import { epoch, type Epoch } from '@cornelgauge/model'
import type { RowStore, StoredRow } from '@cornelgauge/ports'
import { RECORDED_PERIOD_MILLISECONDS, REPLACED_OWNER_START_MILLISECONDS, UNRECORDED_START_CONFIRMATION_MILLISECONDS } from './limits.js'
import { checkOwner, type OwnerRecord } from './owner-record.js'
import { readTable, type StoreClock } from './table-reader.js'
import { OWNER_KEY, OWNER_TABLE, RECORDED_PERIOD_KEY } from './tables.js'

/** The period in which all starts are recorded, as it is stored. */
export interface RecordedPeriod {
  /** Epoch of the owner that has stored it. */
  readonly under: Epoch
  /** Its end, on the store's clock, in whole milliseconds. */
  readonly until: number
}

/**
 * Finds the recorded period among the rows of the owner's table; undefined if there is none that can be read.
 *
 * @example
 * const period = recordedPeriodIn(rows)
 */
export function recordedPeriodIn (rows: readonly StoredRow[]): RecordedPeriod | undefined {
  const { under, until } = (rows.find(({ key }) => key === RECORDED_PERIOD_KEY)?.value ?? {}) as Partial<Record<keyof RecordedPeriod, unknown>>
  if (!Number.isSafeInteger(under) || !Number.isSafeInteger(until) || Number(under) < 0) return undefined
  return { under: epoch(Number(under)), until: Number(until) }
}

/**
 * True if all starts of the owners before this one are recorded: the period was still to end when this one claimed, also for
 * an owner that went on for a while after it was replaced, and each owner since has recorded its starts. A period that no
 * earlier owner can have stored counts as none.
 *
 * @example
 * areStartsRecorded(period, owner, stored.clock)
 */
export function areStartsRecorded (period: RecordedPeriod | undefined, owner: OwnerRecord, clock: StoreClock | undefined): boolean {
  if (period === undefined || clock === undefined || owner.recordedSince === undefined) return false
  if (period.under < owner.recordedSince || period.under >= owner.epoch || period.until > clock.milliseconds + 1 + RECORDED_PERIOD_MILLISECONDS) return false
  // The store's clock, which is given as whole milliseconds, was read after the claim.
  return clock.milliseconds + 1 + REPLACED_OWNER_START_MILLISECONDS <= period.until
}

/** Options of the record of one owner. */
export interface RecordedStartsOptions {
  readonly store: RowStore
  readonly owner: OwnerRecord
  /** True if each run that may be executing is recorded, and the store records starts in time. */
  readonly isRecordComplete: () => boolean
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
    const { store, owner, isRecordComplete, now } = this.#options
    const { rows, clock } = await readTable(store, OWNER_TABLE, { now })
    checkOwner(owner, rows.find(({ key }) => key === OWNER_KEY)?.version)
    if (clock === undefined || !isRecordComplete()) return
    this.#extendedAt = now()
    const until = Math.floor(clock.milliseconds + this.#extendedAt - clock.receivedAt) + RECORDED_PERIOD_MILLISECONDS
    const outcome = await store.write({
      conditions: [{ table: OWNER_TABLE, key: OWNER_KEY, version: owner.version }],
      puts: [{ table: OWNER_TABLE, key: RECORDED_PERIOD_KEY, value: { under: owner.epoch, until } }]
    })
    if (outcome.type === 'conflict') checkOwner(owner, outcome.rows.find(({ key }) => key === OWNER_KEY)?.version)
  }
}
