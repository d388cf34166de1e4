/**
 * A sample load of a deployment's kinds of work, submitted through the entry VMs: random
 * arrivals from a seed, and every answer compared with its request's own echo.
 */
import { HttpClient, type CancelTimer, type Clock } from '@cornelgauge/ports'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { mersenne } from 'pure-rand/generator/mersenne'
import { LoadTable, type LoadRow } from './load-table.js'
import type { KindLoad } from './local-sizes.js'
import { SampleCaller, type SampleRequest } from './sample-caller.js'

const CALL_MILLISECONDS = 3000
/** Connections to one entry VM, shared by all callers. */
const CONNECTIONS_PER_ENTRY = 60
const SECOND_MILLISECONDS = 1000
const STOP_POLL_MILLISECONDS = 20

/** The load, and the deployment to send it to. */
export interface SampleLoadOptions {
  readonly seed: number
  readonly kinds: readonly KindLoad[]
  /** Token by workspace. */
  readonly tokens: Readonly<Record<string, string>>
  /** `ip:port` of each entry VM. */
  readonly entries: readonly string[]
  /** The IP address that callers connect from. */
  readonly localAddress?: string
  /** One-way delay between callers and entry VMs. */
  readonly oneWayMilliseconds: number
  readonly clock: Clock
}

/** Mersenne Twister, since adjacent seeds give unrelated sequences from the first number on. */
type RandomSource = ReturnType<typeof mersenne>

/**
 * Drives the sample load from `start` to `stop`.
 *
 * @example
 * const load = new SampleLoad(options)
 * load.start()
 * console.log(formatLoad(await load.stop(10_000)))
 */
export class SampleLoad {
  readonly #options: SampleLoadOptions
  readonly #clients: readonly HttpClient[]
  readonly #entryGenerator: RandomSource
  readonly #caller: SampleCaller
  readonly #table: LoadTable
  readonly #arrivals = new Map<string, CancelTimer>()
  #activeCallers = 0
  #isStopped = false

  constructor (options: SampleLoadOptions) {
    const { clock, tokens, oneWayMilliseconds, localAddress } = options
    this.#options = options
    this.#clients = options.entries.map(address =>
      new HttpClient({ address, timeoutMilliseconds: CALL_MILLISECONDS, connections: CONNECTIONS_PER_ENTRY, localAddress }))
    this.#entryGenerator = mersenne(options.seed)
    this.#table = new LoadTable(options.kinds.map(({ kind }) => kind))
    this.#caller = new SampleCaller({
      clock, tokens, oneWayMilliseconds, pickEntry: () => pick(this.#clients, this.#entryGenerator), isStopped: () => this.#isStopped
    })
  }

  start (): void {
    this.#options.kinds.forEach((kind, index) => {
      const requests = sampleRequests(kind, Object.keys(this.#options.tokens), this.#options.seed + index + 1)
      this.#scheduleArrival(kind, requests)
    })
  }

  /** Stops new arrivals, waits for the active callers, and returns the outcomes. */
  async stop (graceMilliseconds: number): Promise<readonly LoadRow[]> {
    for (const cancel of this.#arrivals.values()) cancel()
    await this.#waitForCallers(graceMilliseconds)
    this.#isStopped = true
    await this.#waitForCallers(CALL_MILLISECONDS)
    await Promise.all(this.#clients.map(client => client.close()))
    await this.#waitForCallers(CALL_MILLISECONDS)
    return this.#table.rows
  }

  #scheduleArrival (kind: KindLoad, requests: Iterator<SampleArrival, never>): void {
    const { request, gapMilliseconds } = requests.next().value
    const cancel = this.#options.clock.after(gapMilliseconds, () => {
      this.#runRequest(request)
      this.#scheduleArrival(kind, requests)
    })
    this.#arrivals.set(kind.kind, cancel)
  }

  async #runRequest (request: SampleRequest): Promise<void> {
    this.#activeCallers += 1
    this.#table.record(await this.#caller.runRequest(request))
    this.#activeCallers -= 1
  }

  async #waitForCallers (limitMilliseconds: number): Promise<void> {
    const { clock } = this.#options
    const end = clock.now() + limitMilliseconds
    while (this.#activeCallers > 0 && clock.now() < end) {
      await new Promise<void>(resolve => clock.after(STOP_POLL_MILLISECONDS, resolve))
    }
  }
}

/** A request, and the time between the previous arrival and its own. */
export interface SampleArrival {
  readonly request: SampleRequest
  readonly gapMilliseconds: number
}

/**
 * The endless sequence of requests of one kind, with exponential gaps; the same for the same seed.
 *
 * @example
 * sampleRequests(kind, ['ustredi'], 1).next().value.request.key // 'shift-swap-1-1'
 */
export function * sampleRequests (kind: KindLoad, workspaces: readonly string[], seed: number): Generator<SampleArrival, never> {
  const generator = mersenne(seed)
  for (let number = 1; ; number++) {
    const gapMilliseconds = -Math.log(1 - uniformFloat64(generator)) / kind.perSecond * SECOND_MILLISECONDS
    const durationMilliseconds = uniformInt(generator, kind.shortestMilliseconds, kind.longestMilliseconds)
    const key = `${kind.kind}-${seed}-${number}`
    const request: SampleRequest = {
      kind: kind.kind,
      workspace: pick(workspaces, generator),
      key,
      payload: { durationMilliseconds, echo: { key, mark: uniformInt(generator, 0, 1_000_000_000) } },
      deadlineMilliseconds: kind.deadlineMilliseconds
    }
    yield { request, gapMilliseconds }
  }
}

function pick<Item> (items: readonly Item[], generator: RandomSource): Item {
  return items[uniformInt(generator, 0, items.length - 1)]!
}
