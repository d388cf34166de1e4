/**
 * The waiting jobs: one queue for each kind and workspace, each in order of
 * arrival. A withdrawn job stays in its heap until it comes to the front, and is
 * dropped there, because it is no longer in `jobs`.
 */
import type { KindName, RequestId, WorkspaceName } from '@cornelgauge/model'
import { Map as PersistentMap } from 'immutable'
import { compareNames } from './capacity.js'
import { pop, push, type Heap } from './heap.js'
import type { Job } from './scheduler.js'

/** The waiting jobs of one workspace and kind. */
export interface Queue {
  readonly kind: KindName
  readonly workspace: WorkspaceName
  readonly heap: Heap<Job>
  readonly size: number
}

/** All waiting jobs. */
export interface Waiting {
  readonly jobs: PersistentMap<RequestId, Job>
  readonly queues: PersistentMap<string, Queue>
}

export const NOTHING_WAITING: Waiting = { jobs: PersistentMap(), queues: PersistentMap() }

/** The order of arrival; the id decides between jobs of the same moment. */
export function arrivesBefore (first: Job, second: Job): boolean {
  return first.arrivedAt < second.arrivedAt ||
    (first.arrivedAt === second.arrivedAt && compareNames(first.id, second.id) < 0)
}

/** Key of a queue. */
export function queueKey (kind: KindName, workspace: WorkspaceName): string {
  return `${kind}/${workspace}`
}

/** The waiting jobs with one more; a job of the same id is replaced. */
export function enqueue (waiting: Waiting, job: Job): Waiting {
  const rest = dequeue(waiting, job.id)
  const key = queueKey(job.kind, job.workspace)
  const queue = rest.queues.get(key) ?? { kind: job.kind, workspace: job.workspace, heap: undefined, size: 0 }
  return {
    jobs: rest.jobs.set(job.id, job),
    queues: rest.queues.set(key, { ...queue, heap: push(queue.heap, job, arrivesBefore), size: queue.size + 1 })
  }
}

/** The waiting jobs without this one. */
export function dequeue (waiting: Waiting, id: RequestId): Waiting {
  const job = waiting.jobs.get(id)
  if (job === undefined) return waiting
  const key = queueKey(job.kind, job.workspace)
  const queue = waiting.queues.get(key) as Queue
  const jobs = waiting.jobs.delete(id)
  if (queue.size === 1) return { jobs, queues: waiting.queues.delete(key) }
  return { jobs, queues: waiting.queues.set(key, { ...queue, heap: dropGone(queue.heap, jobs), size: queue.size - 1 }) }
}

function dropGone (heap: Heap<Job>, jobs: PersistentMap<RequestId, Job>): Heap<Job> {
  let rest = heap
  while (rest !== undefined && jobs.get(rest.item.id) !== rest.item) rest = pop(rest, arrivesBefore)
  return rest
}

/** The first jobs of a queue in order of arrival, at most `limit` of them. */
export function firstJobs (waiting: Waiting, queue: Queue, limit: number): readonly Job[] {
  const found: Job[] = []
  let heap = dropGone(queue.heap, waiting.jobs)
  while (heap !== undefined && found.length < limit) {
    found.push(heap.item)
    heap = dropGone(pop(heap, arrivesBefore), waiting.jobs)
  }
  return found
}
