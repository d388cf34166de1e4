/**
 * Simulates a policy: feeds it arrivals and ends of jobs on a virtual clock, without
 * network, storage or the machine's clock.
 */
import type { PlacementMember, RequestId } from '@cornelgauge/model'
import type { Decision, Job, JobOutcome, PolicySettings, PolicyState, Policy, ServerDescription } from '@cornelgauge/policy'

const MAXIMUM_ATTEMPTS = 3

/** A job and the properties that the policy does not know. */
export interface WorkItem {
  readonly job: Job
  readonly trueMilliseconds: number
  /** How long a preemption takes. A checkpointable job keeps its progress, any other job starts over. */
  readonly stopMilliseconds: number
}

/** A cell and the work that arrives at it. */
export interface Scenario {
  readonly settings: PolicySettings
  readonly servers: readonly ServerDescription[]
  /** In order of arrival. */
  readonly work: readonly WorkItem[]
  /** Events after this time are not processed. */
  readonly endsAt: number
  /** A backend server on which every attempt fails this long after its start. */
  readonly failing?: { readonly server: string, readonly afterMilliseconds: number }
}

/** One period of execution. */
export interface Run {
  readonly startedAt: number
  readonly endedAt: number
}

/** The result of a job. */
export interface Outcome {
  readonly item: WorkItem
  readonly state: 'refused' | 'waiting' | 'running' | 'finished' | 'failed'
  /** Number of attempts that failed. */
  readonly failures: number
  readonly firstStartAt?: number
  readonly finishedAt?: number
  /** Periods of execution whose work was not lost. */
  readonly runs: readonly Run[]
  readonly preemptions: number
}

/** Is called at regular times with the capacity in use by backend server. */
export type Observer = (now: number, used: ReadonlyMap<string, PlacementMember>) => void

interface Progress {
  readonly item: WorkItem
  state: Outcome['state']
  remaining: number
  firstStartAt?: number
  finishedAt?: number
  runs: Run[]
  preemptions: number
  failures: number
  attempts: number
  startedAt: number
  members: readonly PlacementMember[]
  /** Incremented with each start and stop, so that events of an earlier attempt are ignored. */
  version: number
}

interface QueuedEvent {
  readonly at: number
  readonly order: number
  readonly action: () => void
}

/** A binary heap of events, ordered by time and then by insertion. */
class EventQueue {
  readonly #heap: QueuedEvent[] = []
  #addedCount = 0

  add (at: number, action: () => void): void {
    this.#heap.push({ at, order: this.#addedCount++, action })
    this.#siftUp(this.#heap.length - 1)
  }

  get nextAt (): number {
    return this.#heap[0]?.at ?? Infinity
  }

  pop (): QueuedEvent {
    const first = this.#heap[0] as QueuedEvent
    const last = this.#heap.pop() as QueuedEvent
    if (this.#heap.length > 0) {
      this.#heap[0] = last
      this.#siftDown(0)
    }
    return first
  }

  #isBefore (first: number, second: number): boolean {
    const one = this.#heap[first] as QueuedEvent
    const other = this.#heap[second] as QueuedEvent
    return one.at < other.at || (one.at === other.at && one.order < other.order)
  }

  #swap (first: number, second: number): void {
    [this.#heap[first], this.#heap[second]] = [this.#heap[second] as QueuedEvent, this.#heap[first] as QueuedEvent]
  }

  #siftUp (from: number): void {
    for (let index = from; index > 0;) {
      const parent = (index - 1) >> 1
      if (!this.#isBefore(index, parent)) return
      this.#swap(index, parent)
      index = parent
    }
  }

  #siftDown (from: number): void {
    for (let index = from; ;) {
      let smallest = index
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < this.#heap.length && this.#isBefore(child, smallest)) smallest = child
      }
      if (smallest === index) return
      this.#swap(index, smallest)
      index = smallest
    }
  }
}

/** Simulates one scenario with one policy. */
export class Simulation {
  readonly #scheduler: Policy
  readonly #scenario: Scenario
  readonly #checkpointable: ReadonlySet<string>
  readonly #idempotent: ReadonlySet<string>
  readonly #events = new EventQueue()
  readonly #progress = new Map<RequestId, Progress>()
  readonly #used = new Map<string, PlacementMember>()
  #state: PolicyState
  #now = 0
  #nextWakeAt = Infinity

  constructor (scheduler: Policy, scenario: Scenario) {
    this.#scheduler = scheduler
    this.#scenario = scenario
    this.#checkpointable = new Set(scenario.settings.kinds.filter(kind => kind.checkpointable).map(kind => kind.name))
    this.#idempotent = new Set(scenario.settings.kinds.filter(kind => kind.idempotent).map(kind => kind.name))
    this.#state = scheduler.createPolicy(scenario.settings)
    for (const server of scenario.servers) this.#state = scheduler.applyChange(this.#state, { type: 'server-joined', server, at: 0 })
  }

