/**
 * Retention: ended requests are kept for the document's retention time, then removed
 * together with their stored answers.
 */
import type { RequestId } from '@cornelgauge/model'
import type { Transaction } from './transaction.js'

const MAXIMUM_FORGOTTEN_PER_TICK = 200

/** Removes the oldest ended requests whose retention time has passed. */
export function forgetExpired (transaction: Transaction): void {
  const { ended, document, committed } = transaction.state
  const cutoff = transaction.now.wall - document.times.retentionMilliseconds
  const isExpired = (id: RequestId): boolean => (committed.get(id)?.endedAt ?? 0) <= cutoff
  const ids = ended.take(MAXIMUM_FORGOTTEN_PER_TICK).takeWhile(isExpired).toArray()
  if (ids.length === 0) return
  const objects = ids.map(id => committed.get(id)?.answer?.object).filter(object => object !== undefined)
  transaction.update({ ended: ended.skip(ids.length) })
  transaction.stage({ type: 'forgotten', ids, objects })
}
