/** Polls the backend servers of an owner. */
import { pause, systemClock } from '@cornelgauge/coordination'
import { asFailure, CornelgaugeError, type Epoch } from '@cornelgauge/model'
import type { Planner, PollRequest, ServerId, ServerReport } from '@cornelgauge/jobs'
import type { BackendServerCalls } from './backend-server-calls.js'
import type { HostEvent } from './host-event.js'
import { BUSY_POLL_WAIT_MILLISECONDS, CALL_SLACK_MILLISECONDS, IDLE_POLL_WAIT_MILLISECONDS, LONGEST_POLL_PAUSE_MILLISECONDS, POLL_PAUSE_PER_RUN_MILLISECONDS, POLL_RETRY_MILLISECONDS, UNSTORED_POLL_PAUSE_MILLISECONDS } from './limits.js'
import type { ServerRecorder } from './server-recorder.js'

/** Options of the polls. */
export interface ServerPollsOptions {
  readonly planner: Planner
  readonly epoch: Epoch
  readonly calls: BackendServerCalls
  readonly recorder: ServerRecorder
  /** True while ownership was confirmed recently enough to renew leases. */
  readonly isConfirmed: () => boolean
  /** Reads the jobs of a report that were left in the store. False if it failed. */
  readonly readJobsOf: (report: ServerReport) => Promise<boolean>
  /** Returns once what the last reports have changed is stored, or the attempt has failed. */
  readonly stored: () => Promise<void>
  readonly onReport: (event: Extract<HostEvent, { type: 'polled' }>) => void
  readonly onFailure: (event: Extract<HostEvent, { type: 'pollFailed' }>) => void
  readonly onCrash: (thrown: unknown) => void
  readonly signal: AbortSignal
}

/**
 * Polls each backend server repeatedly, until the planner has removed it.
 *
 * @example
 * polls.add(planner.servers)
 */
export class ServerPolls {
  readonly #options: ServerPollsOptions
  readonly #servers = new Set<ServerId>()
  /** Backend servers that are polled at once, because a start wasn't answered or they may have restarted. */
  readonly #settling = new Set<ServerId>()
  /** Incarnations whose last reports could not be applied. */
  readonly #unapplied = new Map<ServerId, number>()

  constructor (options: ServerPollsOptions) {
    this.#options = options
  }

  /** Polls these backend servers from now on. */
  add (ids: Iterable<ServerId>): void {
    for (const id of ids) {
      if (this.#servers.has(id)) continue
      this.#servers.add(id)
      this.#repeat(id).catch(this.#options.onCrash)
    }
  }

  /** Polls a backend server beside its repeated polls, since the one under way may wait for an end and was sent before a start failed. */
  settle (id: ServerId): void {
    this.#pollOnce(id, request => request)
  }

  /** Polls a backend server beside its repeated polls to learn which incarnation answers now: the one that is known may have ended without a trace. */
  identify (id: ServerId): void {
    this.#pollOnce(id, request => ({ ...request, incarnation: undefined }))
  }

  #pollOnce (id: ServerId, prepare: (request: PollRequest) => PollRequest): void {
    const { planner, isConfirmed, onCrash, signal } = this.#options
    if (this.#settling.has(id) || signal.aborted || !isConfirmed()) return
    const request = planner.pollRequest(id, performance.now())
    if (request === undefined) return
    this.#settling.add(id)
    this.#poll(id, prepare(request), 0).catch(onCrash).finally(() => this.#settling.delete(id))
  }

  async #repeat (id: ServerId): Promise<void> {
    const { planner, recorder, isConfirmed, stored, signal } = this.#options
    let hasAnswered = false
    while (!signal.aborted) {
      if (!isConfirmed()) {
        await pause(systemClock, POLL_RETRY_MILLISECONDS, signal)
        continue
      }
      const request = planner.pollRequest(id, performance.now())
      if (request === undefined) break
      const canWait = hasAnswered && !request.hasUnstoredEnds && !planner.isWaitingForRecord(id)
      const waitMilliseconds = !canWait ? 0 : request.runs === 0 ? IDLE_POLL_WAIT_MILLISECONDS : BUSY_POLL_WAIT_MILLISECONDS
      hasAnswered = await this.#poll(id, request, waitMilliseconds, this.#redirect(id, request))
      if (!hasAnswered) await pause(systemClock, POLL_RETRY_MILLISECONDS, signal)
      else if (planner.isWaitingForRecord(id)) await recorder.release(id)
      else if (request.hasUnstoredEnds) await pause(systemClock, UNSTORED_POLL_PAUSE_MILLISECONDS, signal)
      else await Promise.all([stored(), pause(systemClock, this.#pauseAfter(request), signal)])
    }
    this.#servers.delete(id)
    this.#unapplied.delete(id)
  }

  /** Polls an incarnation of which the planner doesn't know yet, since its reports could not be applied, without a position or a lease: there is a connection to it. */
  #redirect (id: ServerId, request: PollRequest): PollRequest {
    const incarnation = this.#unapplied.get(id)
    if (incarnation === undefined || incarnation === request.incarnation) return request
    return { ...request, incarnation, acknowledgedPosition: 0, leaseUntil: undefined }
  }

  /** How long a backend server isn't polled after its answer. */
  #pauseAfter ({ runs }: PollRequest): number {
    return Math.min(LONGEST_POLL_PAUSE_MILLISECONDS, POLL_PAUSE_PER_RUN_MILLISECONDS * runs * this.#servers.size)
  }

  /** Makes one poll; `made` is sent in place of the planner's request, which a failure counts for. */
  async #poll (id: ServerId, request: PollRequest, waitMilliseconds: number, made = request): Promise<boolean> {
    const { epoch, calls, readJobsOf, onReport, onFailure, signal } = this.#options
    const sentAt = performance.now()
    const { address, incarnation, acknowledgedPosition, leaseUntil } = made
    const poll = { epoch, incarnation, acknowledgedPosition, waitMilliseconds, ...(leaseUntil === undefined ? {} : { leaseUntil }) }
    try {
      const report = await calls.poll({ id, address }, poll, waitMilliseconds + CALL_SLACK_MILLISECONDS)
      const areJobsKnown = await readJobsOf(report)
      if (signal.aborted) return false
      if (areJobsKnown) this.#unapplied.delete(id)
      else this.#unapplied.set(id, report.incarnation)
      if (!areJobsKnown) throw new CornelgaugeError('store-unavailable', { detail: 'The jobs of the report could not be read' })
      onReport({ type: 'polled', server: id, report })
      return true
    } catch (thrown) {
      if (!signal.aborted) onFailure({ type: 'pollFailed', server: id, address, incarnation: request.incarnation, sentAt, failure: asFailure(thrown) })
      return false
    }
  }
}
