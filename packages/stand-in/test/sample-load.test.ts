import { expect } from 'chai'
import { CornelgaugeError, type ErrorCode } from '@cornelgauge/model'
import { VirtualClock, type HttpCall, type HttpClient } from '@cornelgauge/ports'
import { DEPLOYMENTS, formatLoad, LoadTable, SampleCaller, sampleRequests, type SampleRequest, type ToldOutcome } from '../src/index.js'

const request: SampleRequest = {
  kind: 'shift-swap',
  workspace: 'ustredi',
  key: 'swap-1',
  payload: { durationMilliseconds: 10, echo: { mark: 7 } },
  deadlineMilliseconds: 1000
}

const finished = (echo: unknown): object => ({ state: 'finished', answer: { echo } })

/** What the entry VMs say, call by call; the last one again and again. */
type Script = readonly (object | ErrorCode)[]

const ask = async (script: Script): Promise<{ told: ToldOutcome, calls: readonly HttpCall[] }> => {
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
  const caller = new SampleCaller({ clock, pickEntry, tokens: { ustredi: 'secret' }, oneWayMilliseconds: 3, isOver: () => false })
  let told: ToldOutcome | undefined
  caller.ask(request).then(outcome => { told = outcome })
  await clock.advance(60_000)
  return { told: told!, calls }
}

const CASES: readonly { name: string, script: Script, outcome: string, ownAnswer: boolean }[] = [
  { name: 'finished with its own echo', script: [finished({ mark: 7 })], outcome: 'finished', ownAnswer: true },
  { name: 'finished with the echo of another', script: [finished({ mark: 8 })], outcome: 'finished', ownAnswer: false },
  { name: 'finished without an answer', script: [{ state: 'finished' }], outcome: 'finished', ownAnswer: false },
  { name: 'pending, then running, then finished', script: [{ state: 'pending' }, { state: 'running' }, finished({ mark: 7 })], outcome: 'finished', ownAnswer: true },
  { name: 'no answer, then finished', script: ['unavailable', 'timeout', finished({ mark: 7 })], outcome: 'finished', ownAnswer: true },
  { name: 'pending, then no answer for a while, then not run', script: [{ state: 'pending' }, 'unavailable', { state: 'not-run' }], outcome: 'not-run', ownAnswer: true },
  { name: 'refused', script: ['overloaded'], outcome: 'refused: overloaded', ownAnswer: true },
  { name: 'pending for ever', script: [{ state: 'running' }], outcome: 'pending', ownAnswer: true },
  { name: 'never an answer', script: ['unavailable'], outcome: 'no-answer', ownAnswer: true }
]

describe('sample load', () => {
  describe('caller', () => {
    for (const { name, script, outcome, ownAnswer } of CASES) {
      it(`is told: ${name}`, async () => {
        expect((await ask(script)).told).to.include({ outcome, ownAnswer })
      })
    }

    it('tries again with the same key, and counts its own delay', async () => {
      const { told, calls } = await ask(['unavailable', finished({ mark: 7 })])
      expect(calls.map(({ headers }) => headers?.['idempotency-key'])).to.deep.equal(['swap-1', 'swap-1'])
      expect(told.milliseconds).to.equal(2 * (3 + 10 + 3) + 100)
    })
  })

  describe('requests', () => {
    const first = (seed: number): readonly unknown[] => {
      const requests = sampleRequests(DEPLOYMENTS.hlidka!.kinds[0]!, ['a', 'b'], seed)
      return Array.from({ length: 50 }, () => requests.next().value)
    }

    it('are the same for the same seed, and others for another', () => {
      expect(first(1)).to.deep.equal(first(1))
      expect(first(1)).to.not.deep.equal(first(2))
    })
  })

  describe('table', () => {
    it('counts what was told by kind, with refusals by code', () => {
      const table = new LoadTable(['swap', 'rota'])
      const told = { kind: 'swap', outcome: 'finished', ownAnswer: true, milliseconds: 80 } as const
      table.record(told)
      table.record({ ...told, ownAnswer: false })
      table.record({ ...told, outcome: 'refused: overloaded' })
      expect(table.rows[0]).to.deep.include({ asked: 3, outcomes: { finished: 2, 'refused: overloaded': 1 }, wrongAnswers: 1, medianMilliseconds: 80 })
      expect(table.rows[1]).to.deep.include({ asked: 0, medianMilliseconds: 0 })
      expect(formatLoad(table.rows)).to.include('swap: 1 refused: overloaded')
    })
  })
})
