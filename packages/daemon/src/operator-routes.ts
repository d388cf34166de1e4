/**
 * HTTP routes for operators: the environment document, its promotion, status and the
 * event timeline; and the health routes, which require no token.
 */
import { ENVIRONMENT_NAMES, formatEntityTag, parseEntityTag, type DocumentHead, type EnvironmentName } from '@cornelgauge/environment'
import { CornelgaugeError, digest, documentVersion, type CellName, type DocumentVersion, type RequestId, type VmName } from '@cornelgauge/model'
import { z } from 'zod'
import type { Documents } from './documents.js'
import type { EventQuery } from './event-query.js'
import { MAXIMUM_BODY_BYTES, MAXIMUM_DOCUMENT_BODY_BYTES, type HttpRequest, type HttpResponse, type Route } from './http-server.js'
import type { Tokens } from './tokens.js'

const DOCUMENT_TYPE = 'application/yaml; charset=utf-8'
const MAXIMUM_EVENTS = 5000
const DEFAULT_EVENTS = 1000
/** Used for an entity tag that cannot be parsed; matches no document. */
const NO_VERSION = documentVersion(0)

/** Dependencies of the operator routes. */
export interface OperatorRouteOptions {
  readonly tokens: Tokens
  readonly documents: Documents
  readonly vm: string
  readonly status: () => Promise<unknown>
  readonly events: (query: EventQuery) => Promise<readonly unknown[]>
  readonly isReady: () => boolean
}

/**
 * Creates the routes for operators and the health routes.
 *
 * @example
 * const server = new HttpServer(operatorRoutes(options))
 */
export function operatorRoutes (options: OperatorRouteOptions): readonly Route[] {
  const forOperators = (handle: (options: OperatorRouteOptions, request: HttpRequest) => Promise<HttpResponse>) => async (request: HttpRequest) => {
    options.tokens.requireOperator(request.header('authorization'))
    return handle(options, request)
  }
  return [
    { method: 'GET', path: '/v1/environment/document', handle: forOperators(showDocument) },
    { method: 'PUT', path: '/v1/environment/document', handle: forOperators(applyDocument) },
    { method: 'POST', path: '/v1/environment/promotion', handle: forOperators(promoteDocument) },
    { method: 'GET', path: '/v1/status', handle: forOperators(async ({ status }) => ({ status: 200, body: await status() })) },
    { method: 'GET', path: '/v1/events', handle: forOperators(showEvents) },
    { method: 'GET', path: '/health/live', handle: async () => ({ status: 200, body: { live: true } }) },
    { method: 'GET', path: '/health/ready', handle: async () => ({ status: options.isReady() ? 200 : 503, body: { ready: options.isReady() } }) }
  ]
}

async function showDocument ({ documents }: OperatorRouteOptions, request: HttpRequest): Promise<HttpResponse> {
  const head = await documents.head(environmentOf(request))
  return { status: 200, body: head.text, headers: { 'content-type': DOCUMENT_TYPE, ...headHeaders(head) } }
}

async function applyDocument ({ documents, vm }: OperatorRouteOptions, request: HttpRequest): Promise<HttpResponse> {
  const environment = environmentOf(request)
  if (environment !== 'trial') throw new CornelgaugeError('forbidden', { detail: 'Production takes only what was in force in trial: promote it' })
  const expected = expectedVersion(request)
  const head = await documents.apply(await request.body(MAXIMUM_DOCUMENT_BODY_BYTES), expected, operatorName(vm, request))
  return changeResponse(environment, head)
}

const promotionSchema = z.strictObject({ digest: z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hexadecimal') })

async function promoteDocument ({ documents, vm }: OperatorRouteOptions, request: HttpRequest): Promise<HttpResponse> {
  const body = promotionSchema.safeParse(parseJson(await request.body(MAXIMUM_BODY_BYTES)))
  if (!body.success) throw new CornelgaugeError('invalid-request', { detail: body.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ') })
  const expected = request.header('if-match') === undefined ? undefined : expectedVersion(request)
  return changeResponse('production', await documents.promote(digest(body.data.digest), operatorName(vm, request), expected))
}

async function showEvents ({ events }: OperatorRouteOptions, { query }: HttpRequest): Promise<HttpResponse> {
  const matching = await events({
    after: countOf(query, 'after', 0),
    limit: Math.min(countOf(query, 'limit', DEFAULT_EVENTS), MAXIMUM_EVENTS),
    request: (query.get('request') ?? undefined) as RequestId | undefined,
    cell: (query.get('cell') ?? undefined) as CellName | undefined,
    vm: (query.get('vm') ?? undefined) as VmName | undefined
  })
  return { status: 200, body: { events: matching } }
}

function changeResponse (environment: EnvironmentName, head: DocumentHead): HttpResponse {
  return { status: 200, body: { environment, version: head.version, digest: head.digest }, headers: headHeaders(head) }
}

function headHeaders (head: DocumentHead): Record<string, string> {
  return { etag: formatEntityTag(head), 'x-document-version': String(head.version), 'x-document-digest': head.digest }
}

function environmentOf ({ query }: HttpRequest): EnvironmentName {
  const requestedName = query.get('environment') ?? 'trial'
  const name = ENVIRONMENT_NAMES.find(candidate => candidate === requestedName)
  if (name === undefined) throw new CornelgaugeError('invalid-request', { detail: `environment must be one of ${ENVIRONMENT_NAMES.join(', ')}` })
  return name
}

function expectedVersion (request: HttpRequest): DocumentVersion | undefined {
  const match = request.header('if-match')
  if (match !== undefined) return parseEntityTag(match)?.version ?? NO_VERSION
  if (request.header('if-none-match') === '*') return undefined
  throw new CornelgaugeError('precondition-required', { detail: 'Name the version that you changed in If-Match, or If-None-Match: * for the first' })
}

function operatorName (vm: string, request: HttpRequest): string {
  return request.header('x-operator') ?? `an operator at ${vm}`
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (cause) {
    throw new CornelgaugeError('malformed-json', { cause })
  }
}

function countOf (query: URLSearchParams, name: string, fallback: number): number {
  const text = query.get(name)
  if (text === null) return fallback
  const count = Number(text)
  if (!Number.isInteger(count) || count < 0) throw new CornelgaugeError('invalid-request', { detail: `${name} must be a whole number of 0 or more` })
  return count
}
