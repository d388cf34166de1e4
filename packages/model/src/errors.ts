/**
 * The error class and its codes. Each failure that can cross a package's boundary has its own
 * code and HTTP status, and, if it answers a request, the actual state of that
 * request.
 */
import type { RequestState } from './state.js'

/** Whether and when the caller should retry with the same key. */
export type Retry = 'never' | 'after-delay' | 'at-once'

/** Properties of an error code. */
export interface ErrorKind {
  readonly status: number
  readonly title: string
  readonly retry: Retry
}

/** Error codes with their HTTP status, title and retry advice. */
export const ERROR_KINDS = {
  'malformed-json': { status: 400, title: 'The body is not JSON', retry: 'never' },
  'invalid-request': { status: 400, title: 'The request does not fit its schema', retry: 'never' },
  'missing-key': { status: 400, title: 'The header Idempotency-Key is missing or malformed', retry: 'never' },
  'unknown-kind': { status: 422, title: 'The document in force has no such kind of work', retry: 'never' },
  'impossible-shape': { status: 422, title: 'No failure domain can ever hold this shape', retry: 'never' },
  'deadline-past': { status: 422, title: 'The deadline has already passed', retry: 'never' },
  'body-too-large': { status: 413, title: 'The body is over the limit', retry: 'never' },
  unauthorized: { status: 401, title: 'The token is missing or not accepted', retry: 'never' },
  forbidden: { status: 403, title: 'The token does not allow this', retry: 'never' },
  'not-found': { status: 404, title: 'There is nothing at this path', retry: 'never' },
  'unknown-request': { status: 404, title: 'No request with this key is known', retry: 'never' },
  'method-not-allowed': { status: 405, title: 'The method is not allowed here', retry: 'never' },
  'key-reused': { status: 409, title: 'The key was used with another body', retry: 'never' },
  'version-conflict': { status: 412, title: 'Another change came first', retry: 'never' },
  'precondition-required': { status: 428, title: 'The header If-Match is missing', retry: 'never' },
  'invalid-document': { status: 422, title: 'The environment document has faults', retry: 'never' },
  'promotion-refused': { status: 409, title: 'These bytes are not in force in the trial environment', retry: 'never' },
  overloaded: { status: 503, title: 'The request could not be answered in time and was not accepted', retry: 'after-delay' },
  'id-cancelled': { status: 409, title: 'The id was cancelled before a job was accepted under it; use another id', retry: 'never' },
  'backlog-full': { status: 429, title: 'Too many accepted jobs wait already; this one was not accepted', retry: 'after-delay' },
  'quota-exceeded': { status: 429, title: 'The workspace is at its limit', retry: 'after-delay' },
  'no-owner': { status: 503, title: 'The cell has no owner at the moment', retry: 'after-delay' },
  'not-owner': { status: 503, title: 'This VM does not own the cell', retry: 'at-once' },
  'store-unavailable': { status: 503, title: 'The platform cannot be reached; ask later what became of this key', retry: 'after-delay' },
  'outcome-unknown': { status: 504, title: 'Whether the request was accepted is not known yet', retry: 'after-delay' },
  'not-ready': { status: 503, title: 'This VM is not ready', retry: 'after-delay' },
  'answer-damaged': { status: 502, title: 'The stored answer fails its digest', retry: 'after-delay' },
  'answer-too-large': { status: 502, title: 'The answer is over the limit', retry: 'never' },
  conflict: { status: 409, title: 'A condition of the write did not hold', retry: 'never' },
  'write-refused': { status: 413, title: 'The store takes no such row; nothing was stored', retry: 'never' },
  unavailable: { status: 503, title: 'The service did not answer', retry: 'after-delay' },
  timeout: { status: 504, title: 'No answer came within the time limit', retry: 'after-delay' },
  'connection-lost': { status: 502, title: 'The connection ended before the answer', retry: 'at-once' },
  'protocol-violation': { status: 400, title: 'The peer broke the inner protocol', retry: 'never' },
  'stranger-refused': { status: 401, title: 'The peer holds no accepted secret', retry: 'never' },
  'stale-epoch': { status: 409, title: 'A newer owner has been here', retry: 'never' },
  'capacity-taken': { status: 409, title: 'The backend server has no such capacity free', retry: 'after-delay' },
  'server-leaving': { status: 409, title: 'The backend server is leaving', retry: 'never' },
  'server-replaced': { status: 409, title: 'Another backend server answers at this address', retry: 'never' },
  'server-restarted': { status: 409, title: 'Another incarnation of the backend server answers', retry: 'never' },
  'record-damaged': { status: 500, title: 'A stored record fails its checks', retry: 'never' },
  'invalid-settings': { status: 400, title: 'The settings have faults', retry: 'never' },
  internal: { status: 500, title: 'An unexpected failure', retry: 'after-delay' }
} as const satisfies Record<string, ErrorKind>

