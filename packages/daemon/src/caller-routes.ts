/** HTTP routes for callers: submit, read and cancel requests of their own workspace. */
import { hasEnded } from '@cornelgauge/coordination'
import type { EnvironmentDocument } from '@cornelgauge/environment'
import { asFailure, CornelgaugeError, isFinal, type RequestKey, type RequestView, type Submission, type WorkspaceName } from '@cornelgauge/model'
import { MAXIMUM_BODY_BYTES, type HttpRequest, type HttpResponse, type Route } from './http-server.js'
import type { Router, RoutedRecord } from './router.js'
import { checkKey, checkWorkspace, parseSubmission, unreadableSubmission } from './submission.js'
import type { Tokens } from './tokens.js'

const LONGEST_WAIT_MILLISECONDS = 60_000
const REQUESTS_PATH = '/v1/workspaces/{workspace}/requests'

/** Dependencies of the caller routes. */
export interface CallerRouteOptions {
  readonly router: Router
  readonly tokens: Tokens
  readonly document: () => EnvironmentDocument
  readonly wall: () => number
}

/**
 * Creates the routes for callers.
 *
 * @example
 * const server = new HttpServer(callerRoutes(options))
 */
export function callerRoutes (options: CallerRouteOptions): readonly Route[] {
  return [
    { method: 'POST', path: REQUESTS_PATH, handle: request => submit(options, request) },
    { method: 'GET', path: `${REQUESTS_PATH}/{key}`, handle: request => read(options, request) },
    { method: 'DELETE', path: `${REQUESTS_PATH}/{key}`, handle: request => cancel(options, request) }
  ]
}

async function submit (options: CallerRouteOptions, request: HttpRequest): Promise<HttpResponse> {
  const workspace = authorize(options, request)
  const key = checkKey(request.header('idempotency-key'))
  const wait = waitOf(request, 'unknown')
  const submission = await submissionFrom(options, request, workspace, key)
  return responseOf(options, await options.router.submit(submission, wait))
}

/** A body over the size limit becomes a refused submission, so that the refusal is recorded under its key like any other. */
async function submissionFrom (options: CallerRouteOptions, request: HttpRequest, workspace: WorkspaceName, key: RequestKey): Promise<Submission> {
  try {
    return parseSubmission(options.document(), workspace, key, await request.body(MAXIMUM_BODY_BYTES), options.wall())
  } catch (thrown) {
    const failure = asFailure(thrown)
    if (failure.code !== 'body-too-large') throw failure
    return unreadableSubmission(workspace, key, failure.message, failure, options.wall())
  }
}

async function read (options: CallerRouteOptions, request: HttpRequest): Promise<HttpResponse> {
  const workspace = authorize(options, request)
  const key = checkKey(request.parameters.key)
  return responseOf(options, await options.router.read(workspace, key, waitOf(request)))
}

async function cancel (options: CallerRouteOptions, request: HttpRequest): Promise<HttpResponse> {
  const workspace = authorize(options, request)
  const key = checkKey(request.parameters.key)
  return responseOf(options, await options.router.cancel(workspace, key))
}

/** Checks the token before the workspace, so that an unauthorized caller cannot find out which workspaces exist. */
function authorize ({ tokens, document }: CallerRouteOptions, request: HttpRequest): WorkspaceName {
  const name = request.parameters.workspace!
  tokens.requireWorkspace(request.header('authorization'), name as WorkspaceName)
  return checkWorkspace(document(), name)
}

/** Parses the wait time. An invalid one is rejected with the given state, since an earlier request with the same key may exist. */
function waitOf (request: HttpRequest, state?: 'unknown'): number {
  const text = request.query.get('waitMilliseconds')
  if (text === null) return 0
  const wait = Number(text)
  if (!Number.isInteger(wait) || wait < 0) throw new CornelgaugeError('invalid-request', { detail: 'waitMilliseconds must be a whole number of 0 or more', state })
  return Math.min(wait, LONGEST_WAIT_MILLISECONDS)
}

async function responseOf ({ router }: CallerRouteOptions, result: RoutedRecord): Promise<HttpResponse> {
  const { record } = result
  const text = await router.answer(result)
  const hasFinalState = isFinal(record.state) || hasEnded(record)
  return { status: hasFinalState ? 200 : 202, body: viewOf(result, text) }
}

function viewOf ({ cell, record, asOf }: RoutedRecord, answer: string | undefined): RequestView {
  const { submission } = record
  return {
    workspace: submission.workspace,
    key: submission.key,
    kind: submission.kind,
    state: record.state,
    cell,
    acceptedAt: new Date(record.acceptedAt).toISOString(),
    deadline: new Date(submission.deadline).toISOString(),
    attempts: record.attempts,
    ...(answer === undefined ? {} : { answer: JSON.parse(answer) as unknown, answerDigest: record.answer!.digest, answerLengthBytes: record.answer!.lengthBytes }),
    ...(record.reason === undefined ? {} : { reason: record.reason }),
    ...(record.endedAt === undefined ? {} : { endedAt: new Date(record.endedAt).toISOString() }),
    ...(asOf === undefined ? {} : { asOf: new Date(asOf).toISOString() })
  }
}
