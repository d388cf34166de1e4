/** What was tried in vain during one decision, so that it is not tried again. */
import type { KindName } from '@cornelgauge/model'
import { shapeKey, type Queue } from './queue.js'
import type { Job } from './scheduler.js'

/** How many queues of one kind may be tried in vain. */
const MOST_PASSED = 32

/** The queues passed over, and the shapes that no capacity outside guarantees is left for. */
export class PassedQueues {
  readonly #keys = new Set<string>()
  readonly #counts = new Map<KindName, number>()
  readonly #full = new Set<string>()

  get keys (): ReadonlySet<string> {
    return this.#keys
  }

  add (queue: Queue): void {
    this.#keys.add(queue.key)
    this.#counts.set(queue.kind, (this.#counts.get(queue.kind) ?? 0) + 1)
  }

  /** True where enough queues of this kind were tried. */
  isKindSpent (queue: Queue): boolean {
    return (this.#counts.get(queue.kind) ?? 0) >= MOST_PASSED
  }

  /** True where a job of this kind and shape found no room. */
  isFull (job: Job): boolean {
    return this.#full.has(`${job.kind}/${shapeKey(job.shape)}`)
  }

  markFull (job: Job): void {
    this.#full.add(`${job.kind}/${shapeKey(job.shape)}`)
  }
}
