/** The contract of a backend server. */
import { expect } from 'chai'
import { cellName, epoch, kindName, type RequestId } from '@cornelgauge/model'
import type {
  BackendServer, ExecutionId, ExecutionReport, ExecutionState, FaultSetting, Json, MemoryBackendServer, OwnerClaim, Preparation, WatchRequest
} from '../../src/index.js'
import { failureCode, until, type Subject } from './subject.js'

/** A backend server with 8 slots and 8 accelerators, and the in-memory server behind it, whose record the tests compare with. */
export interface BackendServerSubject extends Subject<BackendServer> {
  readonly server: MemoryBackendServer
}

const owner = (epochNumber = 1, cell = 'praha'): OwnerClaim => ({ cell: cellName(cell), epoch: epoch(epochNumber) })
const swapId = (name: string, attempt = 1): ExecutionId => ({ request: `brno/${name}` as RequestId, attempt })

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

const watchRequest = (claim: OwnerClaim, rest: Partial<WatchRequest> = {}): WatchRequest =>
  ({ ...claim, after: 0, waitMilliseconds: 0, leaseMilliseconds: 1000, acknowledged: [], ...rest })

const statesOf = (reports: readonly ExecutionReport[]): readonly ExecutionState[] => reports.map(({ state }) => state)

type Call = (server: BackendServer, claim: OwnerClaim) => Promise<unknown>

const OWNER_CALLS: readonly { name: string, call: Call }[] = [
  { name: 'prepare', call: (server, claim) => server.prepare(claim, [preparation(swapId('new'), { start: true })]) },
  { name: 'go', call: (server, claim) => server.go(claim, [swapId('held')]) },
  { name: 'fence', call: (server, claim) => server.fence(claim, [swapId('held')]) },
  { name: 'stop', call: (server, claim) => server.stop(claim, [swapId('held')]) },
  { name: 'checkpoint', call: (server, claim) => server.checkpoint(claim, [swapId('held')]) },
  { name: 'throttle', call: (server, claim) => server.throttle(claim, [swapId('held')], 0.5) },
  { name: 'watch', call: (server, claim) => server.watch(watchRequest(claim)) }
]

const ECHOES: readonly Json[] = [null, 0, 'ž"\n', [1, [2]], { a: { b: false } }]

const CAPACITY_CASES: readonly { name: string, reserved: Partial<Preparation>, requested: Partial<Preparation>, code: string }[] = [
  { name: 'the last slots', reserved: { slots: 5 }, requested: { slots: 3 }, code: 'none' },
  { name: 'one slot too many', reserved: { slots: 6 }, requested: { slots: 3 }, code: 'capacity-taken' },
  { name: 'one accelerator too many', reserved: { accelerators: 8 }, requested: { accelerators: 1 }, code: 'capacity-taken' },
  { name: 'more slots than the server has', reserved: {}, requested: { slots: 9 }, code: 'capacity-taken' }
]

const FAULT_CASES: readonly { name: string, setting: FaultSetting, code: string, starts: number }[] = [
  { name: 'down', setting: { mode: 'down' }, code: 'unavailable', starts: 0 },
  { name: 'response lost after the effect', setting: { mode: 'lose-answers' }, code: 'unavailable', starts: 1 },
  { name: 'leaving', setting: { mode: 'leaving' }, code: 'server-leaving', starts: 0 }
]

