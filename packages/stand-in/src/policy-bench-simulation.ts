/**
 * Drives a policy with arrivals and ends of tasks on a virtual clock, and nothing
 * else: no network, no store, no clock of the machine.
 */
import type { Member, RequestId } from '@cornelgauge/model'
import type { Decision, Job, JobOutcome, PolicySettings, PolicyState, Scheduler, ServerDescription } from '@cornelgauge/policy'

const MOST_ATTEMPTS = 3

/** A job with what the policy cannot know of it. */
export interface WorkItem {
  readonly job: Job
  readonly trueMilliseconds: number
  /** How long it takes to stop it; nothing is lost of a checkpointable one. */
  readonly stopMilliseconds: number
}

/** A cell and all that arrives there. */
export interface Scenario {
  readonly settings: PolicySettings
  readonly servers: readonly ServerDescription[]
  /** In order of arrival. */
  readonly work: readonly WorkItem[]
  /** No event after this moment is looked at. */
  readonly endsAt: number
  /** A backend server that fails whatever it starts, soon after the start. */
  readonly failing?: { readonly server: string, readonly afterMilliseconds: number }
}

/** One stretch of running. */
export interface Run {
  readonly startedAt: number
  readonly endedAt: number
}

/** What became of a job. */
export interface Outcome {
  readonly item: WorkItem
  readonly state: 'refused' | 'waiting' | 'running' | 'finished' | 'failed'
  /** Attempts that failed. */
  readonly failures: number
  readonly firstStartAt?: number
  readonly finishedAt?: number
  /** Stretches whose work counted in the end. */
  readonly runs: readonly Run[]
  readonly preemptions: number
}

/** Looks at the capacity in use at a moment. */
export type Observer = (now: number, used: ReadonlyMap<string, Member>) => void

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
  members: readonly Member[]
  /** Grows with each start and stop, so that outdated events are known. */
  version: number
}

interface Event {
  readonly at: number
  readonly order: number
  readonly act: () => void
}

/** Events by time, then by the order in which they were added. */
class EventQueue {
  readonly #heap: Event[] = []
  #added = 0

  add (at: number, act: () => void): void {
    this.#heap.push({ at, order: this.#added++, act })
    this.#rise(this.#heap.length - 1)
  }

  get nextAt (): number {
    return this.#heap[0]?.at ?? Infinity
  }

  take (): Event {
    const first = this.#heap[0] as Event
    const last = this.#heap.pop() as Event
    if (this.#heap.length > 0) {
      this.#heap[0] = last
      this.#sink(0)
    }
    return first
  }

  #isBefore (first: number, second: number): boolean {
    const one = this.#heap[first] as Event
    const other = this.#heap[second] as Event
    return one.at < other.at || (one.at === other.at && one.order < other.order)
  }

  #swap (first: number, second: number): void {
    [this.#heap[first], this.#heap[second]] = [this.#heap[second] as Event, this.#heap[first] as Event]
  }

  #rise (from: number): void {
    for (let index = from; index > 0;) {
      const parent = (index - 1) >> 1
      if (!this.#isBefore(index, parent)) return
      this.#swap(index, parent)
      index = parent
    }
  }

  #sink (from: number): void {
    for (let index = from; ;) {
      let least = index
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < this.#heap.length && this.#isBefore(child, least)) least = child
      }
      if (least === index) return
      this.#swap(index, least)
      index = least
    }
  }
}

/** Drives one scenario through one policy. */
export class Simulation {
  readonly #scheduler: Scheduler
  readonly #scenario: Scenario
  readonly #checkpointable: ReadonlySet<string>
  readonly #idempotent: ReadonlySet<string>
  readonly #events = new EventQueue()
  readonly #progress = new Map<RequestId, Progress>()
  readonly #used = new Map<string, Member>()
  #state: PolicyState
  #now = 0
  #wakeAt = Infinity

