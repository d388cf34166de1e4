/** What is known of one backend server. */
import { addCapacity, NO_CAPACITY, type Capacity } from './capacity.js'
import type { StopReason } from './command.js'
import type { PoolName, RunNumber, ServerId, TaskName } from './ids.js'
import { LEASE_MILLISECONDS, SERVER_CLOCK_SLOWEST, UNSOUND_AFTER_FAILURES } from './limits.js'

/** What the platform's registry tells of a backend server. */
export interface ServerEntry {
  readonly id: ServerId
  readonly pool: PoolName
  readonly address: string
  readonly failureDomain: string
  readonly capacity: Capacity
  readonly labels: readonly string[]
  /** The label that names its rack. */
  readonly rack: string
  readonly isLeaving: boolean
  /** How long it still serves at least, in milliseconds, while it is leaving. */
  readonly remainingMilliseconds?: number
  /** Start of its present life; a restart under the same id has another. */
  readonly life: number
}

/** How one run of a task ended. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** A run that a backend server lists as running. */
export interface ListedRun {
  readonly task: TaskName
  readonly run: RunNumber
  readonly checkpoint: string
  /** Share of the work that is done, 0 to 100. */
  readonly percent: number
}

/** A run that a backend server lists as ended. */
export interface ListedEnd {
  /** Position in the server's list of ends, from 1 in each of its lives. */
  readonly position: number
  readonly task: TaskName
  readonly run: RunNumber
  readonly how: RunEnd
  readonly checkpoint: string
}

/** One answer of a backend server to a look. */
export interface ServerReport {
  readonly life: number
  /** Its steady clock, in milliseconds. */
  readonly clock: number
  readonly running: readonly ListedRun[]
  readonly ended: readonly ListedEnd[]
  /** Our steady clock when the look was sent and its answer came, in milliseconds. */
  readonly sentAt: number
  readonly receivedAt: number
}

/**
 * Where one run stands.
 * - `ordered`: the start was sent.
 * - `running`: the backend server has confirmed it.
 * - `stopping`: it is to end.
 * - `doubtful`: the order had no answer and may still be carried out; a stop settles it.
 */
export type RunState = 'ordered' | 'running' | 'stopping' | 'doubtful'

/** One run that may be alive on a backend server. */
export interface Run {
  readonly task: TaskName
  readonly run: RunNumber
  readonly server: ServerId
  readonly need: Capacity
  state: RunState
  /** When the order was sent, on our steady clock. */
  readonly orderedAt: number
  /** When the order was answered, on our steady clock. */
  confirmedAt: number
  /** A stop was answered: whatever was on its way can't start any more. */
  isStopConfirmed: boolean
  /** When that answer came. */
  stopConfirmedAt: number
  percent: number
  /** When the percentage last rose. */
  percentAt: number
  checkpoint: string
  /** Why it is stopped, once it is. */
  stopReason?: StopReason
  /** When a stop was last sent; a stop without an answer is sent again. */
  stopSentAt: number
}

/** A backend server with what runs there. */
export class Server {
  entry: ServerEntry
  /** The registry lists it. */
  isListed = true
  /** It has answered a look of this owner in its present life. */
  isJoined = false
  /** Failed looks since the last answer. */
  missedLooks = 0
  lastAnswerAt = -Infinity
  /** Highest end that was heard of, and highest whose effects are stored. */
  heardPosition = 0
  notedPosition = 0
  readonly runs = new Map<string, Run>()
  /** Failures of tasks since the last one that was done here. */
  failures = 0
  lastFailureAt = -Infinity
  /** It has refused a start for want of room; no start until the next look. */
  hasRefusedRoom = false
  #used: Capacity = NO_CAPACITY
  #clock = 0
  #clockAt = -Infinity
  #leaseUntil = 0
  /** When every run there has lapsed at the latest, on our steady clock. */
  #lapsedBy: number

  constructor (entry: ServerEntry, lapsedBy: number) {
    this.entry = entry
    this.#lapsedBy = lapsedBy
  }

  get id (): ServerId {
    return this.entry.id
  }

  /** What is left of its capacity. */
  get free (): Capacity {
    return addCapacity(this.entry.capacity, this.#used, -1)
  }

  /** When every run there has lapsed at the latest, if it is not reached before. */
  get lapsedBy (): number {
    return this.#lapsedBy
  }

  /** True if new work may go there. */
  get isUsable (): boolean {
    return this.isListed && this.isJoined && !this.entry.isLeaving && this.missedLooks === 0 && !this.hasRefusedRoom
  }

  /** True if several tasks in a row have failed there. */
  get isUnsound (): boolean {
    return this.failures >= UNSOUND_AFTER_FAILURES
  }

  /** Its clock now, estimated from the last answer; 0 if there was none. */
  clockAt (now: number): number {
    return this.#clock === 0 ? 0 : Math.floor(this.#clock + now - this.#clockAt)
  }

  /** Takes the clock of an answer. The first one fences earlier owners, who can renew nothing from then on. */
  hear (clock: number, receivedAt: number): void {
    if (!this.isJoined) this.#lapsedBy = receivedAt + LEASE_MILLISECONDS / SERVER_CLOCK_SLOWEST
    this.isJoined = true
    this.#clock = clock
    this.#clockAt = receivedAt
    this.lastAnswerAt = receivedAt
    this.missedLooks = 0
  }

  /** Notes that a lease up to a time on its clock may be in force, and gives that time. */
  extendLease (now: number, milliseconds: number): number {
    const until = this.clockAt(now) + milliseconds
    this.#leaseUntil = Math.max(this.#leaseUntil, until)
    this.#lapsedBy = Math.max(this.#lapsedBy, this.#clockAt + (this.#leaseUntil - this.#clock) / SERVER_CLOCK_SLOWEST)
    return until
  }

  /** Starts a new life: its clock and its list of ends begin anew. */
  restart (life: number, now: number): void {
    this.entry = { ...this.entry, life }
    this.isJoined = false
    this.heardPosition = 0
    this.notedPosition = 0
    this.#clock = 0
    this.#clockAt = -Infinity
    this.#leaseUntil = 0
    this.#lapsedBy = now
    this.failures = 0
  }

  /** Puts a run there. */
  add (run: Run): void {
    this.runs.set(runKey(run.task, run.run), run)
    this.#used = addCapacity(this.#used, run.need)
  }

  /** Takes a run away. */
  remove (run: Run): void {
    if (this.runs.delete(runKey(run.task, run.run))) this.#used = addCapacity(this.#used, run.need, -1)
  }

  /** The run of a task by its number. */
  run (task: TaskName, number: RunNumber): Run | undefined {
    return this.runs.get(runKey(task, number))
  }
}

function runKey (task: TaskName, run: RunNumber): string {
  return `${task}#${run}`
}
