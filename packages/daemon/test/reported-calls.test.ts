import { cellName, CornelgaugeError, requestId, requestKey, workspaceName } from '@cornelgauge/model'
import type { EmitEvent } from '@cornelgauge/telemetry'
import type { CallBody, ReplyBody } from '@cornelgauge/wire'
import { expect } from 'chai'
import { reportCalls } from '../src/reported-calls.js'

const CELL = cellName('praha')
const REQUEST = requestId(workspaceName('brno'), requestKey('swap-1'))
const SUBMISSION = { workspace: workspaceName('brno'), key: requestKey('swap-1') }

async function emittedBy (body: CallBody, answer: () => Promise<ReplyBody>): Promise<unknown[]> {
  const emitted: unknown[] = []
  const emit: EmitEvent = (name, facts) => { emitted.push([name, facts?.cell, facts?.request]) }
  await reportCalls({ call: answer }, emit).call('127.0.0.1:1', body, 10).catch(() => {})
  return emitted
}

describe('reported calls', () => {
  const done = async (): Promise<ReplyBody> => ({ type: 'done' })
  const lost = async (): Promise<ReplyBody> => { throw new CornelgaugeError('connection-lost') }
  const forwarded = ['call-forwarded', CELL, REQUEST]
  const failed = ['forward-failed', CELL, REQUEST]
  const read = { type: 'read', cell: CELL, request: REQUEST, waitMilliseconds: 0 } as const
  const cases: ReadonlyArray<readonly [string, CallBody, () => Promise<ReplyBody>, unknown[]]> = [
    ['a submission', { type: 'submit', cell: CELL, submission: SUBMISSION as never, waitMilliseconds: 0 }, done, [forwarded]],
    ['a read', read, done, [forwarded]],
    ['a read that fails', read, lost, [forwarded, failed]],
    ['a call for events of a request', { type: 'events', after: 0, limit: 1, cell: CELL, request: REQUEST }, lost, []],
    ['a call that concerns no cell', { type: 'vm-status' }, lost, []]
  ]
  for (const [title, body, answer, expected] of cases) {
    it(`emit ${expected.length} events for ${title}`, async () => {
      expect(await emittedBy(body, answer)).to.deep.equal(expected)
    })
  }
})
