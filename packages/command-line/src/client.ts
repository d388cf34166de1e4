/** A client of the service's HTTP interface for callers and operators. */
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
const HIGHEST_SUCCESS_STATUS = 299
const FIRST_SERVER_FAILURE_STATUS = 500

/** A document in force, as the service returns it. */
export interface DocumentInForce {
  readonly environment: EnvironmentName
  readonly version: number
  readonly digest: Digest
  readonly entityTag: string
  readonly text: string
}

/** The response of the service to a change that it accepted. */
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

/** Query of the timeline. */
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
    throw new CornelgaugeError('connection-lost', { detail: `The response with status ${response.status} is not JSON`, cause: failure })
  }
}

/**
 * Maps the status of a response without problem details, such as one from a load
 * balancer, to a failure. A load balancer's 5xx status does not show whether the call
 * took effect, so it is treated as a lost connection.
 */
function failureOfStatus (status: number): CornelgaugeError {
  const detail = `The response has status ${status} and no problem details`
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

/** The header with the operator's name, which the service records with the change. */
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
    throw new CornelgaugeError('answer-damaged', { detail: 'The document received does not match the digest in the response header' })
  }
  return {
    environment,
    version: Number(response.headers['x-document-version']),
    digest: digest as Digest,
    entityTag: response.headers.etag ?? '',
    text: response.text
  }
}

/** Calls the service. Every failure is a `CornelgaugeError`; those that the service reports keep their code and details. */
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
    if (response.status > HIGHEST_SUCCESS_STATUS) throw failureOf(response)
    return response
  }

  async #callForJson<Answer> (call: Call): Promise<Answer> {
    return parseJson(await this.#call(call)) as Answer
  }

  /** Reads the document in force; undefined if there is none yet. */
  async document (environment: EnvironmentName): Promise<DocumentInForce | undefined> {
    try {
      return documentOf(environment, await this.#call({ method: 'GET', path: DOCUMENT_PATH, query: { environment }, headers: {} }))
    } catch (failure) {
      if (failure instanceof CornelgaugeError && failure.code === 'not-found') return undefined
      throw failure
    }
  }

  /** Brings a document into force in trial, on condition that `expected` is still the one in force there. */
  async applyDocument (text: string, expected: DocumentInForce | undefined, operator?: string): Promise<AcceptedDocument> {
    const condition: Record<string, string> = expected === undefined ? { 'if-none-match': '*' } : { 'if-match': expected.entityTag }
    return await this.#callForJson({
      method: 'PUT',
      path: DOCUMENT_PATH,
      query: { environment: 'trial' },
      headers: { ...condition, ...operatorHeader(operator), 'content-type': 'application/yaml' },
      body: text
    })
  }

  /** Brings the document in force in trial, with this digest, into production, on condition that `expected` is still the one in force there. */
  async promoteDocument (digest: string, expected: DocumentInForce | undefined, operator?: string): Promise<AcceptedDocument> {
    const condition: Record<string, string> = expected === undefined ? {} : { 'if-match': expected.entityTag }
    return await this.#callForJson({
      method: 'POST',
      path: '/v1/environment/promotion',
      headers: { ...condition, ...operatorHeader(operator), 'content-type': 'application/json' },
      body: JSON.stringify({ digest })
    })
  }

  /** Submits a request and waits for its end for at most the given time. */
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

  /** Reads a request and waits for its end for at most the given time. */
  async read (workspace: WorkspaceName, key: RequestKey, waitMilliseconds: number): Promise<RequestView> {
    return await this.#callForJson({ method: 'GET', path: requestPath(workspace, key), query: { waitMilliseconds }, waitMilliseconds, headers: {} })
  }

  /** Requests the cancellation of a request. */
  async cancel (workspace: WorkspaceName, key: RequestKey): Promise<RequestView> {
    return await this.#callForJson({ method: 'DELETE', path: requestPath(workspace, key), headers: {} })
  }

  /** Reads the status of all VMs and cells. */
  async status (): Promise<StatusReport> {
    return await this.#callForJson({ method: 'GET', path: '/v1/status', headers: {} })
  }

  /** Reads the events of all VMs that the called VM can reach. */
  async events (query: EventQuery): Promise<readonly TimelineEvent[]> {
    const { events } = await this.#callForJson<{ readonly events: readonly TimelineEvent[] }>({ method: 'GET', path: '/v1/events', query: { ...query }, headers: {} })
    return events
  }
}
