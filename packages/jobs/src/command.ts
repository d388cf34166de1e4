/** What the planner wants done; its host performs it and tells the outcome. */
import type { RunNumber, ServerId, StepName, TaskName } from './ids.js'

/** Why a run is stopped. */
export type StopReason = 'cancelled' | 'job-failed' | 'gang-incomplete' | 'reclaimed' | 'unanswered' | 'leaving' | 'stuck' | 'done-elsewhere' | 'unknown-job'

/** Starts one run; comes back as `answerStart`. */
export interface StartCommand {
  readonly type: 'start'
  readonly server: ServerId
  readonly task: TaskName
  readonly run: RunNumber
  readonly specification: string
  /** End of the lease, on the backend server's clock. */
  readonly leaseUntil: number
  /** Checkpoint to go on from; empty if there is none. */
  readonly checkpoint: string
  /** Permission of an outside service, where the queue needs one. */
  readonly ticket?: string
}

/** Ends one run, and keeps it from starting if it hasn't; comes back as `answerStop`. */
export interface StopCommand {
  readonly type: 'stop'
  readonly server: ServerId
  readonly task: TaskName
  readonly run: RunNumber
  readonly reason: StopReason
}

/** Asks an outside service where a step may run; comes back as `answerAdvice`. */
export interface AdviseCommand {
  readonly type: 'advise'
  readonly step: StepName
  readonly servers: readonly ServerId[]
}

/** What the service allows. */
export interface Advice {
  readonly allowed: readonly { readonly server: ServerId, readonly ticket: string }[]
  readonly validMilliseconds: number
}

/** What the planner can want. */
export type Command = StartCommand | StopCommand | AdviseCommand

/** How a backend server answered a start; `unanswered` may still be carried out. */
export type StartOutcome = 'started' | 'fenced' | 'outdated' | 'late' | 'no-room' | 'invalid' | 'other-life' | 'no-ticket' | 'unhealthy' | 'unanswered'

/** How it answered a stop. */
export type StopOutcome = 'stopped' | 'fenced' | 'other-life' | 'unanswered'