/** Defines the tests that every backend server must pass. */
export function describeBackendServer (title: string, open: () => Promise<BackendServerSubject>): void {
  describe(title, () => {
    let subject: BackendServerSubject
    let port: BackendServer

    const start = (id: ExecutionId, rest: Partial<Preparation> = {}, claim = owner()): Promise<readonly ExecutionReport[]> =>
      port.prepare(claim, [preparation(id, { start: true, ...rest })])
    const reserve = (id: ExecutionId, rest: Partial<Preparation> = {}): Promise<readonly ExecutionReport[]> =>
      port.prepare(owner(), [preparation(id, rest)])
    const watchReports = async (rest: Partial<WatchRequest> = {}, claim = owner()): Promise<readonly ExecutionReport[]> =>
      (await port.watch(watchRequest(claim, rest))).reports
    const outcomes = (): readonly unknown[] => subject.server.executions.map(({ outcome }) => outcome)

    beforeEach(async () => {
      subject = await open()
      port = subject.port
    })
    afterEach(() => subject.close())

    describe('prepare and go', () => {
      it('reserve capacity, start nothing before go, and then run the task for its duration', async () => {
        expect(statesOf(await reserve(swapId('a')))).to.deep.equal(['prepared'])
        await subject.clock.advance(200)
        expect(subject.server.executions).to.deep.equal([])
        expect(statesOf(await port.go(owner(), [swapId('a')]))).to.deep.equal(['running'])
        await subject.clock.advance(99)
        expect(statesOf(await watchReports())).to.deep.equal(['running'])
        await subject.clock.advance(1)
        expect(statesOf(await watchReports())).to.deep.equal(['finished'])
      })

      it('start a task once, however often they are repeated', async () => {
        await start(swapId('a'))
        expect(statesOf(await start(swapId('a')))).to.deep.equal(['running'])
        expect(statesOf(await port.go(owner(), [swapId('a')]))).to.deep.equal(['running'])
        await subject.clock.advance(100)
        expect(statesOf(await start(swapId('a')))).to.deep.equal(['finished'])
        expect(outcomes()).to.deep.equal(['finished'])
      })

      it('start a task once, even if the owner has acknowledged its end and prepares it again', async () => {
        await start(swapId('a'))
        await subject.clock.advance(100)
        expect(await watchReports({ acknowledged: [swapId('a')] })).to.deep.equal([])
        expect(statesOf(await start(swapId('a')))).to.deep.equal(['finished'])
        expect(outcomes()).to.deep.equal(['finished'])
      })

      it('log each start with its workspace, key, attempt, epoch and gang', async () => {
        const startedAt = subject.clock.now()
        await start(swapId('a', 2), { gangSize: 2, gangIndex: 1 }, owner(7))
        await subject.clock.advance(100)
        expect(subject.server.executions).to.deep.equal([{
          requestKey: 'a', workspace: 'brno', attempt: 2, epoch: 7, gang: { size: 2, index: 1 }, startedAt, endedAt: startedAt + 100, outcome: 'finished'
        }])
      })

      for (const { name, reserved, requested, code } of CAPACITY_CASES) {
        it(`${code === 'none' ? 'reserve' : 'refuse'} ${name}`, async () => {
          await reserve(swapId('held'), reserved)
          expect(await failureCode(reserve(swapId('wanted'), requested))).to.equal(code)
        })
      }

      it('reserve nothing for a batch that does not fit completely', async () => {
        const batch = [preparation(swapId('a'), { slots: 4 }), preparation(swapId('b'), { slots: 5 })]
        expect(await failureCode(port.prepare(owner(), batch))).to.equal('capacity-taken')
        expect(subject.server.usage.slots).to.equal(0)
      })
    })

    describe('answers', () => {
      for (const echo of ECHOES) {
        it(`echo ${JSON.stringify(echo)} unchanged`, async () => {
          await start(swapId('a'), { payload: { durationMilliseconds: 0, echo } })
          await subject.clock.advance(0)
          expect(JSON.parse((await watchReports())[0]!.answer!).echo).to.deep.equal(echo)
        })
      }

      it('are padded to the size that the payload specifies', async () => {
        await start(swapId('a'), { payload: { durationMilliseconds: 0, answerBytes: 5000 } })
        await subject.clock.advance(0)
        expect((await watchReports())[0]!.answer).to.have.length(5000)
      })

      it('are missing if the task fails', async () => {
        await start(swapId('a'), { payload: { durationMilliseconds: 0, fail: true } })
        await subject.clock.advance(0)
        expect((await watchReports())[0]).to.include({ state: 'failed' }).and.not.have.property('answer')
      })
    })

    describe('fencing', () => {
      beforeEach(() => reserve(swapId('held')))

      for (const { name, call } of OWNER_CALLS) {
        it(`refuses ${name} of an earlier owner without effect`, async () => {
          await watchReports({}, owner(2))
          expect(await failureCode(call(port, owner(1)))).to.equal('stale-epoch')
          expect(subject.server.executions).to.deep.equal([])
          expect(statesOf(await watchReports({}, owner(2)))).to.deep.equal(['prepared'])
        })
      }

      it('tracks the epoch of each cell separately', async () => {
        await watchReports({}, owner(9, 'plzen'))
        expect(await failureCode(port.go(owner(1), [swapId('held')]))).to.equal('none')
      })

      it('reports every execution of the cell to a new owner, and fails the watch of the earlier one', async () => {
        const older = failureCode(port.watch(watchRequest(owner(1), { after: 1, waitMilliseconds: 500 })))
        await until(() => subject.server.waitingWatches === 1)
        expect(statesOf(await watchReports({}, owner(2)))).to.deep.equal(['prepared'])
        expect(await older).to.equal('stale-epoch')
      })

      for (const name of ['held', 'unknown']) {
        it(`never starts a fenced attempt that was ${name}`, async () => {
          expect(statesOf(await port.fence(owner(), [swapId(name)]))).to.deep.equal(['never-started'])
          expect(statesOf(await port.go(owner(), [swapId(name)]))).to.deep.equal(['never-started'])
          expect(statesOf(await start(swapId(name)))).to.deep.equal(['never-started'])
          expect(subject.server.executions).to.deep.equal([])
        })
      }

      it('never starts an attempt if its go arrives before its prepare', async () => {
        expect(statesOf(await port.go(owner(), [swapId('late')]))).to.deep.equal(['never-started'])
        expect(statesOf(await start(swapId('late')))).to.deep.equal(['never-started'])
      })

      it('releases the capacity of a fenced attempt', async () => {
        await port.fence(owner(), [swapId('held')])
        expect(await failureCode(reserve(swapId('all'), { slots: 8 }))).to.equal('none')
      })

      it('does not affect a running attempt, nor a later attempt of a fenced request', async () => {
        await port.go(owner(), [swapId('held')])
        expect(statesOf(await port.fence(owner(), [swapId('held'), swapId('other')]))).to.deep.equal(['running', 'never-started'])
        expect(statesOf(await start(swapId('other', 2)))).to.deep.equal(['running'])
      })
    })

    describe('leases', () => {
      it('release the capacity of a prepared attempt on expiry, which then never starts', async () => {
        await reserve(swapId('a'), { slots: 8 })
        await watchReports({ leaseMilliseconds: 300 })
        await subject.clock.advance(300)
        expect(subject.server.usage.slots).to.equal(0)
        expect(statesOf(await port.go(owner(), [swapId('a')]))).to.deep.equal(['never-started'])
        expect(subject.server.executions).to.deep.equal([])
      })

      it('end a running task on expiry', async () => {
        await start(swapId('a'), { payload: { durationMilliseconds: 1000 } })
        await watchReports({ leaseMilliseconds: 300 })
        await subject.clock.advance(300)
        expect(statesOf(await watchReports())).to.deep.equal(['lapsed'])
        expect(outcomes()).to.deep.equal(['lapsed'])
      })

      it('are renewed by each watch of the cell, including that of a newer owner', async () => {
        await start(swapId('a'), { payload: { durationMilliseconds: 1000 } })
        for (const claim of [owner(1), owner(1), owner(2), owner(2)]) {
          await watchReports({ leaseMilliseconds: 300 }, claim)
          await subject.clock.advance(299)
        }
        expect(outcomes()).to.deep.equal(['finished'])
      })

      it('are not renewed by the watch of another cell or of an earlier owner', async () => {
        await start(swapId('a'), { payload: { durationMilliseconds: 1000 } }, owner(2))
        await watchReports({ leaseMilliseconds: 300 }, owner(2))
        await subject.clock.advance(200)
        await watchReports({ leaseMilliseconds: 300 }, owner(2, 'plzen'))
        await failureCode(watchReports({ leaseMilliseconds: 300 }, owner(1)))
        await subject.clock.advance(100)
        expect(outcomes()).to.deep.equal(['lapsed'])
      })
    })

    describe('stop, checkpoint and throttle', () => {
      const long = { payload: { durationMilliseconds: 1000 } }

      beforeEach(async () => {
        await start(swapId('a'), long)
        await subject.clock.advance(400)
      })

      it('stop a running task permanently, and fence a prepared one', async () => {
        await reserve(swapId('b'))
        expect(statesOf(await port.stop(owner(), [swapId('a'), swapId('b')]))).to.deep.equal(['stopped', 'never-started'])
        await subject.clock.advance(1000)
        expect(outcomes()).to.deep.equal(['stopped'])
        expect(subject.server.usage.slots).to.equal(0)
      })

      it('resume from a checkpoint in another attempt', async () => {
        const [{ checkpoint } = { checkpoint: undefined }] = await port.checkpoint(owner(), [swapId('a')])
        await port.stop(owner(), [swapId('a')])
        await start(swapId('a', 2), { ...long, checkpoint })
        await subject.clock.advance(599)
        expect(outcomes()).to.deep.equal(['stopped', null])
        await subject.clock.advance(1)
        expect(outcomes()).to.deep.equal(['stopped', 'finished'])
      })

      it('reduce the speed of a task to its share, and restore full speed', async () => {
        await port.throttle(owner(), [swapId('a')], 0.5)
        await subject.clock.advance(400)
        await port.throttle(owner(), [swapId('a')], 1)
        await subject.clock.advance(399)
        expect(outcomes()).to.deep.equal([null])
        await subject.clock.advance(1)
        expect(outcomes()).to.deep.equal(['finished'])
      })

      it('pause a task at share 0', async () => {
        await watchReports({ leaseMilliseconds: 10_000 })
        await port.throttle(owner(), [swapId('a')], 0)
        await subject.clock.advance(5000)
        expect(outcomes()).to.deep.equal([null])
      })
    })

    describe('watch', () => {
      it('responds immediately if there are changes, and only with those after the cursor', async () => {
        await start(swapId('a'))
        const first = await port.watch(watchRequest(owner(), { waitMilliseconds: 500 }))
        expect(statesOf(first.reports)).to.deep.equal(['running'])
        await reserve(swapId('b'))
        const second = await port.watch(watchRequest(owner(), { after: first.cursor, waitMilliseconds: 500 }))
        expect(second.reports.map(({ request }) => request)).to.deep.equal(['brno/b'])
      })

      it('waits for a change', async () => {
        await start(swapId('a'))
        const { cursor } = await port.watch(watchRequest(owner()))
        const next = port.watch(watchRequest(owner(), { after: cursor, waitMilliseconds: 500 }))
        await until(() => subject.server.waitingWatches === 1)
        await subject.clock.advance(100)
        expect(statesOf((await next).reports)).to.deep.equal(['finished'])
      })

      it('responds without reports when its wait time is over', async () => {
        const next = port.watch(watchRequest(owner(), { waitMilliseconds: 500 }))
        await until(() => subject.server.waitingWatches === 1)
        await subject.clock.advance(500)
        expect((await next).reports).to.deep.equal([])
      })

      it('reports an ended execution until it is acknowledged', async () => {
        await start(swapId('a'))
        await subject.clock.advance(100)
        expect(statesOf(await watchReports())).to.deep.equal(['finished'])
        expect(statesOf(await watchReports())).to.deep.equal(['finished'])
        expect(await watchReports({ acknowledged: [swapId('a')] })).to.deep.equal([])
        expect(await watchReports()).to.deep.equal([])
      })

      it('keeps a running execution that is acknowledged', async () => {
        await start(swapId('a'))
        expect(statesOf(await watchReports({ acknowledged: [swapId('a')] }))).to.deep.equal(['running'])
      })

      it('does not report the executions of other cells', async () => {
        await start(swapId('a'))
        expect(await watchReports({}, owner(1, 'plzen'))).to.deep.equal([])
      })

      it('reports usage with a lag', async () => {
        await start(swapId('a'), { slots: 3, accelerators: 2, payload: { durationMilliseconds: 5000 } })
        await subject.clock.advance(500)
        const { usage: before } = await port.watch(watchRequest(owner(), { leaseMilliseconds: 9000 }))
        expect(before).to.deep.equal({ slots: 0, accelerators: 0, measuredAt: subject.clock.now() - 1000 })
        await subject.clock.advance(500)
        expect((await port.watch(watchRequest(owner()))).usage).to.deep.include({ slots: 3, accelerators: 2 })
      })

      it('responds immediately when the backend server starts leaving', async () => {
        const next = port.watch(watchRequest(owner(), { waitMilliseconds: 5000 }))
        await until(() => subject.server.waitingWatches === 1)
        await subject.setFault({ mode: 'leaving' })
        expect((await next).leaving).to.equal(true)
      })
    })

    describe('faults', () => {
      for (const { name, setting, code, starts } of FAULT_CASES) {
        it(`${name}: prepare fails with ${code}, and a later fence reports whether it took effect`, async () => {
          await subject.setFault(setting)
          expect(await failureCode(start(swapId('a')))).to.equal(code)
          await subject.setFault({ mode: 'none' })
          expect(subject.server.executions).to.have.length(starts)
          expect(statesOf(await port.fence(owner(), [swapId('a')]))).to.deep.equal([starts === 1 ? 'running' : 'never-started'])
        })
      }

      it('leaving: a prepared task can still be started, and runs to its end', async () => {
        await reserve(swapId('a'))
        await subject.setFault({ mode: 'leaving' })
        expect(statesOf(await port.go(owner(), [swapId('a')]))).to.deep.equal(['running'])
        await subject.clock.advance(100)
        expect(outcomes()).to.deep.equal(['finished'])
      })

      it('fail-everything: each started task fails soon', async () => {
        await subject.setFault({ mode: 'fail-everything' })
        await start(swapId('a'))
        await subject.clock.advance(10)
        expect(statesOf(await watchReports())).to.deep.equal(['failed'])
      })

      it('down: a pending watch loses its response', async () => {
        const next = failureCode(port.watch(watchRequest(owner(), { waitMilliseconds: 5000 })))
        await until(() => subject.server.waitingWatches === 1)
        await subject.setFault({ mode: 'down' })
        expect(await next).to.equal('unavailable')
      })
    })
  })
}
