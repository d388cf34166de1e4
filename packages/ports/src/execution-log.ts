/**
 * The backend server's own log of every start: the authoritative record that
 * the histories of test runs are checked against.
 */
import type { Epoch } from '@cornelgauge/model'
import type { ExecutionState } from './backend-server.js'
import { executionKey, type Execution } from './execution.js'

/** Size of a gang and the position of one member in it. */
export interface GangPosition {
  readonly size: number
  readonly index: number
}

/** One start. `endedAt` and `outcome` are null while the task runs. */
export interface LoggedExecution {
  readonly requestKey: string
  readonly workspace: string
  readonly attempt: number
  readonly epoch: Epoch
  /** Null for work on a single backend server. */
  readonly gang: GangPosition | null
  readonly startedAt: number
  readonly endedAt: number | null
  readonly outcome: ExecutionState | null
}

/**
 * The log of every start, in order.
 *
 * @example
 * log.started(execution, claim.epoch, clock.now())
 */
export class ExecutionLog {
  readonly #entries: LoggedExecution[] = []
  readonly #running = new Map<string, number>()

  get entries (): readonly LoggedExecution[] {
    return [...this.#entries]
  }

  started (execution: Execution, epoch: Epoch, startedAt: number): void {
    this.#running.set(executionKey(execution.id), this.#entries.length)
    this.#entries.push({ ...describeStart(execution), epoch, startedAt, endedAt: null, outcome: null })
  }

  ended (execution: Execution, outcome: ExecutionState, endedAt: number): void {
    const key = executionKey(execution.id)
    const index = this.#running.get(key)
    if (index === undefined) return
    this.#running.delete(key)
    this.#entries[index] = { ...this.#entries[index]!, endedAt, outcome }
  }
}

/** The fields of a log entry that identify the attempt and its gang. */
function describeStart ({ id, preparation }: Execution): Pick<LoggedExecution, 'requestKey' | 'workspace' | 'attempt' | 'gang'> {
  const slash = id.request.indexOf('/')
  const size = preparation?.gangSize ?? 1
  return {
    requestKey: id.request.slice(slash + 1),
    workspace: id.request.slice(0, slash),
    attempt: id.attempt,
    gang: size === 1 ? null : { size, index: preparation?.gangIndex ?? 0 }
  }
}
