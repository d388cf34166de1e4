/**
 * Ended requests are kept for the document's retention time, then forgotten
 * together with their stored answers.
 */
import type { RequestId } from '@cornelgauge/model'
import type { Transaction } from './transaction.js'

const MAXIMUM_FORGOTTEN_AT_ONCE = 200

/** Forgets the oldest ended requests whose time is over. */
export function forgetEnded (transaction: Transaction): void {
  const { ended, document, committed } = transaction.state
  const before = transaction.at.wall - document.times.retentionMilliseconds
  const isOld = (id: RequestId): boolean => (committed.get(id)?.endedAt ?? 0) <= before
  const ids = ended.take(MAXIMUM_FORGOTTEN_AT_ONCE).takeWhile(isOld).toArray()
  if (ids.length === 0) return
  const objects = ids.map(id => committed.get(id)?.answer?.object).filter(object => object !== undefined)
  transaction.set({ ended: ended.skip(ids.length) })
  transaction.stage({ type: 'forgotten', ids, objects })
}
