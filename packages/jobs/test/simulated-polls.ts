/** Polls the backend servers of a simulated owner, as the entry package's `ServerPolls` does. */
import type { Planner, ServerId, ServerReport } from '../src/index.js'
import { CALL_SLACK_MILLISECONDS, type BoundCalls, type CallFailure, type PollResult } from './bound-calls.js'
import type { Machine } from './message-network.js'
import type { OwnerLoop } from './owner-loop.js'
import type { SimulatedRecord } from './simulated-record.js'

const BUSY_POLL_WAIT_MILLISECONDS = 1200
const IDLE_POLL_WAIT_MILLISECONDS = 2000
const POLL_RETRY_MILLISECONDS = 250
const UNSTORED_POLL_PAUSE_MILLISECONDS = 300

/** A poll that has failed. */
export interface FailedPoll {
  readonly server: ServerId
  readonly address: string
  readonly incarnation: number | undefined
  readonly sentAt: number
  readonly failure: CallFailure
}

/** Options of the polls. */
export interface SimulatedPollsOptions {
  readonly planner: Planner
  readonly loop: OwnerLoop
  readonly calls: BoundCalls
  readonly record: SimulatedRecord
  readonly machineAt: (address: string) => Machine
  readonly isConfirmed: () => boolean
  /** Calls back once what the last reports have changed is stored. */
  readonly whenStored: (use: () => void) => void
  readonly onReport: (server: ServerId, report: ServerReport) => void
  readonly onFailure: (failed: FailedPoll) => void
}

/** Polls each backend server repeatedly, until the planner has removed it. */
export class SimulatedPolls {
  readonly #options: SimulatedPollsOptions
  readonly #servers = new Set<ServerId>()
  readonly #settling = new Set<ServerId>()

  constructor (options: SimulatedPollsOptions) {
    this.#options = options
  }

  add (ids: Iterable<ServerId>): void {
    for (const id of ids) {
      if (this.#servers.has(id)) continue
      this.#servers.add(id)
      this.#repeat(id, false)
    }
  }

  /** Polls a backend server beside its repeated polls. */
  settle (id: ServerId): void {
    this.#pollOnce(id, false)
  }

  /** Polls a backend server beside its repeated polls to learn which incarnation answers now. */
  identify (id: ServerId): void {
    this.#pollOnce(id, true)
  }

  #pollOnce (id: ServerId, isUnknown: boolean): void {
    const { planner, loop, isConfirmed } = this.#options
    if (this.#settling.has(id) || loop.hasEnded || !isConfirmed()) return
    const request = planner.pollRequest(id, loop.now)
    if (request === undefined) return
    this.#settling.add(id)
    this.#poll(id, isUnknown ? { ...request, incarnation: undefined } : request, 0, () => { this.#settling.delete(id) })
  }

  #repeat (id: ServerId, hadAnswered: boolean): void {
    const { planner, loop, record, isConfirmed, whenStored } = this.#options
    if (loop.hasEnded) return
    const again = (hasAnswered: boolean): void => this.#repeat(id, hasAnswered)
    if (!isConfirmed()) {
      loop.after(POLL_RETRY_MILLISECONDS, () => again(hadAnswered))
      return
    }
    const request = planner.pollRequest(id, loop.now)
    if (request === undefined) {
      this.#servers.delete(id)
      return
    }
    const canWait = hadAnswered && !request.hasUnstoredEnds && !planner.isWaitingForRecord(id)
    const wait = !canWait ? 0 : request.runs === 0 ? IDLE_POLL_WAIT_MILLISECONDS : BUSY_POLL_WAIT_MILLISECONDS
    this.#poll(id, request, wait, hasAnswered => {
      if (!hasAnswered) loop.after(POLL_RETRY_MILLISECONDS, () => again(false))
      else if (planner.isWaitingForRecord(id)) record.release(id, () => again(true))
      else if (request.hasUnstoredEnds) loop.after(UNSTORED_POLL_PAUSE_MILLISECONDS, () => again(true))
      else whenStored(() => loop.after(1, () => again(true)))
    })
  }

  #poll (server: ServerId, { address, incarnation, acknowledgedPosition, leaseUntil }: NonNullable<ReturnType<Planner['pollRequest']>>, waitMilliseconds: number, use: (hasAnswered: boolean) => void): void {
    const { loop, calls, machineAt, onReport, onFailure } = this.#options
    const sentAt = loop.now
    const poll = { incarnation, position: acknowledgedPosition, leaseUntil, waitMilliseconds }
    calls.poll(server, machineAt(address), poll, waitMilliseconds + CALL_SLACK_MILLISECONDS, (result: PollResult) => {
      if (loop.hasEnded) return
      if (typeof result === 'string') onFailure({ server, address, incarnation, sentAt, failure: result })
      else onReport(server, result)
      use(typeof result !== 'string')
    })
  }
}
