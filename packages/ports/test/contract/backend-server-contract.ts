/** The contract of a backend server. */
import { expect } from 'chai'
import { cellName, epoch, kindName, type RequestId } from '@cornelgauge/model'
import type {
  BackendServer, ExecutionId, ExecutionReport, ExecutionState, FaultSetting, Json, MemoryBackendServer, OwnerClaim, Preparation, WatchRequest
} from '../../src/index.js'
import { failureCode, until, type Subject } from './subject.js'

/** A backend server of 8 slots and 8 accelerators, with the in-memory one behind it for the ground truth. */
export interface BackendServerSubject extends Subject<BackendServer> {
  readonly server: MemoryBackendServer
}

const owner = (number = 1, cell = 'praha'): OwnerClaim => ({ cell: cellName(cell), epoch: epoch(number) })
const swap = (name: string, attempt = 1): ExecutionId => ({ request: `brno/${name}` as RequestId, attempt })

const preparation = (id: ExecutionId, rest: Partial<Preparation> = {}): Preparation => ({
  ...id,
  kind: kindName('shift-swap'),
  payload: { durationMilliseconds: 100, echo: { name: id.request } },
  slots: 1,
  accelerators: 0,
  gangSize: 1,
  gangIndex: 0,
  start: false,
  ...rest
})

const watchOf = (claim: OwnerClaim, rest: Partial<WatchRequest> = {}): WatchRequest =>
  ({ ...claim, after: 0, waitMilliseconds: 0, leaseMilliseconds: 1000, acknowledged: [], ...rest })

const states = (reports: readonly ExecutionReport[]): readonly ExecutionState[] => reports.map(({ state }) => state)

type Call = (server: BackendServer, claim: OwnerClaim) => Promise<unknown>

const CALLS: readonly { name: string, call: Call }[] = [
  { name: 'prepare', call: (server, claim) => server.prepare(claim, [preparation(swap('new'), { start: true })]) },
  { name: 'go', call: (server, claim) => server.go(claim, [swap('held')]) },
  { name: 'fence', call: (server, claim) => server.fence(claim, [swap('held')]) },
  { name: 'stop', call: (server, claim) => server.stop(claim, [swap('held')]) },
  { name: 'checkpoint', call: (server, claim) => server.checkpoint(claim, [swap('held')]) },
  { name: 'throttle', call: (server, claim) => server.throttle(claim, [swap('held')], 0.5) },
  { name: 'watch', call: (server, claim) => server.watch(watchOf(claim)) }
]

const ECHOES: readonly Json[] = [null, 0, 'ž"\n', [1, [2]], { a: { b: false } }]

const CAPACITY_CASES: readonly { name: string, held: Partial<Preparation>, wanted: Partial<Preparation>, code: string }[] = [
  { name: 'the last slots', held: { slots: 5 }, wanted: { slots: 3 }, code: 'none' },
  { name: 'one slot too many', held: { slots: 6 }, wanted: { slots: 3 }, code: 'capacity-taken' },
  { name: 'one accelerator too many', held: { accelerators: 8 }, wanted: { accelerators: 1 }, code: 'capacity-taken' },
  { name: 'more than there is', held: {}, wanted: { slots: 9 }, code: 'capacity-taken' }
]

const FAULT_CASES: readonly { name: string, setting: FaultSetting, code: string, starts: number }[] = [
  { name: 'down', setting: { mode: 'down' }, code: 'unavailable', starts: 0 },
  { name: 'an answer lost after the effect', setting: { mode: 'lose-answers' }, code: 'unavailable', starts: 1 },
  { name: 'leaving', setting: { mode: 'leaving' }, code: 'server-leaving', starts: 0 }
]

