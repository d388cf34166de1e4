import { expect } from 'chai'
import type { LoggedExecution } from '@cornelgauge/ports'
import { RULES, violationsOf, type History, type CallerResponse } from '../src/history.js'

const started = (key: string, changes: Partial<LoggedExecution> = {}): LoggedExecution =>
  ({ requestKey: key, workspace: 'ustredi', attempt: 1, epoch: 1, gang: { size: 1, index: 0 }, startedAt: 0, endedAt: 100, outcome: 'finished', ...changes }) as LoggedExecution

const response = (key: string, state: string, changes: Partial<CallerResponse> = {}): CallerResponse =>
  ({ key, receivedAt: 0, state, answer: JSON.stringify({ echo: { key } }), ...changes })

const history = (changes: Partial<History>): History => ({
  submitted: [{ key: 'a', idempotent: false }],
  responses: [response('a', 'finished')],
  executions: [started('a')],
  finalResponses: new Map([['a', response('a', 'finished')]]),
  forgotten: new Set(),
  maximumPartialGangMilliseconds: 1000,
  ...changes
})

const VIOLATING: Readonly<Record<keyof typeof RULES, History>> = {
  'non-idempotent work starts once at most': history({ executions: [started('a'), started('a', { attempt: 2 })] }),
  'what is told not to have run never runs': history({ responses: [response('a', 'not-run', { code: 'overloaded' })] }),
  'what was accepted ends in a true state': history({ responses: [response('a', 'pending')], finalResponses: new Map([['a', response('a', 'running')]]) }),
  'a final state never changes': history({ responses: [response('a', 'cancelled')] }),
  'an answer is whole and belongs to its request': history({ responses: [response('a', 'finished', { answer: '{"echo":{"key":"b"}}' })] }),
  'what is told finished has finished': history({ executions: [started('a', { outcome: 'failed' })] }),
  'no part of a gang runs without the whole': history({ executions: [started('a', { gang: { size: 2, index: 0 }, endedAt: 5000 })] })
}

describe('the rules of a history', () => {
  it('find no violation in a valid history', () => {
    expect(violationsOf(history({}))).to.deep.equal([])
  })

  for (const name of Object.keys(RULES)) {
    it(`find a violation of: ${name}`, () => {
      const broken = violationsOf(VIOLATING[name]!).map(line => line.split(': ')[0])
      expect(broken).to.deep.equal([name])
    })
  }
})
