/** Commands of the planner; its host executes them and reports each outcome back. */
import type { JobId, RunNumber, ServerId, StepName, TaskName } from './ids.js'

/** Why a run is stopped. */
export type StopReason = 'cancelled' | 'job-failed' | 'gang-incomplete' | 'reclaimed' | 'unanswered' | 'leaving' | 'evacuated' | 'stuck' | 'done-elsewhere' | 'duplicate' | 'unknown-job'

/** Starts one run; the outcome is passed to `Planner.applyStartOutcome`. */
export interface StartCommand {
  readonly type: 'start'
  readonly server: ServerId
  /** Start time of the incarnation that may carry it out; no other one may. */
  readonly incarnation: number
  readonly task: TaskName
  readonly run: RunNumber
  readonly job: JobId
  /** Number of the change of the job's progress that records where the run may be. */
  readonly change: number
  readonly specification: string
  /** End of the lease, on the backend server's clock. */
  readonly leaseUntil: number
  /** Checkpoint to resume from; empty if there is none. */
  readonly checkpoint: string
  /** The task is a member of a gang, all of which is started at once. */
  readonly isMember?: true
  /** Permission of the advice service, if the queue needs one. */
  readonly ticket?: string
}

/** Ends one run, or prevents a start that has not arrived yet; the outcome is passed to `Planner.applyStopOutcome`. */
export interface StopCommand {
  readonly type: 'stop'
  readonly server: ServerId
  /** Start time of the incarnation that is to carry it out. */
  readonly incarnation: number
  readonly task: TaskName
  readonly run: RunNumber
  readonly reason: StopReason
  /** The job that gets its capacity, if it is reclaimed. */
  readonly stoppedFor?: JobId
}

/** Requests advice on which backend servers a step may run; the answer is passed to `Planner.applyAdvice`. */
export interface AdviseCommand {
  readonly type: 'advise'
  readonly step: StepName
  /** Each with its incarnation: the answer, and a ticket, hold for no other one. */
  readonly servers: ReadonlyMap<ServerId, number>
}

/** Answer of the advice service: the allowed backend servers, each with a ticket. */
export interface Advice {
  readonly allowed: readonly { readonly server: ServerId, readonly ticket: string }[]
  readonly validMilliseconds: number
}

/** Any command of the planner. */
export type Command = StartCommand | StopCommand | AdviseCommand

/**
 * Outcome of a start command; an `unanswered` one may still be executed, an `unsent` one was never sent, nor was an `expired` one,
 * which found no free connection in time, or an `unreached` one, whose backend server left a new connection unanswered. One for
 * `other-life` found another incarnation, and was not executed.
 */
export type StartOutcome = 'unsent' | 'expired' | 'unreached' | 'started' | 'fenced' | 'outdated' | 'late' | 'no-room' | 'invalid' | 'other-life' | 'no-ticket' | 'unhealthy' | 'unanswered'

/** Outcome of a stop command. */
export type StopOutcome = 'stopped' | 'fenced' | 'other-life' | 'unanswered'
