/**
 * The waiting jobs: one queue for each kind, workspace and shape, in order of arrival.
 * All jobs of a queue need the same capacity, so if its first job can't be placed, no
 * other can. A withdrawn job is removed from `jobs` at once, but stays in the heap of
 * its queue until it is at the front.
 */
import type { KindName, RequestId, Shape, WorkspaceName } from '@cornelgauge/model'
import { Map as PersistentMap } from 'immutable'
import { addAmount, NO_AMOUNT, type Amount } from './amount.js'
import { compareNames } from './capacity.js'
import { pop, push, type Heap, type HeapNode } from './heap.js'
import type { Job } from './interface.js'

/** The waiting jobs of one workspace, kind and shape; never empty. */
export interface Queue {
  readonly key: string
  /** Key of the kind and workspace; queues with the same key are accounted for together in fair sharing. */
  readonly shareKey: string
  readonly shapeKey: string
  readonly kind: KindName
  readonly workspace: WorkspaceName
  readonly heap: Heap<Job>
  readonly size: number
  /** Sum of the capacity that the jobs request. */
  readonly amount: Amount
  readonly declaredMilliseconds: number
}

/** All waiting jobs. */
export interface Waiting {
  readonly jobs: PersistentMap<RequestId, Job>
  readonly queues: PersistentMap<string, Queue>
}

export const NOTHING_WAITING: Waiting = { jobs: PersistentMap(), queues: PersistentMap() }

/** Orders jobs by arrival, and by id if they arrived at the same time. */
export function arrivesBefore (first: Job, second: Job): boolean {
  return first.arrivedAt < second.arrivedAt ||
    (first.arrivedAt === second.arrivedAt && compareNames(first.id, second.id) < 0)
}

/** Returns the key of a kind and workspace. */
export function shareKey (kind: KindName, workspace: WorkspaceName): string {
  return `${kind}/${workspace}`
}

/** Returns the key of a shape. Shapes that request the same capacity have the same key. */
export function shapeKey ({ slots, accelerators, adjacency }: Shape): string {
  return accelerators === 0 ? `${slots}/0` : `${slots}/${accelerators}/${adjacency}`
}

/** Returns the key of the queue that a job belongs to. */
export function queueKey ({ kind, workspace, shape }: Job): string {
  return `${shareKey(kind, workspace)}/${shapeKey(shape)}`
}

/** Returns the capacity that a shape requests over all members. */
export function shapeAmount ({ slots, accelerators }: Shape): Amount {
  return { slots, accelerators }
}

function emptyQueue (job: Job): Queue {
  const { kind, workspace } = job
  return { key: queueKey(job), shareKey: shareKey(kind, workspace), shapeKey: shapeKey(job.shape), kind, workspace, heap: undefined, size: 0, amount: NO_AMOUNT, declaredMilliseconds: 0 }
}

function adjustTotals (queue: Queue, job: Job, times: number): Queue {
  return {
    ...queue,
    size: queue.size + times,
    amount: addAmount(queue.amount, shapeAmount(job.shape), times),
    declaredMilliseconds: queue.declaredMilliseconds + times * job.declaredMilliseconds
  }
}

/** Adds a job to its queue, replacing a job of the same id. */
export function enqueue (waiting: Waiting, job: Job): Waiting {
  const rest = dequeue(waiting, job.id)
  const key = queueKey(job)
  const queue = adjustTotals(rest.queues.get(key) ?? emptyQueue(job), job, 1)
  return {
    jobs: rest.jobs.set(job.id, job),
    queues: rest.queues.set(key, { ...queue, heap: push(queue.heap, job, arrivesBefore) })
  }
}

/** Removes a job from its queue. */
export function dequeue (waiting: Waiting, id: RequestId): Waiting {
  const job = waiting.jobs.get(id)
  if (job === undefined) return waiting
  const key = queueKey(job)
  const queue = adjustTotals(waiting.queues.get(key) as Queue, job, -1)
  const jobs = waiting.jobs.delete(id)
  if (queue.size === 0) return { jobs, queues: waiting.queues.delete(key) }
  return { jobs, queues: waiting.queues.set(key, { ...queue, heap: dropWithdrawn(queue.heap, jobs) }) }
}

function dropWithdrawn (heap: Heap<Job>, jobs: PersistentMap<RequestId, Job>): Heap<Job> {
  let rest = heap
  while (rest !== undefined && jobs.get(rest.item.id) !== rest.item) rest = pop(rest, arrivesBefore)
  return rest
}

/** Iterates over the jobs of a queue in order of arrival. */
export function * queuedJobs (waiting: Waiting, queue: Queue): Generator<Job> {
  let heap = dropWithdrawn(queue.heap, waiting.jobs)
  while (heap !== undefined) {
    yield heap.item
    heap = dropWithdrawn(pop(heap, arrivesBefore), waiting.jobs)
  }
}

/** Returns the job of a queue that arrived first. */
export function firstJob (queue: Queue): Job {
  return (queue.heap as HeapNode<Job>).item
}
