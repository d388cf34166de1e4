/**
 * Stores until when every start is recorded, for the next owner. An owner records each start before it sends it. While the
 * store is away it may send others, but only after a moment that it has stored in advance; while the store answers it
 * moves that moment on. So a new owner that claims before it has to look for no start that isn't recorded.
 */
import { epoch, type Epoch } from '@cornelgauge/model'
import type { UnrecordedStarts } from '@cornelgauge/jobs'
import type { RowStore, RowValue, StoredRow } from '@cornelgauge/ports'
import { RECORDED_PERIOD_MILLISECONDS, REPLACED_OWNER_START_MILLISECONDS, UNRECORDED_START_CONFIRMATION_MILLISECONDS } from './limits.js'
import { checkOwner, isEpochNumber, type OwnerRecord } from './owner-record.js'
import { settledServersIn, type StoredServers } from './server-record.js'
import { readTable, type StoreClock } from './table-reader.js'
import { OWNER_KEY, OWNER_TABLE, RECORDED_PERIOD_KEY } from './tables.js'

/** The period in which all starts are recorded, as it is stored. */
export interface RecordedPeriod {
  /** Epoch of the owner that has stored it. */
  readonly under: Epoch
  /** Its end, on the store's clock, in whole milliseconds. */
  readonly until: number
  /** Starts that may be missing all the same: those of owners up to one, whose runs have ended at the latest by a time on the store's clock if none has renewed their leases since. */
  readonly unrecorded?: Pick<UnrecordedStarts, 'upTo' | 'until'>
}

/** The row of a period. Earlier releases read `under` and `until`, and take all starts of the period for recorded. */
type PeriodRow = Partial<Record<'under' | 'until' | 'partialUntil' | 'unrecordedUpTo' | 'unrecordedUntil', unknown>>

/**
 * Finds the recorded period among the rows of the owner's table; undefined if there is none that can be read.
 *
 * @example
 * const period = recordedPeriodIn(rows)
 */
export function recordedPeriodIn (rows: readonly StoredRow[]): RecordedPeriod | undefined {
  const { under, until, partialUntil, unrecordedUpTo: upTo, unrecordedUntil }: PeriodRow = rows.find(({ key }) => key === RECORDED_PERIOD_KEY)?.value ?? {}
  if (!isEpochNumber(under)) return undefined
  if (Number.isSafeInteger(until)) return { under: epoch(under), until: Number(until) }
  if (!Number.isSafeInteger(partialUntil) || !isEpochNumber(upTo) || upTo >= under || !Number.isSafeInteger(unrecordedUntil)) return undefined
  return { under: epoch(under), until: Number(partialUntil), unrecorded: { upTo: epoch(upTo), until: Number(unrecordedUntil) } }
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
  return period?.unrecorded === undefined && isPeriodValid(period, owner, clock)
}

/**
 * Returns which starts of the owners before this one may be missing, if those after them are all recorded.
 *
 * @example
 * planner.inheritServers(stored.ids, bounds, areRecorded, unrecordedStartsOf(period, owner, stored))
 */
export function unrecordedStartsOf (period: RecordedPeriod | undefined, owner: OwnerRecord, stored: StoredServers): UnrecordedStarts | undefined {
  const { clock } = stored
  if (period?.unrecorded === undefined || clock === undefined || !isPeriodValid(period, owner, clock)) return undefined
  const { upTo, until } = period.unrecorded
  return { upTo, until: clock.receivedAt + until - clock.milliseconds, settledServers: settledServersIn(stored, upTo) }
}

function isPeriodValid (period: RecordedPeriod | undefined, owner: OwnerRecord, clock: StoreClock | undefined): boolean {
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
  /** Starts of earlier owners that are missing until then; undefined while starts of this one are, or the store doesn't record them in time. */
  readonly unrecordedStarts?: () => Pick<UnrecordedStarts, 'upTo' | 'until'> | undefined
  /** The same as an earlier owner has stored it. */
  readonly inheritedStarts?: RecordedPeriod['unrecorded']
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
  readonly #options: RecordedStartsOptions & { readonly now: () => number }
  /** When the end of the period was last computed, whether it was stored or not; that of an earlier owner was computed before the claim. */
  #extendedAt: number
  /** When runs that aren't recorded have ended at the latest, on the store's clock: the same for all owners that pass it on. */
  #unrecordedUntil: number | undefined

  constructor (options: RecordedStartsOptions) {
    this.#options = { now: () => performance.now(), ...options }
    this.#extendedAt = this.#options.now()
    this.#unrecordedUntil = options.inheritedStarts?.until
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
    const rowOf = clock === undefined ? undefined : this.#rowWith(clock)
    if (clock === undefined || rowOf === undefined) return
    this.#extendedAt = now()
    const until = Math.floor(clock.milliseconds + this.#extendedAt - clock.receivedAt) + RECORDED_PERIOD_MILLISECONDS
    const outcome = await store.write({
      conditions: [{ table: OWNER_TABLE, key: OWNER_KEY, version: owner.version }],
      puts: [{ table: OWNER_TABLE, key: RECORDED_PERIOD_KEY, value: { under: owner.epoch, ...rowOf(until) } }]
    })
    if (outcome.type === 'conflict') checkOwner(owner, outcome.rows.find(({ key }) => key === OWNER_KEY)?.version)
  }

  /** Returns the form in which the end of the period is stored; undefined if it must not be moved on. */
  #rowWith ({ milliseconds, sentAt }: StoreClock): ((until: number) => RowValue) | undefined {
    const { isRecordComplete, unrecordedStarts } = this.#options
    if (isRecordComplete()) return until => ({ until })
    const unrecorded = unrecordedStarts?.()
    if (unrecorded === undefined) return undefined
    const unrecordedUntil = this.#unrecordedUntil ??= Math.ceil(milliseconds + 1 + unrecorded.until - sentAt)
    return partialUntil => ({ partialUntil, unrecordedUpTo: unrecorded.upTo, unrecordedUntil })
  }
}
