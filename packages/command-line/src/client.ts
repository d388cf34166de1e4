/** The service as its callers and operators see it over HTTP. */
import type { EnvironmentName } from '@cornelgauge/environment'
import {
  CornelgaugeError, digestOf, ERROR_KINDS, fromProblem, type Digest, type ErrorCode, type ProblemDetails,
  type RequestKey, type RequestView, type WorkspaceName
} from '@cornelgauge/model'
import type { TimelineEvent } from '@cornelgauge/telemetry'
import type { HttpPort, HttpRequest, HttpResponse } from './http.js'
import type { StatusReport } from './status-report.js'

const ANSWER_MARGIN_MILLISECONDS = 15_000
const DOCUMENT_PATH = '/v1/environment/document'
const HIGHEST_GOOD_STATUS = 299
const FIRST_SERVER_FAILURE_STATUS = 500

/** A document in force, as the service shows it. */
export interface DocumentInForce {
  readonly environment: EnvironmentName
  readonly version: number
  readonly digest: Digest
  readonly entityTag: string
  readonly text: string
}

/** What the service says of a change that it accepted. */
export interface AcceptedDocument {
  readonly environment: EnvironmentName
  readonly version: number
  readonly digest: Digest
}

/** The body of a submission. */
export interface SubmissionBody {
  readonly kind: string
  readonly payload: unknown
  readonly deadlineMilliseconds: number
  readonly shape?: { readonly slots?: number, readonly accelerators?: number, readonly adjacency?: string }
}

/** What is asked of the time line. */
export interface EventQuery {
  readonly after?: number
  readonly request?: string
  readonly cell?: string
  readonly vm?: string
  readonly limit?: number
}

type Call = Omit<HttpRequest, 'url' | 'timeoutMilliseconds'> & {
  readonly path: string
  readonly query?: Readonly<Record<string, string | number | undefined>>
  readonly waitMilliseconds?: number
}

function isProblem (value: unknown): value is ProblemDetails {
  return typeof value === 'object' && value !== null && 'code' in value && 'detail' in value
}

function parseJson (response: HttpResponse): unknown {
  try {
    return JSON.parse(response.text) as unknown
  } catch (failure) {
    throw new CornelgaugeError('connection-lost', { detail: `The answer with status ${response.status} is no JSON`, cause: failure })
  }
}

/**
 * The failure that a status stands for where the answer holds no problem details,
 * as from a balancer. What a balancer says of a failure tells nothing of the
 * effect, so that one counts as a lost answer.
 */
function failureOfStatus (status: number): CornelgaugeError {
  const detail = `The answer has status ${status} and no problem details`
  if (status >= FIRST_SERVER_FAILURE_STATUS) return new CornelgaugeError('connection-lost', { detail })
  const codes = Object.keys(ERROR_KINDS) as ErrorCode[]
  const code = codes.find(candidate => ERROR_KINDS[candidate].status === status)
  return new CornelgaugeError(code ?? 'invalid-request', { detail })
}

function failureOf (response: HttpResponse): CornelgaugeError {
  try {
    const body = JSON.parse(response.text) as unknown
    return isProblem(body) ? fromProblem(body) : failureOfStatus(response.status)
  } catch {
    return failureOfStatus(response.status)
  }
}

function queryText (query: Call['query'] = {}): string {
  const given = Object.entries(query).filter(([, value]) => value !== undefined).map(([name, value]) => [name, String(value)])
  const text = new URLSearchParams(given as [string, string][]).toString()
  return text === '' ? '' : `?${text}`
}

/** Names the operator to whoever looks a change up later. */
function operatorHeader (operator: string | undefined): Readonly<Record<string, string>> {
  return operator === undefined ? {} : { 'x-operator': operator }
}

function requestPath (workspace: WorkspaceName, key?: RequestKey): string {
  const path = `/v1/workspaces/${encodeURIComponent(workspace)}/requests`
  return key === undefined ? path : `${path}/${encodeURIComponent(key)}`
}

function documentOf (environment: EnvironmentName, response: HttpResponse): DocumentInForce {
  const digest = response.headers['x-document-digest']
  if (digest !== digestOf(response.text)) {
    throw new CornelgaugeError('answer-damaged', { detail: 'The document received does not have the digest that came with it' })
  }
  return {
    environment,
    version: Number(response.headers['x-document-version']),
    digest: digest as Digest,
    entityTag: response.headers.etag ?? '',
    text: response.text
  }
}

