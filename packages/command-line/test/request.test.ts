import type { RequestState } from '@cornelgauge/model'
import { expect } from 'chai'
import { KEY, problem, runCommand, withService, type CommandResult, type FakeAnswer, type RunOptions } from './harness.js'

const COLLECTION = '/v1/workspaces/ustredi/requests'
const SUBMIT = ['submit', 'shift-swap', '--workspace', 'ustredi']
const READ = ['request', 'swap-1', '--workspace', 'ustredi']
const CANCEL = ['cancel', 'swap-1', '--workspace', 'ustredi']

const view = (state: RequestState, members: object = {}): FakeAnswer => ({
  status: state === 'pending' || state === 'running' ? 202 : 200,
  body: {
    workspace: 'ustredi',
    key: 'swap-1',
    kind: 'shift-swap',
    state,
    cell: 'praha',
    acceptedAt: '2027-01-01T00:00:00.000Z',
    deadline: '2027-01-01T00:01:00.000Z',
    attempts: 1,
    ...members
  }
})

const EXITS = [
  { state: 'finished', submitted: 0, cancelled: 1 },
  { state: 'failed', submitted: 1, cancelled: 1 },
  { state: 'cancelled', submitted: 1, cancelled: 0 },
  { state: 'not-run', submitted: 1, cancelled: 0 },
  { state: 'unknown', submitted: 1, cancelled: 1 },
  { state: 'pending', submitted: 5, cancelled: 5 },
  { state: 'running', submitted: 5, cancelled: 5 }
] as const

