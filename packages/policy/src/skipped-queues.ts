/** Queues and shapes that could not be placed in the current call of `decide`, so that they aren't tried again. */
import type { KindName } from '@cornelgauge/model'
import { shapeKey, type Queue } from './queue.js'
import type { Job } from './interface.js'

/**
 * Number of queues of one kind that may be skipped before the remaining ones are no
 * longer tried; bounds the work of one decision.
 */
const MAXIMUM_SKIPPED_PER_KIND = 32

/** The queues skipped so far, and the kinds and shapes for which no capacity outside guarantees is left. */
export class SkippedQueues {
  readonly #keys = new Set<string>()
  readonly #counts = new Map<KindName, number>()
  readonly #withoutRoom = new Set<string>()

  get keys (): ReadonlySet<string> {
    return this.#keys
  }

  add (queue: Queue): void {
    this.#keys.add(queue.key)
    this.#counts.set(queue.kind, (this.#counts.get(queue.kind) ?? 0) + 1)
  }

  /** True if the maximum number of queues of this kind has been skipped. */
  isKindExhausted (queue: Queue): boolean {
    return (this.#counts.get(queue.kind) ?? 0) >= MAXIMUM_SKIPPED_PER_KIND
  }

  /** True if a job of this kind and shape could not be placed. */
  hasNoRoom (job: Job): boolean {
    return this.#withoutRoom.has(`${job.kind}/${shapeKey(job.shape)}`)
  }

  markNoRoom (job: Job): void {
    this.#withoutRoom.add(`${job.kind}/${shapeKey(job.shape)}`)
  }
}
