/**
 * Routing of a stand-in: matches the method and path of a call to a handler.
 */
import { CornelgaugeError } from '@cornelgauge/model'

/** A call as passed to a handler. */
export interface Call {
  /** Path parameters by name, decoded. */
  readonly parameters: Readonly<Record<string, string>>
  readonly query: URLSearchParams
  readonly body: Uint8Array
}

/** Returns the response body: bytes are sent unchanged, anything else as JSON. */
export type Handler = (call: Call) => Promise<unknown>

/** A handler with its method and path; a segment that begins with a colon is a path parameter. */
export interface Route {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly path: string
  readonly handle: Handler
}

/** A route that matches a path, with the path parameters. */
interface Match {
  readonly route: Route
  readonly parameters: Readonly<Record<string, string>>
}

/**
 * Finds the route of a call. Fails with `not-found` or `method-not-allowed`.
 *
 * @example
 * matchRoute(routes, 'GET', '/vms').route.handle
 */
export function matchRoute (routes: readonly Route[], method: string, path: string): Match {
  const matches = routes.flatMap(route => matchPath(route, path.split('/')))
  if (matches.length === 0) throw new CornelgaugeError('not-found', { detail: `Nothing is at ${path}` })
  const match = matches.find(({ route }) => route.method === method)
  if (match === undefined) throw new CornelgaugeError('method-not-allowed', { detail: `${method} ${path}` })
  return match
}

/** The match in a list, or an empty list. */
function matchPath (route: Route, segments: readonly string[]): readonly Match[] {
  const pattern = route.path.split('/')
  const fits = pattern.length === segments.length &&
    pattern.every((part, index) => part.startsWith(':') || part === segments[index])
  if (!fits) return []
  const named = pattern.flatMap((part, index) => part.startsWith(':') ? [[part.slice(1), decode(segments[index]!)]] : [])
  return [{ route, parameters: Object.fromEntries(named) as Record<string, string> }]
}

function decode (segment: string): string {
  try {
    return decodeURIComponent(segment)
  } catch (cause) {
    throw new CornelgaugeError('invalid-request', { detail: `${segment} is not well encoded`, cause })
  }
}

/**
 * Parses the body of a call as JSON. Fails with `malformed-json`.
 *
 * @example
 * const { claim } = bodyOf<{ claim: OwnerClaim }>(call)
 */
export function bodyOf<Body> ({ body }: Pick<Call, 'body'>): Body {
  try {
    return JSON.parse(Buffer.from(body).toString()) as Body
  } catch (cause) {
    throw new CornelgaugeError('malformed-json', { cause })
  }
}

/**
 * Checks that a body has all fields, each of its type. Fails with `invalid-request`.
 *
 * @example
 * requireFields(body, { executions: Array.isArray })
 */
export function requireFields (body: unknown, checks: Readonly<Record<string, (value: unknown) => boolean>>): void {
  const fields = isObject(body) ? body : {}
  const missing = Object.entries(checks).filter(([name, check]) => !check(fields[name])).map(([name]) => name)
  if (missing.length > 0) throw new CornelgaugeError('invalid-request', { detail: `Missing or of another type: ${missing.join(', ')}` })
}

/**
 * Whether a value is a JSON object.
 *
 * @example
 * isObject([]) // false
 */
export function isObject (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