/** Calls the service; every failure is a `CornelgaugeError`, those of the service as it told them. */
export class ServiceClient {
  readonly #address: string
  readonly #token: string
  readonly #http: HttpPort

  constructor (address: string, token: string, http: HttpPort) {
    this.#address = address
    this.#token = token
    this.#http = http
  }

  async #call (call: Call): Promise<HttpResponse> {
    const { path, query, waitMilliseconds = 0, headers, ...rest } = call
    const response = await this.#http({
      ...rest,
      url: `${this.#address}${path}${queryText(query)}`,
      headers: { ...headers, authorization: `Bearer ${this.#token}` },
      timeoutMilliseconds: waitMilliseconds + ANSWER_MARGIN_MILLISECONDS
    })
    if (response.status > HIGHEST_GOOD_STATUS) throw failureOf(response)
    return response
  }

  async #callForJson<Answer> (call: Call): Promise<Answer> {
    return parseJson(await this.#call(call)) as Answer
  }

  /** The document in force; undefined where there is none yet. */
  async document (environment: EnvironmentName): Promise<DocumentInForce | undefined> {
    try {
      return documentOf(environment, await this.#call({ method: 'GET', path: DOCUMENT_PATH, query: { environment }, headers: {} }))
    } catch (failure) {
      if (failure instanceof CornelgaugeError && failure.code === 'not-found') return undefined
      throw failure
    }
  }

  /** Brings a document into force in trial, against the one that was seen in force. */
  async applyDocument (text: string, seen: DocumentInForce | undefined, operator?: string): Promise<AcceptedDocument> {
    const condition: Record<string, string> = seen === undefined ? { 'if-none-match': '*' } : { 'if-match': seen.entityTag }
    return await this.#callForJson({
      method: 'PUT',
      path: DOCUMENT_PATH,
      query: { environment: 'trial' },
      headers: { ...condition, ...operatorHeader(operator), 'content-type': 'application/yaml' },
      body: text
    })
  }

  /** Brings the bytes in force in trial into production. */
  async promoteDocument (digest: string, seen: DocumentInForce | undefined, operator?: string): Promise<AcceptedDocument> {
    const condition: Record<string, string> = seen === undefined ? {} : { 'if-match': seen.entityTag }
    return await this.#callForJson({
      method: 'POST',
      path: '/v1/environment/promotion',
      headers: { ...condition, ...operatorHeader(operator), 'content-type': 'application/json' },
      body: JSON.stringify({ digest })
    })
  }

  /** Hands a request in, and waits for its end at most so long. */
  async submit (workspace: WorkspaceName, key: RequestKey, body: SubmissionBody, waitMilliseconds: number): Promise<RequestView> {
    return await this.#callForJson({
      method: 'POST',
      path: requestPath(workspace),
      query: { waitMilliseconds },
      waitMilliseconds,
      headers: { 'idempotency-key': key, 'content-type': 'application/json' },
      body: JSON.stringify(body)
    })
  }

  /** Reads a request, and waits for its end at most so long. */
  async read (workspace: WorkspaceName, key: RequestKey, waitMilliseconds: number): Promise<RequestView> {
    return await this.#callForJson({ method: 'GET', path: requestPath(workspace, key), query: { waitMilliseconds }, waitMilliseconds, headers: {} })
  }

  /** Asks for a request to be cancelled. */
  async cancel (workspace: WorkspaceName, key: RequestKey): Promise<RequestView> {
    return await this.#callForJson({ method: 'DELETE', path: requestPath(workspace, key), headers: {} })
  }

  /** The state of all VMs and cells. */
  async status (): Promise<StatusReport> {
    return await this.#callForJson({ method: 'GET', path: '/v1/status', headers: {} })
  }

  /** Events of all VMs that the asked one can reach. */
  async events (query: EventQuery): Promise<readonly TimelineEvent[]> {
    const { events } = await this.#callForJson<{ readonly events: readonly TimelineEvent[] }>({ method: 'GET', path: '/v1/events', query: { ...query }, headers: {} })
    return events
  }
}
