import { expect } from 'chai'
import { CornelgaugeError, type ErrorCode } from '@cornelgauge/model'
import { VirtualClock, type HttpCall, type HttpClient } from '@cornelgauge/ports'
import { DEPLOYMENTS, formatLoad, LoadTable, SampleCaller, sampleRequests, type SampleRequest, type CallerOutcome } from '../src/index.js'

const request: SampleRequest = {
  kind: 'shift-swap',
  workspace: 'ustredi',
  key: 'swap-1',
  payload: { durationMilliseconds: 10, echo: { mark: 7 } },
  deadlineMilliseconds: 1000
}

const finished = (echo: unknown): object => ({ state: 'finished', answer: { echo } })

/** The responses of the entry VMs, one per call; the last one repeats. */
type Script = readonly (object | ErrorCode)[]

const runCaller = async (script: Script): Promise<{ outcome: CallerOutcome, calls: readonly HttpCall[] }> => {
  const clock = new VirtualClock()
  const calls: HttpCall[] = []
  const json = async (call: HttpCall): Promise<unknown> => {
    const answer = script[Math.min(calls.length, script.length - 1)]!
    calls.push(call)
    await new Promise<void>(resolve => clock.after(10, resolve))
    if (typeof answer === 'string') throw new CornelgaugeError(answer)
    return answer
  }
  const pickEntry = (): HttpClient => ({ json }) as unknown as HttpClient
  const caller = new SampleCaller({ clock, pickEntry, tokens: { ustredi: 'secret' }, oneWayMilliseconds: 3, isStopped: () => false })
  let outcome: CallerOutcome | undefined
  caller.runRequest(request).then(final => { outcome = final })
  await clock.advance(60_000)
  return { outcome: outcome!, calls }
}

const CASES: readonly { name: string, script: Script, outcome: string, ownAnswer: boolean }[] = [
  { name: 'finished with its own echo', script: [finished({ mark: 7 })], outcome: 'finished', ownAnswer: true },
  { name: 'finished with the echo of another', script: [finished({ mark: 8 })], outcome: 'finished', ownAnswer: false },
  { name: 'finished without an answer', script: [{ state: 'finished' }], outcome: 'finished', ownAnswer: false },
  { name: 'pending, then running, then finished', script: [{ state: 'pending' }, { state: 'running' }, finished({ mark: 7 })], outcome: 'finished', ownAnswer: true },
  { name: 'no answer, then finished', script: ['unavailable', 'timeout', finished({ mark: 7 })], outcome: 'finished', ownAnswer: true },
  { name: 'pending, then no answer for a while, then not run', script: [{ state: 'pending' }, 'unavailable', { state: 'not-run' }], outcome: 'not-run', ownAnswer: true },
  { name: 'refused', script: ['overloaded'], outcome: 'refused: overloaded', ownAnswer: true },
  { name: 'pending forever', script: [{ state: 'running' }], outcome: 'pending', ownAnswer: true },
  { name: 'never an answer', script: ['unavailable'], outcome: 'no-answer', ownAnswer: true }
]

describe('sample load', () => {
  describe('caller', () => {
    for (const { name, script, outcome, ownAnswer } of CASES) {
      it(`reports the outcome: ${name}`, async () => {
        expect((await runCaller(script)).outcome).to.include({ outcome, ownAnswer })
      })
    }

    it('retries with the same key, and includes its own delay in the latency', async () => {
      const { outcome, calls } = await runCaller(['unavailable', finished({ mark: 7 })])
      expect(calls.map(({ headers }) => headers?.['idempotency-key'])).to.deep.equal(['swap-1', 'swap-1'])
      expect(outcome.milliseconds).to.equal(2 * (3 + 10 + 3) + 100)
    })
  })

  describe('requests', () => {
    const first = (seed: number): readonly unknown[] => {
      const requests = sampleRequests(DEPLOYMENTS.hlidka!.kinds[0]!, ['a', 'b'], seed)
      return Array.from({ length: 50 }, () => requests.next().value)
    }

    it('are the same for the same seed, and differ for another', () => {
      expect(first(1)).to.deep.equal(first(1))
      expect(first(1)).to.not.deep.equal(first(2))
    })
  })

  describe('table', () => {
    it('counts outcomes by kind, and refusals by code', () => {
      const table = new LoadTable(['swap', 'rota'])
      const finishedSwap = { kind: 'swap', outcome: 'finished', ownAnswer: true, milliseconds: 80 } as const
      table.record(finishedSwap)
      table.record({ ...finishedSwap, ownAnswer: false })
      table.record({ ...finishedSwap, outcome: 'refused: overloaded' })
      expect(table.rows[0]).to.deep.include({ asked: 3, outcomes: { finished: 2, 'refused: overloaded': 1 }, wrongAnswers: 1, medianMilliseconds: 80 })
      expect(table.rows[1]).to.deep.include({ asked: 0, medianMilliseconds: 0 })
      expect(formatLoad(table.rows)).to.include('swap: 1 refused: overloaded')
    })
  })
})