/** The code of a failure. */
export type ErrorCode = keyof typeof ERROR_KINDS

/** What an error may carry besides its code. */
export interface ErrorDetails {
  /** A sentence that describes this occurrence. */
  readonly detail?: string
  /** The actual state of the request that the error answers. */
  readonly state?: RequestState
  /** Machine-readable members, such as the faults of a document with their paths. */
  readonly members?: Readonly<Record<string, unknown>>
  readonly cause?: unknown
}

/**
 * The error class of this project; `code` identifies the kind of failure.
 *
 * @example
 * throw new CornelgaugeError('key-reused', { state: 'pending' })
 */
export class CornelgaugeError extends Error {
  readonly code: ErrorCode
  readonly status: number
  readonly retry: Retry
  readonly state: RequestState | undefined
  readonly members: Readonly<Record<string, unknown>>

  constructor (code: ErrorCode, details: ErrorDetails = {}) {
    super(details.detail ?? ERROR_KINDS[code].title, { cause: details.cause })
    this.name = 'CornelgaugeError'
    this.code = code
    this.status = ERROR_KINDS[code].status
    this.retry = ERROR_KINDS[code].retry
    this.state = details.state
    this.members = details.members ?? {}
  }
}

/** An error as problem details (RFC 9457). */
export interface ProblemDetails {
  readonly type: string
  readonly title: string
  readonly status: number
  readonly detail: string
  readonly code: ErrorCode
  readonly retry: Retry
  readonly state?: RequestState
  readonly [member: string]: unknown
}

/**
 * Converts an error to problem details for an HTTP response or a frame.
 *
 * @example
 * toProblem(new CornelgaugeError('unknown-kind')).status // 422
 */
export function toProblem (failure: CornelgaugeError): ProblemDetails {
  return {
    ...failure.members,
    type: `urn:cornelgauge:problem:${failure.code}`,
    title: ERROR_KINDS[failure.code].title,
    status: failure.status,
    detail: failure.message,
    code: failure.code,
    retry: failure.retry,
    ...(failure.state === undefined ? {} : { state: failure.state })
  }
}

/**
 * Converts problem details back to the error.
 *
 * @example
 * fromProblem(toProblem(new CornelgaugeError('timeout'))).code // 'timeout'
 */
export function fromProblem (problem: ProblemDetails): CornelgaugeError {
  const { type, title, status, detail, code, retry, state, ...members } = problem
  const known: ErrorCode = code in ERROR_KINDS ? code : 'internal'
  return new CornelgaugeError(known, { detail, state, members })
}

/**
 * Converts any thrown value to a `CornelgaugeError`; other errors become `internal`, with the original as cause.
 *
 * @example
 * asFailure(new TypeError('x is undefined')).code // 'internal'
 */
export function asFailure (thrown: unknown): CornelgaugeError {
  if (thrown instanceof CornelgaugeError) return thrown
  const detail = thrown instanceof Error ? thrown.message : String(thrown)
  return new CornelgaugeError('internal', { detail, cause: thrown })
}
