/** Carries a write on until its outcome is settled, as `write-settlement.ts` decides. */
import { pause, systemClock } from '@cornelgauge/coordination'
import { asFailure, CornelgaugeError, type ErrorCode } from '@cornelgauge/model'
import { LAST_ATTEMPT_MILLISECONDS, REFUSED_WRITE_RETRY_MILLISECONDS, STORE_RETRY_MILLISECONDS } from './limits.js'
import { isRefusal } from './store-refusal.js'
import { nextWriteStep, type WriteOutcomeSoFar, type WriteStep } from './write-settlement.js'

/** Another VM that may carry out a write. */
export interface WriteRelay<Result> {
  /** True while a VM that reaches the store is known. */
  readonly isAvailable: () => boolean
  /** Has it carry out the write, with the time that is left for it. */
  readonly call: (milliseconds: number) => Promise<Result>
}

/** A write that is to be settled. */
export interface PendingWrite<Result> {
  /** Writes the row, and reads it back first if the outcome of an earlier attempt is unknown; undefined if it is to be repeated at once. */
  readonly attempt: (isOutcomeUnknown: boolean) => Promise<Result | undefined>
  readonly relay?: WriteRelay<Result> | undefined
  readonly isStoreAway: () => boolean
  /** The outcome of an earlier write of the row was left unknown. */
  readonly isOutcomeUnknown?: boolean
  /** The caller's deadline on the steady clock. */
  readonly deadline: number
  /** Called at the end of a write that wasn't settled by its first attempt. */
  readonly onProlonged?: ((write: ProlongedWrite) => void) | undefined
}

/** What became of a write that took more than one attempt. */
export interface ProlongedWrite {
  readonly attempts: number
  readonly relays: number
  readonly end: ErrorCode | 'settled'
  readonly milliseconds: number
}

/** Failures that each further attempt would have too. */
const FINAL_FAILURES: ReadonlySet<ErrorCode> = new Set<ErrorCode>(['id-cancelled', 'write-refused'])

/** Answers that end a write whose outcome isn't known as success. */
const ENDS: Readonly<Partial<Record<WriteStep, () => CornelgaugeError>>> = {
  refuse: () => new CornelgaugeError('overloaded', { detail: 'Neither this VM nor another one that it knows could reach the store or have it carry out the write' }),
  'report-unknown': () => new CornelgaugeError('outcome-unknown')
}

/**
 * Repeats a write until its outcome is known, or can't become known before the deadline. Each attempt is conditional, so
 * that the row is written at most once.
 *
 * @throws {CornelgaugeError} `overloaded` if nothing was carried out or will be, `outcome-unknown`, `id-cancelled`, or `write-refused`
 * @example
 * const row = await settleWrite({ attempt: () => write(), isStoreAway: () => false, deadline: performance.now() + 3000 })
 */
export async function settleWrite<Result> (write: PendingWrite<Result>): Promise<Result> {
  const started = performance.now()
  const counts = { attempts: 0, relays: 0 }
  let end: ProlongedWrite['end'] = 'settled'
  try {
    return await carryOn(write, counts)
  } catch (thrown) {
    end = asFailure(thrown).code
    throw thrown
  } finally {
    if (end !== 'settled' || counts.attempts !== 1 || counts.relays > 0) write.onProlonged?.({ ...counts, end, milliseconds: Math.round(performance.now() - started) })
  }
}

async function carryOn<Result> ({ attempt, relay, isStoreAway, isOutcomeUnknown = false, deadline }: PendingWrite<Result>, counts: { attempts: number, relays: number }): Promise<Result> {
  let outcome: WriteOutcomeSoFar = isOutcomeUnknown ? 'unknown' : 'undone'
  const lastAttemptAt = { undone: Math.min(deadline, performance.now() + REFUSED_WRITE_RETRY_MILLISECONDS), unknown: deadline - LAST_ATTEMPT_MILLISECONDS }
  for (;;) {
    const now = performance.now()
    const millisecondsLeft = { undone: lastAttemptAt.undone - now, unknown: lastAttemptAt.unknown - now }
    const canRelay = counts.relays === 0 && now < deadline && relay?.isAvailable() === true
    const step = nextWriteStep({ outcome, isStoreAway: isStoreAway(), millisecondsLeft, canRelay })
    const end = ENDS[step]
    if (end !== undefined) throw end()
    counts[step === 'relay' ? 'relays' : 'attempts'] += 1
    try {
      const result = step === 'relay' ? await relay!.call(deadline - now) : await endBy(deadline, attempt(outcome === 'unknown'))
      if (result !== undefined) return result
    } catch (thrown) {
      const failure = asFailure(thrown)
      if (FINAL_FAILURES.has(failure.code)) throw failure
      if (!isCertainlyUndone(failure)) outcome = 'unknown'
      if (step === 'attempt') await pause(systemClock, STORE_RETRY_MILLISECONDS)
    }
  }
}

/** Ends the wait for an attempt at the deadline; what it does later has no effect on the answer. */
async function endBy<Result> (deadline: number, attempt: Promise<Result>): Promise<Result> {
  const waiting = new AbortController()
  attempt.catch(() => {}).finally(() => waiting.abort())
  const limit = pause(systemClock, deadline - performance.now(), waiting.signal).then(() => { throw new CornelgaugeError('timeout') })
  limit.catch(() => {})
  return await Promise.race([attempt, limit])
}

/** True if an attempt that failed so was refused, or not a byte of it was sent. */
function isCertainlyUndone (failure: CornelgaugeError): boolean {
  return isRefusal(failure) || failure.members.sent === false
}
