/**
 * The stand-in of a backend server. `GET /executions` returns its own record of every
 * start, against which tests and the demonstration check what callers received.
 */
import type { BackendServer, ExecutionId, MemoryBackendServer, OwnerClaim, Preparation, WatchRequest } from '@cornelgauge/ports'
import { bodyOf, isObject, requireFields, type Call, type Route } from './route.js'
import type { StandInServerOptions } from './stand-in-server.js'

const isNumber = (value: unknown): boolean => typeof value === 'number' && Number.isFinite(value)
const isText = (value: unknown): boolean => typeof value === 'string'
const isClaim = (value: unknown): boolean => isObject(value) && isText(value.cell) && isNumber(value.epoch)
const isExecutionId = (value: unknown): boolean => isObject(value) && isText(value.request) && isNumber(value.attempt)
const isIdList = (value: unknown): boolean => Array.isArray(value) && value.every(isExecutionId)

const isPreparation = (value: unknown): boolean => isObject(value) && isExecutionId(value) && isText(value.kind) &&
  isNumber(value.slots) && isNumber(value.accelerators) && typeof value.start === 'boolean'

const isPreparationList = (value: unknown): boolean => Array.isArray(value) && value.every(isPreparation)

/** The body of a call that addresses executions by their ids. */
interface ExecutionsBody {
  readonly claim: OwnerClaim
  readonly executions: readonly ExecutionId[]
}

type ExecutionsOperation = (claim: OwnerClaim, executions: readonly ExecutionId[]) => Promise<unknown>

/**
 * The faults and routes of a backend server's stand-in.
 *
 * @example
 * new StandInServer(backendServerOptions(new MemoryBackendServer({ slots: 8, accelerators: 8 })))
 */
export function backendServerOptions (server: MemoryBackendServer): StandInServerOptions {
  const routes: readonly Route[] = [
    { method: 'POST', path: '/prepare', handle: call => prepare(server, call) },
    executionsRoute('/go', (claim, executions) => server.go(claim, executions)),
    executionsRoute('/fence', (claim, executions) => server.fence(claim, executions)),
    executionsRoute('/stop', (claim, executions) => server.stop(claim, executions)),
    executionsRoute('/checkpoint', (claim, executions) => server.checkpoint(claim, executions)),
    { method: 'POST', path: '/throttle', handle: call => throttle(server, call) },
    { method: 'POST', path: '/watch', handle: call => watch(server, call) }
  ]
  const controlRoutes: readonly Route[] = [{ method: 'GET', path: '/executions', handle: async () => server.executions }]
  return { faults: server.faults, routes, controlRoutes }
}

function executionsRoute (path: string, perform: ExecutionsOperation): Route {
  return {
    method: 'POST',
    path,
    handle: async call => {
      const body = bodyOf<ExecutionsBody>(call)
      requireFields(body, { claim: isClaim, executions: isIdList })
      return perform(body.claim, body.executions)
    }
  }
}

async function prepare (server: BackendServer, call: Call): Promise<unknown> {
  const body = bodyOf<{ claim: OwnerClaim, preparations: readonly Preparation[] }>(call)
  requireFields(body, { claim: isClaim, preparations: isPreparationList })
  return server.prepare(body.claim, body.preparations)
}

async function throttle (server: BackendServer, call: Call): Promise<unknown> {
  const body = bodyOf<ExecutionsBody & { share: number }>(call)
  requireFields(body, { claim: isClaim, executions: isIdList, share: isNumber })
  return server.throttle(body.claim, body.executions, body.share)
}

async function watch (server: BackendServer, call: Call): Promise<unknown> {
  const request = bodyOf<WatchRequest>(call)
  requireFields(request, {
    cell: isText, epoch: isNumber, after: isNumber, waitMilliseconds: isNumber, leaseMilliseconds: isNumber, acknowledged: isIdList
  })
  return server.watch(request)
}