/** Describes what every backend server does. */
export function describeBackendServer (title: string, open: () => Promise<BackendServerSubject>): void {
  describe(title, () => {
    let subject: BackendServerSubject
    let port: BackendServer

    const start = (id: ExecutionId, rest: Partial<Preparation> = {}, claim = owner()): Promise<readonly ExecutionReport[]> =>
      port.prepare(claim, [preparation(id, { start: true, ...rest })])
    const hold = (id: ExecutionId, rest: Partial<Preparation> = {}): Promise<readonly ExecutionReport[]> =>
      port.prepare(owner(), [preparation(id, rest)])
    const watched = async (rest: Partial<WatchRequest> = {}, claim = owner()): Promise<readonly ExecutionReport[]> =>
      (await port.watch(watchOf(claim, rest))).reports
    const outcomes = (): readonly unknown[] => subject.server.executions.map(({ outcome }) => outcome)

    beforeEach(async () => {
      subject = await open()
      port = subject.port
    })
    afterEach(() => subject.close())

    describe('prepare and go', () => {
      it('holds capacity, runs nothing before go, and then runs the task for its time', async () => {
        expect(states(await hold(swap('a')))).to.deep.equal(['prepared'])
        await subject.clock.advance(200)
        expect(subject.server.executions).to.deep.equal([])
        expect(states(await port.go(owner(), [swap('a')]))).to.deep.equal(['running'])
        await subject.clock.advance(99)
        expect(states(await watched())).to.deep.equal(['running'])
        await subject.clock.advance(1)
        expect(states(await watched())).to.deep.equal(['finished'])
      })

      it('starts once, however often prepare and go are repeated', async () => {
        await start(swap('a'))
        expect(states(await start(swap('a')))).to.deep.equal(['running'])
        expect(states(await port.go(owner(), [swap('a')]))).to.deep.equal(['running'])
        await subject.clock.advance(100)
        expect(states(await start(swap('a')))).to.deep.equal(['finished'])
        expect(outcomes()).to.deep.equal(['finished'])
      })

      it('starts once, although the owner acknowledged the first one and prepares it again', async () => {
        await start(swap('a'))
        await subject.clock.advance(100)
        expect(await watched({ acknowledged: [swap('a')] })).to.deep.equal([])
        expect(states(await start(swap('a')))).to.deep.equal(['finished'])
        expect(outcomes()).to.deep.equal(['finished'])
      })

      it('logs each start with its workspace, key, attempt, epoch and gang', async () => {
        const startedAt = subject.clock.now()
        await start(swap('a', 2), { gangSize: 2, gangIndex: 1 }, owner(7))
        await subject.clock.advance(100)
        expect(subject.server.executions).to.deep.equal([{
          requestKey: 'a', workspace: 'brno', attempt: 2, epoch: 7, gang: { size: 2, index: 1 }, startedAt, endedAt: startedAt + 100, outcome: 'finished'
        }])
      })

      for (const { name, held, wanted, code } of CAPACITY_CASES) {
        it(`${code === 'none' ? 'gives' : 'refuses'} ${name}`, async () => {
          await hold(swap('held'), held)
          expect(await failureCode(hold(swap('wanted'), wanted))).to.equal(code)
        })
      }

      it('holds a batch as a whole or not at all', async () => {
        const batch = [preparation(swap('a'), { slots: 4 }), preparation(swap('b'), { slots: 5 })]
        expect(await failureCode(port.prepare(owner(), batch))).to.equal('capacity-taken')
        expect(subject.server.usage.slots).to.equal(0)
      })
    })

    describe('answers', () => {
      for (const echo of ECHOES) {
        it(`echo ${JSON.stringify(echo)} unchanged`, async () => {
          await start(swap('a'), { payload: { durationMilliseconds: 0, echo } })
          await subject.clock.advance(0)
          expect(JSON.parse((await watched())[0]!.answer!).echo).to.deep.equal(echo)
        })
      }

      it('are padded to the size that the payload asks for', async () => {
        await start(swap('a'), { payload: { durationMilliseconds: 0, answerBytes: 5000 } })
        await subject.clock.advance(0)
        expect((await watched())[0]!.answer).to.have.length(5000)
      })

      it('are missing where the task fails', async () => {
        await start(swap('a'), { payload: { durationMilliseconds: 0, fail: true } })
        await subject.clock.advance(0)
        expect((await watched())[0]).to.include({ state: 'failed' }).and.not.have.property('answer')
      })
    })

    describe('fencing', () => {
      beforeEach(() => hold(swap('held')))

      for (const { name, call } of CALLS) {
        it(`refuses ${name} of an older owner, and does nothing`, async () => {
          await watched({}, owner(2))
          expect(await failureCode(call(port, owner(1)))).to.equal('stale-epoch')
          expect(subject.server.executions).to.deep.equal([])
          expect(states(await watched({}, owner(2)))).to.deep.equal(['prepared'])
        })
      }

      it('counts the epochs of each cell apart', async () => {
        await watched({}, owner(9, 'plzen'))
        expect(await failureCode(port.go(owner(1), [swap('held')]))).to.equal('none')
      })

      it('shows a new owner every execution of the cell, and ends the watch of the older one', async () => {
        const older = failureCode(port.watch(watchOf(owner(1), { after: 1, waitMilliseconds: 500 })))
        await until(() => subject.server.waitingWatches === 1)
        expect(states(await watched({}, owner(2)))).to.deep.equal(['prepared'])
        expect(await older).to.equal('stale-epoch')
      })

      for (const name of ['held', 'unknown']) {
        it(`never starts a fenced attempt that was ${name}`, async () => {
          expect(states(await port.fence(owner(), [swap(name)]))).to.deep.equal(['never-started'])
          expect(states(await port.go(owner(), [swap(name)]))).to.deep.equal(['never-started'])
          expect(states(await start(swap(name)))).to.deep.equal(['never-started'])
          expect(subject.server.executions).to.deep.equal([])
        })
      }

      it('never starts an attempt after a go that came before its prepare', async () => {
        expect(states(await port.go(owner(), [swap('late')]))).to.deep.equal(['never-started'])
        expect(states(await start(swap('late')))).to.deep.equal(['never-started'])
      })

      it('gives back the capacity of a fenced attempt', async () => {
        await port.fence(owner(), [swap('held')])
        expect(await failureCode(hold(swap('all'), { slots: 8 }))).to.equal('none')
      })

      it('leaves a running one alone, and another attempt free to start', async () => {
        await port.go(owner(), [swap('held')])
        expect(states(await port.fence(owner(), [swap('held'), swap('other')]))).to.deep.equal(['running', 'never-started'])
        expect(states(await start(swap('other', 2)))).to.deep.equal(['running'])
      })
    })

    describe('leases', () => {
      it('free the capacity of a prepared attempt when they lapse, which then never starts', async () => {
        await hold(swap('a'), { slots: 8 })
        await watched({ leaseMilliseconds: 300 })
        await subject.clock.advance(300)
        expect(subject.server.usage.slots).to.equal(0)
        expect(states(await port.go(owner(), [swap('a')]))).to.deep.equal(['never-started'])
        expect(subject.server.executions).to.deep.equal([])
      })

      it('end a running task when they lapse', async () => {
        await start(swap('a'), { payload: { durationMilliseconds: 1000 } })
        await watched({ leaseMilliseconds: 300 })
        await subject.clock.advance(300)
        expect(states(await watched())).to.deep.equal(['lapsed'])
        expect(outcomes()).to.deep.equal(['lapsed'])
      })

      it('are renewed by each watch of the cell, a newer owner included', async () => {
        await start(swap('a'), { payload: { durationMilliseconds: 1000 } })
        for (const claim of [owner(1), owner(1), owner(2), owner(2)]) {
          await watched({ leaseMilliseconds: 300 }, claim)
          await subject.clock.advance(299)
        }
        expect(outcomes()).to.deep.equal(['finished'])
      })

      it('are not renewed by the watch of another cell or of an older owner', async () => {
        await start(swap('a'), { payload: { durationMilliseconds: 1000 } }, owner(2))
        await watched({ leaseMilliseconds: 300 }, owner(2))
        await subject.clock.advance(200)
        await watched({ leaseMilliseconds: 300 }, owner(2, 'plzen'))
        await failureCode(watched({ leaseMilliseconds: 300 }, owner(1)))
        await subject.clock.advance(100)
        expect(outcomes()).to.deep.equal(['lapsed'])
      })
    })

    describe('stop, checkpoint and throttle', () => {
      const long = { payload: { durationMilliseconds: 1000 } }

      beforeEach(async () => {
        await start(swap('a'), long)
        await subject.clock.advance(400)
      })

      it('stop a running task for good, and fence a prepared one', async () => {
        await hold(swap('b'))
        expect(states(await port.stop(owner(), [swap('a'), swap('b')]))).to.deep.equal(['stopped', 'never-started'])
        await subject.clock.advance(1000)
        expect(outcomes()).to.deep.equal(['stopped'])
        expect(subject.server.usage.slots).to.equal(0)
      })

      it('go on from a checkpoint in another attempt', async () => {
        const [{ checkpoint } = { checkpoint: undefined }] = await port.checkpoint(owner(), [swap('a')])
        await port.stop(owner(), [swap('a')])
        await start(swap('a', 2), { ...long, checkpoint })
        await subject.clock.advance(599)
        expect(outcomes()).to.deep.equal(['stopped', null])
        await subject.clock.advance(1)
        expect(outcomes()).to.deep.equal(['stopped', 'finished'])
      })

      it('slow a task down to its share, and give it its speed back', async () => {
        await port.throttle(owner(), [swap('a')], 0.5)
        await subject.clock.advance(400)
        await port.throttle(owner(), [swap('a')], 1)
        await subject.clock.advance(399)
        expect(outcomes()).to.deep.equal([null])
        await subject.clock.advance(1)
        expect(outcomes()).to.deep.equal(['finished'])
      })

      it('hold a task still at share 0', async () => {
        await watched({ leaseMilliseconds: 10_000 })
        await port.throttle(owner(), [swap('a')], 0)
        await subject.clock.advance(5000)
        expect(outcomes()).to.deep.equal([null])
      })
    })

    describe('watch', () => {
      it('answers at once where there is news, and only with what changed since', async () => {
        await start(swap('a'))
        const first = await port.watch(watchOf(owner(), { waitMilliseconds: 500 }))
        expect(states(first.reports)).to.deep.equal(['running'])
        await hold(swap('b'))
        const second = await port.watch(watchOf(owner(), { after: first.cursor, waitMilliseconds: 500 }))
        expect(second.reports.map(({ request }) => request)).to.deep.equal(['brno/b'])
      })

      it('waits for a change', async () => {
        await start(swap('a'))
        const { cursor } = await port.watch(watchOf(owner()))
        const next = port.watch(watchOf(owner(), { after: cursor, waitMilliseconds: 500 }))
        await until(() => subject.server.waitingWatches === 1)
        await subject.clock.advance(100)
        expect(states((await next).reports)).to.deep.equal(['finished'])
      })

      it('answers with nothing when its time is over', async () => {
        const next = port.watch(watchOf(owner(), { waitMilliseconds: 500 }))
        await until(() => subject.server.waitingWatches === 1)
        await subject.clock.advance(500)
        expect((await next).reports).to.deep.equal([])
      })

      it('tells of an ended one again until it is acknowledged', async () => {
        await start(swap('a'))
        await subject.clock.advance(100)
        expect(states(await watched())).to.deep.equal(['finished'])
        expect(states(await watched())).to.deep.equal(['finished'])
        expect(await watched({ acknowledged: [swap('a')] })).to.deep.equal([])
        expect(await watched()).to.deep.equal([])
      })

      it('does not forget a running one that is acknowledged', async () => {
        await start(swap('a'))
        expect(states(await watched({ acknowledged: [swap('a')] }))).to.deep.equal(['running'])
      })

      it('shows a cell nothing of another', async () => {
        await start(swap('a'))
        expect(await watched({}, owner(1, 'plzen'))).to.deep.equal([])
      })

      it('reports use as of a while ago', async () => {
        await start(swap('a'), { slots: 3, accelerators: 2, payload: { durationMilliseconds: 5000 } })
        await subject.clock.advance(500)
        const { usage: before } = await port.watch(watchOf(owner(), { leaseMilliseconds: 9000 }))
        expect(before).to.deep.equal({ slots: 0, accelerators: 0, measuredAt: subject.clock.now() - 1000 })
        await subject.clock.advance(500)
        expect((await port.watch(watchOf(owner()))).usage).to.deep.include({ slots: 3, accelerators: 2 })
      })

      it('ends at once when the backend server begins to leave', async () => {
        const next = port.watch(watchOf(owner(), { waitMilliseconds: 5000 }))
        await until(() => subject.server.waitingWatches === 1)
        await subject.setFault({ mode: 'leaving' })
        expect((await next).leaving).to.equal(true)
      })
    })

    describe('faults', () => {
      for (const { name, setting, code, starts } of FAULT_CASES) {
        it(`${name}: prepare gives ${code}, and the truth can be asked for afterwards`, async () => {
          await subject.setFault(setting)
          expect(await failureCode(start(swap('a')))).to.equal(code)
          await subject.setFault({ mode: 'none' })
          expect(subject.server.executions).to.have.length(starts)
          expect(states(await port.fence(owner(), [swap('a')]))).to.deep.equal([starts === 1 ? 'running' : 'never-started'])
        })
      }

      it('leaving: what is held may still go, and runs to its end', async () => {
        await hold(swap('a'))
        await subject.setFault({ mode: 'leaving' })
        expect(states(await port.go(owner(), [swap('a')]))).to.deep.equal(['running'])
        await subject.clock.advance(100)
        expect(outcomes()).to.deep.equal(['finished'])
      })

      it('fails everything it starts, and soon', async () => {
        await subject.setFault({ mode: 'fail-everything' })
        await start(swap('a'))
        await subject.clock.advance(10)
        expect(states(await watched())).to.deep.equal(['failed'])
      })

      it('a watch that waits loses its answer when the server goes down', async () => {
        const next = failureCode(port.watch(watchOf(owner(), { waitMilliseconds: 5000 })))
        await until(() => subject.server.waitingWatches === 1)
        await subject.setFault({ mode: 'down' })
        expect(await next).to.equal('unavailable')
      })
    })
  })
}
