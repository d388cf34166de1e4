/**
 * One caller's way of asking: it sends a request through any entry VM, tries again
 * with the same key where no answer came, and reads on while the request is pending.
 */
import { isDeepStrictEqual } from 'node:util'
import { asFailure, isFinal, type ErrorCode, type RequestState } from '@cornelgauge/model'
import type { Clock, HttpCall, HttpClient, Json } from '@cornelgauge/ports'
import type { Outcome, ToldOutcome } from './load-table.js'

const LONGEST_WAIT_MILLISECONDS = 5000
const RETRY_MILLISECONDS = 100
/** How long after its deadline a caller still asks for the truth. */
const PATIENCE_MILLISECONDS = 5000

/** Failures after which the request may or may not have been accepted, or no owner could be asked. */
const RETRIED: ReadonlySet<ErrorCode> = new Set<ErrorCode>([
  'unavailable', 'timeout', 'connection-lost', 'outcome-unknown', 'no-owner', 'not-owner', 'not-ready'
])

/** One request of the sample. */
export interface SampleRequest {
  readonly kind: string
  readonly workspace: string
  readonly key: string
  readonly payload: { readonly durationMilliseconds: number, readonly echo: Json }
  readonly deadlineMilliseconds: number
}

/** What a caller needs of its surroundings. */
export interface SampleCallerOptions {
  readonly clock: Clock
  /** Any entry VM, another one each time. */
  readonly pickEntry: () => HttpClient
  /** Token by workspace. */
  readonly tokens: Readonly<Record<string, string>>
  /** One-way delay between caller and entry VM. */
  readonly oneWayMilliseconds: number
  /** True once callers go home: what is pending then stays so. */
  readonly isOver: () => boolean
}

/** The part of a request's view that a caller looks at. */
interface View {
  readonly state: RequestState
  readonly answer?: { readonly echo?: Json }
}

/** What one call told: a view, or that the request is refused, or nothing. */
type Told = { readonly view: View } | { readonly refused: ErrorCode } | 'nothing'

/**
 * Asks for one piece of work after another.
 *
 * @example
 * const { outcome } = await new SampleCaller(options).ask(request)
 */
export class SampleCaller {
  readonly #options: SampleCallerOptions

  constructor (options: SampleCallerOptions) {
    this.#options = options
  }

  /** Asks, and gives what the caller was told at last. */
  async ask (request: SampleRequest): Promise<ToldOutcome> {
    const startedAt = this.#options.clock.now()
    const giveUpAt = startedAt + request.deadlineMilliseconds + PATIENCE_MILLISECONDS
    const submitted = await this.#untilTold(giveUpAt, () => this.#submit(request, startedAt))
    const last = await this.#readWhilePending(submitted, request, giveUpAt)
    return {
      kind: request.kind,
      outcome: outcomeOf(last),
      ownAnswer: isOwnAnswer(last, request),
      milliseconds: this.#options.clock.now() - startedAt
    }
  }

  async #readWhilePending (told: Told, request: SampleRequest, giveUpAt: number): Promise<Told> {
    let last = told
    while (isPending(last) && this.#goesOn(giveUpAt)) {
      const next = await this.#untilTold(giveUpAt, () => this.#read(request))
      if (next !== 'nothing') last = next
    }
    return last
  }

  /** Repeats a call until it told something. */
  async #untilTold (giveUpAt: number, call: () => Promise<Told>): Promise<Told> {
    let told = await call()
    while (told === 'nothing' && this.#goesOn(giveUpAt)) {
      await this.#sleep(RETRY_MILLISECONDS)
      told = await call()
    }
    return told
  }

  #goesOn (giveUpAt: number): boolean {
    return this.#options.clock.now() < giveUpAt && !this.#options.isOver()
  }

  #submit (request: SampleRequest, startedAt: number): Promise<Told> {
    const { workspace, key, kind, payload, deadlineMilliseconds } = request
    const left = startedAt + deadlineMilliseconds - this.#options.clock.now()
    const waitMilliseconds = Math.max(0, Math.min(left, LONGEST_WAIT_MILLISECONDS))
    return this.#call({
      method: 'POST',
      path: `/v1/workspaces/${workspace}/requests?waitMilliseconds=${waitMilliseconds}`,
      body: JSON.stringify({ kind, payload, deadlineMilliseconds }),
      headers: { ...this.#authorization(workspace), 'idempotency-key': key, 'content-type': 'application/json' },
      waitMilliseconds
    })
  }

  #read ({ workspace, key }: SampleRequest): Promise<Told> {
    return this.#call({
      method: 'GET',
      path: `/v1/workspaces/${workspace}/requests/${key}?waitMilliseconds=${LONGEST_WAIT_MILLISECONDS}`,
      headers: this.#authorization(workspace),
      waitMilliseconds: LONGEST_WAIT_MILLISECONDS
    })
  }

  #authorization (workspace: string): Readonly<Record<string, string>> {
    return { authorization: `Bearer ${this.#options.tokens[workspace]}` }
  }

  async #call (call: HttpCall): Promise<Told> {
    await this.#sleep(this.#options.oneWayMilliseconds)
    const told = await this.#options.pickEntry().json<View>(call).then(view => ({ view }), toldByFailure)
    await this.#sleep(this.#options.oneWayMilliseconds)
    return told
  }

  #sleep (milliseconds: number): Promise<void> {
    return new Promise(resolve => this.#options.clock.after(milliseconds, resolve))
  }
}

function toldByFailure (thrown: unknown): Told {
  const { code } = asFailure(thrown)
  return RETRIED.has(code) ? 'nothing' : { refused: code }
}

function isPending (told: Told): boolean {
  return told !== 'nothing' && 'view' in told && !isFinal(told.view.state)
}

function outcomeOf (told: Told): Outcome {
  if (told === 'nothing') return 'no-answer'
  if ('refused' in told) return `refused: ${told.refused}`
  const { state } = told.view
  return state === 'running' ? 'pending' : state
}

/** False where a finished request's answer does not hold the request's own echo. */
function isOwnAnswer (told: Told, { payload }: SampleRequest): boolean {
  if (told === 'nothing' || !('view' in told) || told.view.state !== 'finished') return true
  return isDeepStrictEqual(told.view.answer?.echo, payload.echo)
}
