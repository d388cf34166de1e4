/**
 * A caller of the sample load. It submits a request through a random entry VM, retries
 * with the same key while it gets no answer, and polls while the request is pending.
 */
import { isDeepStrictEqual } from 'node:util'
import { asFailure, isFinal, type ErrorCode, type RequestState } from '@cornelgauge/model'
import type { Clock, HttpCall, HttpClient, Json } from '@cornelgauge/ports'
import type { Outcome, CallerOutcome } from './load-table.js'

const MAXIMUM_WAIT_MILLISECONDS = 5000
const RETRY_MILLISECONDS = 100
/** How long after the deadline a caller keeps polling for the final state. */
const GRACE_AFTER_DEADLINE_MILLISECONDS = 5000

/** Failures that leave open whether the request was accepted, or that occur while no owner is reachable. */
const RETRIED_CODES: ReadonlySet<ErrorCode> = new Set<ErrorCode>([
  'unavailable', 'timeout', 'connection-lost', 'outcome-unknown', 'no-owner', 'not-owner', 'not-ready'
])

/** One request of the sample load. */
export interface SampleRequest {
  readonly kind: string
  readonly workspace: string
  readonly key: string
  readonly payload: { readonly durationMilliseconds: number, readonly echo: Json }
  readonly deadlineMilliseconds: number
}

/** The dependencies of a caller. */
export interface SampleCallerOptions {
  readonly clock: Clock
  /** Picks the entry VM of the next call. */
  readonly pickEntry: () => HttpClient
  /** Token by workspace. */
  readonly tokens: Readonly<Record<string, string>>
  /** One-way delay between caller and entry VM. */
  readonly oneWayMilliseconds: number
  /** True once the load has stopped: callers then stop retrying and polling, and keep their last result. */
  readonly isStopped: () => boolean
}

/** The part of a response that a caller reads. */
interface RequestView {
  readonly state: RequestState
  readonly answer?: { readonly echo?: Json }
}

/** The result of one call: a view of the request, a refusal, or nothing, if the call should be retried. */
type CallResult = { readonly view: RequestView } | { readonly refused: ErrorCode } | 'nothing'

/**
 * Submits requests and follows each to its outcome.
 *
 * @example
 * const { outcome } = await new SampleCaller(options).runRequest(request)
 */
export class SampleCaller {
  readonly #options: SampleCallerOptions

  constructor (options: SampleCallerOptions) {
    this.#options = options
  }

  /** Submits a request, and returns its last known outcome. */
  async runRequest (request: SampleRequest): Promise<CallerOutcome> {
    const startedAt = this.#options.clock.now()
    const giveUpAt = startedAt + request.deadlineMilliseconds + GRACE_AFTER_DEADLINE_MILLISECONDS
    const submitted = await this.#callUntilAnswered(giveUpAt, () => this.#submit(request, startedAt))
    const lastResult = await this.#readWhilePending(submitted, request, giveUpAt)
    return {
      kind: request.kind,
      outcome: outcomeOf(lastResult),
      ownAnswer: isOwnAnswer(lastResult, request),
      milliseconds: this.#options.clock.now() - startedAt
    }
  }

  async #readWhilePending (submitted: CallResult, request: SampleRequest, giveUpAt: number): Promise<CallResult> {
    let lastResult = submitted
    while (isPending(lastResult) && this.#mayContinue(giveUpAt)) {
      const next = await this.#callUntilAnswered(giveUpAt, () => this.#read(request))
      if (next !== 'nothing') lastResult = next
    }
    return lastResult
  }

  /** Retries a call until it gets an answer or the caller gives up. */
  async #callUntilAnswered (giveUpAt: number, call: () => Promise<CallResult>): Promise<CallResult> {
    let result = await call()
    while (result === 'nothing' && this.#mayContinue(giveUpAt)) {
      await this.#sleep(RETRY_MILLISECONDS)
      result = await call()
    }
    return result
  }

  #mayContinue (giveUpAt: number): boolean {
    return this.#options.clock.now() < giveUpAt && !this.#options.isStopped()
  }

  #submit (request: SampleRequest, startedAt: number): Promise<CallResult> {
    const { workspace, key, kind, payload, deadlineMilliseconds } = request
    const remainingMilliseconds = startedAt + deadlineMilliseconds - this.#options.clock.now()
    const waitMilliseconds = Math.max(0, Math.min(remainingMilliseconds, MAXIMUM_WAIT_MILLISECONDS))
    return this.#call({
      method: 'POST',
      path: `/v1/workspaces/${workspace}/requests?waitMilliseconds=${waitMilliseconds}`,
      body: JSON.stringify({ kind, payload, deadlineMilliseconds }),
      headers: { ...this.#authorization(workspace), 'idempotency-key': key, 'content-type': 'application/json' },
      waitMilliseconds
    })
  }

  #read ({ workspace, key }: SampleRequest): Promise<CallResult> {
    return this.#call({
      method: 'GET',
      path: `/v1/workspaces/${workspace}/requests/${key}?waitMilliseconds=${MAXIMUM_WAIT_MILLISECONDS}`,
      headers: this.#authorization(workspace),
      waitMilliseconds: MAXIMUM_WAIT_MILLISECONDS
    })
  }

  #authorization (workspace: string): Readonly<Record<string, string>> {
    return { authorization: `Bearer ${this.#options.tokens[workspace]}` }
  }

  async #call (call: HttpCall): Promise<CallResult> {
    await this.#sleep(this.#options.oneWayMilliseconds)
    const result = await this.#options.pickEntry().json<RequestView>(call).then(view => ({ view }), resultOfFailure)
    await this.#sleep(this.#options.oneWayMilliseconds)
    return result
  }

  #sleep (milliseconds: number): Promise<void> {
    return new Promise(resolve => this.#options.clock.after(milliseconds, resolve))
  }
}

function resultOfFailure (thrown: unknown): CallResult {
  const { code } = asFailure(thrown)
  return RETRIED_CODES.has(code) ? 'nothing' : { refused: code }
}

function isPending (result: CallResult): boolean {
  return result !== 'nothing' && 'view' in result && !isFinal(result.view.state)
}

function outcomeOf (result: CallResult): Outcome {
  if (result === 'nothing') return 'no-answer'
  if ('refused' in result) return `refused: ${result.refused}`
  const { state } = result.view
  return state === 'running' ? 'pending' : state
}

/** False if a finished request's answer does not contain the request's own echo. */
function isOwnAnswer (result: CallResult, { payload }: SampleRequest): boolean {
  if (result === 'nothing' || !('view' in result) || result.view.state !== 'finished') return true
  return isDeepStrictEqual(result.view.answer?.echo, payload.echo)
}