  /** Runs until `endsAt` and returns the outcome of each job; calls `observe` every `observeMilliseconds`. */
  run (observe?: Observer, observeMilliseconds = 1000): readonly Outcome[] {
    for (const item of this.#scenario.work) this.#events.add(item.job.arrivedAt, () => this.#arrive(item))
    let observedAt = observeMilliseconds
    while (this.#events.nextAt <= this.#scenario.endsAt) {
      const next = this.#events.nextAt
      while (observedAt <= next) {
        observe?.(observedAt, this.#used)
        observedAt += observeMilliseconds
      }
      this.#now = next
      while (this.#events.nextAt === next) this.#events.pop().action()
      this.#decide()
    }
    return [...this.#progress.values()].map(({ item, state, firstStartAt, finishedAt, runs, preemptions, failures }) =>
      ({ item, state, firstStartAt, finishedAt, runs, preemptions, failures }))
  }

  #arrive (item: WorkItem): void {
    const progress: Progress = { item, state: 'waiting', remaining: item.trueMilliseconds, runs: [], preemptions: 0, failures: 0, attempts: 0, startedAt: 0, members: [], version: 0 }
    this.#progress.set(item.job.id, progress)
    const admission = this.#scheduler.admit(this.#state, item.job, this.#now)
    if (!admission.admitted) {
      progress.state = 'refused'
      return
    }
    this.#state = this.#scheduler.applyChange(this.#state, { type: 'job-arrived', job: item.job, at: this.#now })
  }

  #decide (): void {
    const plan = this.#scheduler.decide(this.#state, this.#now)
    this.#state = plan.state
    for (const decision of plan.decisions) this.#execute(decision)
    const { wakeAt } = plan
    if (wakeAt === undefined || wakeAt <= this.#now || wakeAt === this.#nextWakeAt) return
    this.#nextWakeAt = wakeAt
    this.#events.add(wakeAt, () => {})
  }

  #execute (decision: Decision): void {
    const progress = this.#progress.get(decision.id) as Progress
    if (decision.type === 'start') this.#start(progress, decision.members)
    else if (decision.type === 'preempt') this.#schedule(progress, this.#now + progress.item.stopMilliseconds, () => this.#stop(progress))
    else progress.state = 'refused'
  }

  /** Schedules an action that is skipped if the job has ended or stopped by then. */
  #schedule (progress: Progress, at: number, action: () => void): void {
    const { version } = progress
    this.#events.add(at, () => {
      if (progress.version === version) action()
    })
  }

  #start (progress: Progress, members: readonly PlacementMember[]): void {
    const { job } = progress.item
    progress.version++
    Object.assign(progress, { state: 'running', startedAt: this.#now, members, attempts: progress.attempts + 1 })
    progress.firstStartAt ??= this.#now
    this.#addUsage(members, 1)
    this.#state = this.#scheduler.applyChange(this.#state, { type: 'job-started', job, members, at: this.#now })
    const { failing } = this.#scenario
    if (members.some(member => member.server === failing?.server)) {
      this.#schedule(progress, this.#now + (failing?.afterMilliseconds ?? 0), () => this.#fail(progress))
    } else {
      this.#schedule(progress, this.#now + progress.remaining, () => this.#finish(progress))
    }
  }

  #finish (progress: Progress): void {
    this.#release(progress, 'finished')
    progress.runs.push({ startedAt: progress.startedAt, endedAt: this.#now })
    Object.assign(progress, { state: 'finished', finishedAt: this.#now })
  }

  /** Counts the failed attempt; idempotent work is retried up to the maximum number of attempts, other work is not. */
  #fail (progress: Progress): void {
    this.#release(progress, 'failed')
    progress.failures++
    const { job } = progress.item
    progress.state = 'failed'
    if (!this.#idempotent.has(job.kind) || progress.attempts >= MAXIMUM_ATTEMPTS) return
    progress.state = 'waiting'
    this.#state = this.#scheduler.applyChange(this.#state, { type: 'job-arrived', job: { ...job, attempts: progress.attempts }, at: this.#now })
  }

  #stop (progress: Progress): void {
    this.#release(progress, 'stopped')
    progress.preemptions++
    progress.state = 'waiting'
    if (this.#checkpointable.has(progress.item.job.kind)) {
      progress.remaining -= this.#now - progress.startedAt
      progress.runs.push({ startedAt: progress.startedAt, endedAt: this.#now })
    }
    const job = { ...progress.item.job, attempts: progress.attempts }
    this.#state = this.#scheduler.applyChange(this.#state, { type: 'job-arrived', job, at: this.#now })
  }

  #release (progress: Progress, outcome: JobOutcome): void {
    progress.version++
    this.#addUsage(progress.members, -1)
    this.#state = this.#scheduler.applyChange(this.#state, { type: 'job-ended', id: progress.item.job.id, outcome, at: this.#now })
  }

  #addUsage (members: readonly PlacementMember[], sign: number): void {
    for (const { server, slots, accelerators } of members) {
      const usage = this.#used.get(server) ?? { server, slots: 0, accelerators: 0 }
      this.#used.set(server, { server, slots: usage.slots + sign * slots, accelerators: usage.accelerators + sign * accelerators })
    }
  }
}