  constructor (scheduler: Scheduler, scenario: Scenario) {
    this.#scheduler = scheduler
    this.#scenario = scenario
    this.#checkpointable = new Set(scenario.settings.kinds.filter(kind => kind.checkpointable).map(kind => kind.name))
    this.#idempotent = new Set(scenario.settings.kinds.filter(kind => kind.idempotent).map(kind => kind.name))
    this.#state = scheduler.createPolicy(scenario.settings)
    for (const server of scenario.servers) this.#state = scheduler.applyChange(this.#state, { type: 'server-joined', server, at: 0 })
  }

  /** Runs to the end and tells what became of each job; `observe` is called every `observeMilliseconds`. */
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
      while (this.#events.nextAt === next) this.#events.take().act()
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
    if (wakeAt === undefined || wakeAt <= this.#now || wakeAt === this.#wakeAt) return
    this.#wakeAt = wakeAt
    this.#events.add(wakeAt, () => {})
  }

  #execute (decision: Decision): void {
    const progress = this.#progress.get(decision.id) as Progress
    if (decision.type === 'start') this.#start(progress, decision.members)
    else if (decision.type === 'preempt') this.#at(progress, this.#now + progress.item.stopMilliseconds, () => this.#stop(progress))
    else progress.state = 'refused'
  }

  /** Adds an event that counts only if the job has neither ended nor stopped before. */
  #at (progress: Progress, at: number, act: () => void): void {
    const { version } = progress
    this.#events.add(at, () => {
      if (progress.version === version) act()
    })
  }

  #start (progress: Progress, members: readonly Member[]): void {
    const { job } = progress.item
    progress.version++
    Object.assign(progress, { state: 'running', startedAt: this.#now, members, attempts: progress.attempts + 1 })
    progress.firstStartAt ??= this.#now
    this.#use(members, 1)
    this.#state = this.#scheduler.applyChange(this.#state, { type: 'job-started', job, members, at: this.#now })
    const { failing } = this.#scenario
    if (members.some(member => member.server === failing?.server)) {
      this.#at(progress, this.#now + (failing?.afterMilliseconds ?? 0), () => this.#fail(progress))
    } else {
      this.#at(progress, this.#now + progress.remaining, () => this.#finish(progress))
    }
  }

  #finish (progress: Progress): void {
    this.#leave(progress, 'finished')
    progress.runs.push({ startedAt: progress.startedAt, endedAt: this.#now })
    Object.assign(progress, { state: 'finished', finishedAt: this.#now })
  }

  /** A failed attempt counts; idempotent work gets another one, other work does not. */
  #fail (progress: Progress): void {
    this.#leave(progress, 'failed')
    progress.failures++
    const { job } = progress.item
    progress.state = 'failed'
    if (!this.#idempotent.has(job.kind) || progress.attempts >= MOST_ATTEMPTS) return
    progress.state = 'waiting'
    this.#state = this.#scheduler.applyChange(this.#state, { type: 'job-arrived', job: { ...job, attempts: progress.attempts }, at: this.#now })
  }

  #stop (progress: Progress): void {
    this.#leave(progress, 'stopped')
    progress.preemptions++
    progress.state = 'waiting'
    if (this.#checkpointable.has(progress.item.job.kind)) {
      progress.remaining -= this.#now - progress.startedAt
      progress.runs.push({ startedAt: progress.startedAt, endedAt: this.#now })
    }
    const job = { ...progress.item.job, attempts: progress.attempts }
    this.#state = this.#scheduler.applyChange(this.#state, { type: 'job-arrived', job, at: this.#now })
  }

  #leave (progress: Progress, outcome: JobOutcome): void {
    progress.version++
    this.#use(progress.members, -1)
    this.#state = this.#scheduler.applyChange(this.#state, { type: 'job-ended', id: progress.item.job.id, outcome, at: this.#now })
  }

  #use (members: readonly Member[], times: number): void {
    for (const { server, slots, accelerators } of members) {
      const before = this.#used.get(server) ?? { server, slots: 0, accelerators: 0 }
      this.#used.set(server, { server, slots: before.slots + times * slots, accelerators: before.accelerators + times * accelerators })
    }
  }
}
