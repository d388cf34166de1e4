/**
 * Emits events for calls to the owners of cells, so that the timeline shows through
 * which VM a request arrived.
 */
import { asFailure, requestId, type CornelgaugeError, type RequestId } from '@cornelgauge/model'
import type { EmitEvent } from '@cornelgauge/telemetry'
import type { CallBody } from '@cornelgauge/wire'
import type { PeerCaller } from './router.js'

type OwnerCall = Extract<CallBody, { cell: unknown, request: unknown } | { submission: unknown }>

/**
 * Wraps a caller of peers to emit an event for each call to a cell owner, and for
 * each such call that fails.
 *
 * @example
 * const wire = reportCalls(wireClient, telemetry.emit)
 */
export function reportCalls (wire: PeerCaller, emit: EmitEvent): PeerCaller {
  return {
    async call (address, body, timeoutMilliseconds) {
      if (isOwnerCall(body)) emit('call-forwarded', { ...subjectOf(body), details: { address, type: body.type } })
      try {
        return await wire.call(address, body, timeoutMilliseconds)
      } catch (thrown) {
        if (isOwnerCall(body)) reportFailure(emit, address, body, asFailure(thrown))
        throw thrown
      }
    }
  }
}

function reportFailure (emit: EmitEvent, address: string, body: OwnerCall, failure: CornelgaugeError): void {
  emit('forward-failed', { ...subjectOf(body), details: { address, type: body.type, failure } })
}

function isOwnerCall (body: CallBody): body is OwnerCall {
  return 'submission' in body || ('cell' in body && 'request' in body && body.type !== 'events')
}

function subjectOf (body: OwnerCall): { readonly cell: OwnerCall['cell'], readonly request: RequestId } {
  const request = body.type === 'submit' ? requestId(body.submission.workspace, body.submission.key) : body.request
  return { cell: body.cell, request }
}
