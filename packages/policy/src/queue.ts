/**
 * The waiting jobs: one queue for each kind, workspace and shape, each in order of
 * arrival, so that where the first job of a queue has no room, none behind it has. A withdrawn job stays in its heap until it comes to the front, and is
 * dropped there, because it is no longer in `jobs`.
 */
import type { KindName, RequestId, Shape, WorkspaceName } from '@cornelgauge/model'
import { Map as PersistentMap } from 'immutable'
import { addAmount, NO_AMOUNT, type Amount } from './amount.js'
import { compareNames } from './capacity.js'
import { pop, push, type Heap, type HeapNode } from './heap.js'
import type { Job } from './scheduler.js'

/** The waiting jobs of one workspace, kind and shape; never empty. */
export interface Queue {
  readonly key: string
  /** Key of the workspace and kind, whose queues share what they are given. */
  readonly shareKey: string
  readonly shapeKey: string
  readonly kind: KindName
  readonly workspace: WorkspaceName
  readonly heap: Heap<Job>
  readonly size: number
  /** What the jobs ask for, added up. */
  readonly amount: Amount
  readonly declaredMilliseconds: number
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

/** Key of a kind and workspace. */
export function shareKey (kind: KindName, workspace: WorkspaceName): string {
  return `${kind}/${workspace}`
}

/** Key of a shape; shapes that ask for the same have the same. */
export function shapeKey ({ slots, accelerators, adjacency }: Shape): string {
  return accelerators === 0 ? `${slots}/0` : `${slots}/${accelerators}/${adjacency}`
}

/** Key of the queue that a job belongs to. */
export function queueKey ({ kind, workspace, shape }: Job): string {
  return `${shareKey(kind, workspace)}/${shapeKey(shape)}`
}

/** What a shape asks for, over all members. */
export function shapeAmount ({ slots, accelerators }: Shape): Amount {
  return { slots, accelerators }
}

function emptyQueue (job: Job): Queue {
  const { kind, workspace } = job
  return { key: queueKey(job), shareKey: shareKey(kind, workspace), shapeKey: shapeKey(job.shape), kind, workspace, heap: undefined, size: 0, amount: NO_AMOUNT, declaredMilliseconds: 0 }
}

function count (queue: Queue, job: Job, times: number): Queue {
  return {
    ...queue,
    size: queue.size + times,
    amount: addAmount(queue.amount, shapeAmount(job.shape), times),
    declaredMilliseconds: queue.declaredMilliseconds + times * job.declaredMilliseconds
  }
}

/** The waiting jobs with one more; a job of the same id is replaced. */
export function enqueue (waiting: Waiting, job: Job): Waiting {
  const rest = dequeue(waiting, job.id)
  const key = queueKey(job)
  const queue = count(rest.queues.get(key) ?? emptyQueue(job), job, 1)
  return {
    jobs: rest.jobs.set(job.id, job),
    queues: rest.queues.set(key, { ...queue, heap: push(queue.heap, job, arrivesBefore) })
  }
}

/** The waiting jobs without this one. */
export function dequeue (waiting: Waiting, id: RequestId): Waiting {
  const job = waiting.jobs.get(id)
  if (job === undefined) return waiting
  const key = queueKey(job)
  const queue = count(waiting.queues.get(key) as Queue, job, -1)
  const jobs = waiting.jobs.delete(id)
  if (queue.size === 0) return { jobs, queues: waiting.queues.delete(key) }
  return { jobs, queues: waiting.queues.set(key, { ...queue, heap: dropGone(queue.heap, jobs) }) }
}

function dropGone (heap: Heap<Job>, jobs: PersistentMap<RequestId, Job>): Heap<Job> {
  let rest = heap
  while (rest !== undefined && jobs.get(rest.item.id) !== rest.item) rest = pop(rest, arrivesBefore)
  return rest
}

/** The jobs of a queue in order of arrival. */
export function * queuedJobs (waiting: Waiting, queue: Queue): Generator<Job> {
  let heap = dropGone(queue.heap, waiting.jobs)
  while (heap !== undefined) {
    yield heap.item
    heap = dropGone(pop(heap, arrivesBefore), waiting.jobs)
  }
}

/** The job that arrived first. */
export function firstJob (queue: Queue): Job {
  return (queue.heap as HeapNode<Job>).item
}