describe('cornelgauge submit, request and cancel', () => {
  const service = withService()
  const execute = async (words: readonly string[], options: RunOptions = {}): Promise<CommandResult> => await runCommand(service.current, words, options)
  const sentBody = (): Record<string, unknown> => JSON.parse(service.current.receivedRequests[0]?.body ?? '') as Record<string, unknown>

  for (const { state, submitted, cancelled } of EXITS) {
    describe(`a request that is ${state}`, () => {
      beforeEach(() => {
        service.current.on(`POST ${COLLECTION}`, view(state)).on(`GET ${COLLECTION}/swap-1`, view(state)).on(`GET ${COLLECTION}/${KEY}`, view(state)).on(`DELETE ${COLLECTION}/swap-1`, view(state))
      })

      for (const [words, exitCode] of [[SUBMIT, submitted], [READ, submitted], [CANCEL, cancelled]] as const) {
        it(`makes ${words[0]} exit with ${exitCode} and print the state`, async () => {
          const result = await execute(words)
          expect(result.exitCode).to.equal(exitCode)
          expect(result.output).to.match(new RegExp(`^state\\t${state}$`, 'm'))
          expect(JSON.parse((await execute([...words, '--json'])).output)).to.deep.include({ state })
        })
      }
    })
  }

  describe('submit', () => {
    beforeEach(() => { service.current.on(`POST ${COLLECTION}`, view('finished', { answer: { echo: [1] } })) })

    it('generates a key and prints it first, so that a retry can use it', async () => {
      const { diagnostics, output } = await execute(SUBMIT)
      expect(diagnostics).to.equal(`key ${KEY}\n`)
      expect(output).to.contain('answer\t{"echo":[1]}')
      expect(service.current.receivedRequests[0]?.headers['idempotency-key']).to.equal(KEY)
    })

    it('sends a given key, payload and shape', async () => {
      const words = [...SUBMIT, '--key', 'swap-1', '--payload', '{"a": 1}', '--accelerators', '16', '--adjacency', 'rack', '--deadline-milliseconds=5']
      expect((await execute(words)).diagnostics).to.equal('')
      expect(sentBody()).to.deep.equal({ kind: 'shift-swap', payload: { a: 1 }, deadlineMilliseconds: 5, shape: { accelerators: 16, adjacency: 'rack' } })
    })

    it('escapes control characters in an answer or a reason', async () => {
      service.current.on(`POST ${COLLECTION}`, view('failed', { reason: { code: 'task-failed', detail: 'a\u001B[2Jb\u009b' } }))
      expect((await execute(SUBMIT, { isTerminal: true, variables: { NO_COLOR: '1' } })).output).to.contain('a\\u001b[2Jb\\u009b')
    })

    for (const key of ['a b', 'č', 'k'.repeat(201)]) {
      it(`exits with 2 for a key that is not valid in a header: ${key.slice(0, 5)}`, async () => {
        expect((await execute([...SUBMIT, '--key', key])).exitCode).to.equal(2)
      })
    }

    it('sends no shape if none is given, and reads the payload from a file', async () => {
      await execute([...SUBMIT, '--payload', '@swap.json'], { files: { 'swap.json': '[2]' } })
      expect(sentBody()).to.deep.equal({ kind: 'shift-swap', payload: [2], deadlineMilliseconds: 60_000 })
    })

    for (const [title, words, files] of [['malformed JSON', ['--payload', '{'], {}], ['a file that is not JSON', ['--payload', '@a'], { a: '{' }], ['a missing file', ['--payload', '@b'], {}]] as const) {
      it(`exits with 2 for ${title} and sends nothing`, async () => {
        expect((await execute([...SUBMIT, ...words], { files })).exitCode).to.equal(2)
        expect(service.current.receivedRequests).to.deep.equal([])
      })
    }

    it('prints each fault that the service finds in the body', async () => {
      service.current.on(`POST ${COLLECTION}`, problem('invalid-request', { members: { faults: [{ path: 'payload', detail: 'too deep' }] } }))
      expect((await execute(SUBMIT)).diagnostics).to.match(/^payload: too deep$/m)
    })

    it('prints a refusal with the state', async () => {
      service.current.on(`POST ${COLLECTION}`, problem('impossible-shape', { state: 'not-run' }))
      const { exitCode, diagnostics } = await execute(SUBMIT)
      expect(exitCode).to.equal(3)
      expect(diagnostics).to.contain('[impossible-shape]').and.to.contain('Not run, and it will not be run.')
    })

    for (const [title, answer] of [['was lost', { body: '', lost: true }], ['came from a load balancer', { body: '<html>', status: 503 }], ['reports it as unknown', problem('outcome-unknown')]] as const) {
      it(`describes how to check whether the request was accepted if the response ${title}`, async () => {
        service.current.on(`POST ${COLLECTION}`, answer)
        const { exitCode, output } = await execute([...SUBMIT, '--json'])
        expect(exitCode).to.equal(4)
        expect(JSON.parse(output)).to.deep.include({ key: KEY, workspace: 'ustredi' })
        expect(output).to.contain(`cornelgauge request ${KEY} --workspace ustredi`)
      })
    }

    it('does not report the outcome as unknown if the service states that nothing was accepted', async () => {
      service.current.on(`POST ${COLLECTION}`, problem('overloaded', { state: 'not-run' }))
      const { exitCode, diagnostics } = await execute(SUBMIT)
      expect(exitCode).to.equal(4)
      expect(diagnostics).not.to.contain('not known')
    })
  })

  describe('waiting', () => {
    it('polls until the end, even while the cell changes its owner', async () => {
      service.current.on(`POST ${COLLECTION}`, view('pending')).on(`GET ${COLLECTION}/${KEY}`, view('running'), problem('no-owner'), { body: '', lost: true }, view('finished'))
      expect((await execute(SUBMIT)).exitCode).to.equal(0)
      expect(service.current.receivedRequests).to.have.lengthOf(5)
    })

    it('does not poll if the wait is 0', async () => {
      service.current.on(`POST ${COLLECTION}`, view('pending'))
      expect((await execute([...SUBMIT, '--wait-milliseconds', '0'])).exitCode).to.equal(5)
      expect(service.current.receivedRequests).to.have.lengthOf(1)
    })

    it('gives up a read that keeps failing when the wait is over', async () => {
      service.current.on(`GET ${COLLECTION}/swap-1`, problem('no-owner'))
      expect((await execute([...READ, '--wait-milliseconds', '3000'])).exitCode).to.equal(4)
    })

    it('exits at once if the request is unknown', async () => {
      service.current.on(`GET ${COLLECTION}/swap-1`, problem('unknown-request'))
      expect((await execute([...READ, '--wait-milliseconds', '3000'])).exitCode).to.equal(3)
      expect(service.current.receivedRequests).to.have.lengthOf(1)
    })

    it('shows progress on a terminal only', async () => {
      service.current.on(`POST ${COLLECTION}`, view('pending')).on(`GET ${COLLECTION}/swap-1`, view('pending'), view('finished'))
      const words = [...SUBMIT, '--key', 'swap-1']
      expect((await execute(words, { isTerminal: true })).diagnostics).to.match(/pending, \d+ s/)
      service.current.on(`GET ${COLLECTION}/swap-1`, view('pending'), view('finished'))
      expect((await execute(words)).diagnostics).to.equal('')
    })
  })
})
