/** A fake service over HTTP, and a function that runs command lines against it with a virtual clock. */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { CornelgaugeError, requestKey, toProblem, type ErrorCode, type ErrorDetails } from '@cornelgauge/model'
import { Agent } from 'undici'
import { createHttpPort, run, type Tools } from '../src/index.js'

export const VERSION = '1.2.3'
export const TOKEN = 'secret-token-of-the-test'
export const KEY = 'key-made-by-the-test'

export interface FakeAnswer {
  readonly status?: number
  readonly headers?: Readonly<Record<string, string>>
  readonly body: unknown
  /** Closes the connection without a response. */
  readonly lost?: boolean
}

export interface ReceivedRequest {
  readonly route: string
  readonly query: Readonly<Record<string, string>>
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: string
}

export const problem = (code: ErrorCode, details: ErrorDetails = {}): FakeAnswer => {
  const body = toProblem(new CornelgaugeError(code, details))
  return { status: body.status, body }
}

/** Answers each route with the answers given for it, in their order; the last one is repeated. */
export class FakeService {
  readonly receivedRequests: ReceivedRequest[] = []
  readonly #answers = new Map<string, FakeAnswer[]>()
  readonly #agent = new Agent()
  readonly #server: Server

  constructor () {
    this.#server = createServer((incoming, outgoing) => {
      const chunks: Buffer[] = []
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
      incoming.on('end', () => {
        const url = new URL(incoming.url ?? '/', 'http://fake')
        const route = `${incoming.method} ${url.pathname}`
        this.receivedRequests.push({ route, query: Object.fromEntries(url.searchParams), headers: incoming.headers, body: Buffer.concat(chunks).toString() })
        const answer = this.#next(`${route}?${url.searchParams.get('environment')}`) ?? this.#next(route) ?? problem('not-found')
        if (answer.lost === true) {
          outgoing.destroy()
          return
        }
        outgoing.writeHead(answer.status ?? 200, answer.headers)
        outgoing.end(typeof answer.body === 'string' ? answer.body : JSON.stringify(answer.body))
      })
    })
  }

  #next (route: string): FakeAnswer | undefined {
    const answers = this.#answers.get(route) ?? []
    return answers.length > 1 ? answers.shift() : answers[0]
  }

  on (route: string, ...answers: FakeAnswer[]): this {
    this.#answers.set(route, answers)
    return this
  }

  async start (): Promise<void> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
  }

  async stop (): Promise<void> {
    await this.#agent.destroy()
    await new Promise(resolve => this.#server.close(resolve))
  }

  get address (): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  get http (): Tools['http'] {
    return createHttpPort(this.#agent)
  }
}

export interface RunOptions {
  readonly variables?: Record<string, string>
  readonly files?: Record<string, string>
  readonly isTerminal?: boolean
}

export interface CommandResult {
  readonly exitCode: number
  readonly output: string
  readonly diagnostics: string
  readonly written: Readonly<Record<string, string>>
}

/** Runs a command line; each reading of the clock advances the virtual time by 100 ms. */
export const runCommand = async (service: FakeService, words: readonly string[], options: RunOptions = {}): Promise<CommandResult> => {
  const { files = {}, isTerminal = false } = options
  const text = { output: '', diagnostics: '' }
  const written: Record<string, string> = {}
  let clock = 0
  const tools: Tools = {
    variables: { CORNELGAUGE_ADDRESS: service.address, CORNELGAUGE_TOKEN: TOKEN, ...options.variables },
    output: { isTerminal, write: part => { text.output += part } },
    diagnostics: { isTerminal, write: part => { text.diagnostics += part } },
    http: service.http,
    timeline: {
      renderText: (events, filter) => `${events.length} events of ${filter.cell}`,
      renderHtml: (events, filter) => `<p>${events.length} events of ${filter.cell}</p>`
    },
    now: () => { clock += 100; return clock },
    pause: async milliseconds => { clock += milliseconds },
    createKey: () => requestKey(KEY),
    readFile: async path => {
      const content = files[path]
      if (content === undefined) throw new Error('no such file')
      return content
    },
    writeFile: async (path, content) => { written[path] = content }
  }
  return { exitCode: await run(words, tools, VERSION), ...text, written }
}

/** Starts a new fake service for each test of a suite. */
export const withService = (): { current: FakeService } => {
  const service = { current: new FakeService() }
  beforeEach(async () => {
    service.current = new FakeService()
    await service.current.start()
  })
  afterEach(async () => { await service.current.stop() })
  return service
}
