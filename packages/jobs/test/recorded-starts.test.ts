import { epoch } from '@cornelgauge/model'
import { expect } from 'chai'
import { decodeProgress, encodeProgress, jobId, Planner, serverId, type EarlierRuns, type JobProgress, type ServerId, type StartCommand, type UnrecordedStarts } from '../src/index.js'
import { CONFIGURATION, FakeServer, job, step, World } from './world.js'

/** Upper limit of the time from the claim of a new owner until no lease of an earlier one is left. */
const LEASES_OVER_MILLISECONDS = 9200
const PAIR = { queue: 'long', steps: [step({ count: 2, accelerators: 8 })] }

describe('the record of starts', () => {
  let world: World
  const progress = (id = 'a'): JobProgress => decodeProgress(encodeProgress(world.planner.progressOf(jobId(id))!))
  const placements = (id = 'a'): unknown => progress(id).steps['0.0']?.placements

  beforeEach(() => {
    world = new World(3)
    world.pollServers()
  })

  describe('in the progress of a job', () => {
    it('lists where a task may run as soon as its start is decided', () => {
      world.planner.submit(job('a'))
      const [start] = world.planner.decide({ now: world.now, wallTime: world.wallTime })
      expect(start).to.include({ type: 'start', job: 'a' })
      const { server: id } = start as StartCommand
      expect(placements()).to.deep.equal({ [id]: { address: world.entries.find(entry => entry.id === id)!.address, tasks: [0] } })
    })

    it('counts a start as recorded once that is stored', () => {
      world.planner.submit(job('a'))
      const start = world.planner.decide({ now: world.now, wallTime: world.wallTime })[0] as StartCommand
      expect(world.planner.isRecorded(start)).to.equal(false)
      world.planner.markStored(world.planner.unstoredJobs)
      expect(world.planner.isRecorded(start)).to.equal(true)
    })

    it('lists a task no more that is done, or whose start was not sent', () => {
      world.planner.submit(job('a'))
      world.planner.submit(job('b'))
      const [a, b] = world.planner.decide({ now: world.now, wallTime: world.wallTime }) as readonly StartCommand[]
      world.planner.applyStartOutcome(a!.server, a!.task, a!.run, 'unsent', world.now)
      expect(placements()).to.equal(undefined)
      world.planner.applyStartOutcome(b!.server, b!.task, b!.run, 'started', world.now)
      const { entry, running } = world.servers.find(server => server.entry.id === b!.server)!
      world.planner.applyReport(entry.id, { incarnation: 1, clock: 200_000, running: [...running.values()], ended: [{ position: 1, task: b!.task, run: b!.run, how: 'done', checkpoint: '' }], hasMoreEnds: false, sentAt: world.now, receivedAt: world.now + 1 }, world.wallTime)
      expect(placements('b')).to.equal(undefined)
    })

    it('lets no start be sent any more whose backend server has restarted', () => {
      world.planner.submit(job('a'))
      const start = world.planner.decide({ now: world.now, wallTime: world.wallTime })[0] as StartCommand
      expect(world.planner.isStartDue(start)).to.equal(true)
      world.now += 100
      world.servers.find(({ entry }) => entry.id === start.server)!.restart()
      world.pollServers()
      expect(world.planner.isStartDue(start)).to.equal(false)
    })

    it('lists a start that was given up, and may still arrive', () => {
      for (const server of world.servers) server.connectivity = 'delays-starts'
      world.planner.submit(job('a'))
      world.settle()
      const holder = world.servers.find(server => server.delayed.length > 0)!
      for (const server of world.servers) server.connectivity = server === holder ? 'answers' : 'silent'
      world.settle(100)
      expect(world.stops.map(({ server }) => server)).to.include(holder.entry.id)
      expect(Object.keys(placements() as object)).to.include(holder.entry.id)
    })

    it('says so if there are more backend servers than it lists', () => {
      const count = 800
      const listed = Array.from({ length: count }, (_, index) => [`server-${index}`, { address: `10.0.0.1:${index}`, tasks: [index] }] as const)
      const wide = job('a', { steps: [step({ count })] })
      const planner = new Planner(epoch(2), [{ job: wide, isCancelled: false, progress: { hasBegun: true, steps: { '0.0': { done: [], failed: {}, placements: Object.fromEntries(listed) } } } }], { now: world.now, wallTime: world.wallTime })
      expect(planner.progressOf(wide.id)).to.deep.include({ hasUnlistedRuns: true, steps: {} })
    })

    describe('of which so many tasks run that it lists none of them', () => {
      const COUNT = 6000
      const need = { processor: 10, memory: 10, accelerators: 0 }
      const nextStart = (): StartCommand => world.round().find(command => command.type === 'start') as StartCommand
      const endOf = (count: number): void => {
        const [server] = world.servers
        for (const task of [...server!.running.keys()].slice(0, count)) server!.end(task, 'done')
        world.pollServers()
      }
      const store = (): void => {
        const written = world.planner.unstoredJobs
        progress()
        world.planner.markStored(written)
      }

      beforeEach(() => {
        world.planner.submit(job('a', { steps: [step({ count: COUNT + 10, need })] }))
        while (world.starts.length < COUNT) {
          world.round()
          world.pollServers()
          store()
        }
      })

      // Guards against a row of a large job that is written for each batch of starts, though it says the same each time.
      it('covers a further start that is decided, without being written again', () => {
        expect(progress().hasUnlistedRuns).to.equal(true)
        for (let time = 0; time < 3; time += 1) world.round()
        store()
        const { run, ...rest } = world.servers[0]!.running.values().next().value!
        world.planner.applyReport(world.servers[0]!.entry.id, { incarnation: 1, clock: 200_000, running: [...world.servers[0]!.running.values()].filter(each => each.task !== rest.task), ended: [{ position: 1, task: rest.task, run, how: 'lapsed', checkpoint: '' }], hasMoreEnds: false, sentAt: world.now, receivedAt: world.now + 1 }, world.wallTime)
        world.servers[0]!.running.delete(rest.task)
        const start = nextStart()
        expect(world.planner.isRecorded(start)).to.equal(true)
        expect(world.planner.unstoredCount).to.equal(0)
      })

      it('lists a start again once fewer run', () => {
        store()
        endOf(1500)
        store()
        expect(progress().hasUnlistedRuns).to.equal(undefined)
        const lapsing = world.servers[1]!
        const [task] = lapsing.running.keys()
        lapsing.end(task!, 'lapsed')
        world.pollServers()
        const start = nextStart()
        expect(world.planner.isRecorded(start)).to.equal(false)
        store()
        expect(world.planner.isRecorded(start)).to.equal(true)
      })

      it('doesn\'t cover a start while a form with placements may be on its way to the store', () => {
        store()
        endOf(1500)
        const written = world.planner.unstoredJobs
        expect(progress().hasUnlistedRuns).to.equal(undefined)
        const lapsing = world.servers[1]!
        const [task] = lapsing.running.keys()
        lapsing.end(task!, 'lapsed')
        world.pollServers()
        expect(world.planner.isRecorded(nextStart())).to.equal(false)
        world.planner.markStored(written)
        expect(world.planner.unstoredCount).to.equal(1)
      })
    })

    it('fits a row with many tasks done, and as many placements as it lists', () => {
      const wide = job('a', { steps: [step({ count: 5000 + 8 * 200 })] })
      const done = Array.from({ length: 5000 }, (_, index) => index)
      const listed = Array.from({ length: 200 }, (_, index) => [`server-${index}`.padEnd(39, 'x'), { address: '10.200.100.100:12345', tasks: Array.from({ length: 8 }, (_, task) => 5000 + 8 * index + task) }] as const)
      const planner = new Planner(epoch(2), [{ job: wide, isCancelled: false, progress: { hasBegun: true, steps: { '0.0': { done, failed: {}, placements: Object.fromEntries(listed) } } } }], { now: world.now, wallTime: world.wallTime })
      const stored = planner.progressOf(wide.id)!
      expect(Object.keys(stored.steps['0.0']!.placements!)).to.have.length(200)
      expect(JSON.stringify({ text: encodeProgress(stored) }).length).to.be.below(60_000)
      expect(decodeProgress(encodeProgress(stored))).to.deep.equal(stored)
    })

    const damaged: readonly (readonly [string, unknown])[] = [
      ['is no object', 'server-0'],
      ['has no placement', { 'server-0': null }],
      ['has no address', { 'server-0': { tasks: [0] } }],
      ['has tasks that are no list', { 'server-0': { address: '10.0.0.0:80', tasks: 0 } }],
      ['has an index below zero', { 'server-0': { address: '10.0.0.0:80', tasks: [-1] } }],
      ['has an index that is no whole number', { 'server-0': { address: '10.0.0.0:80', tasks: [0.5] } }]
    ]
    for (const [title, value] of damaged) {
      it(`is refused if it ${title}`, () => {
        const text = JSON.stringify({ hasBegun: true, steps: { '0.0': { done: [], failed: {}, placements: value } } })
        expect(() => decodeProgress(text)).to.throw('lacks its fields')
      })
    }
  })

  describe('for the next owner', () => {
    let lost: FakeServer
    let ids: ReadonlySet<ServerId>

    /** Lets the next owner take over with what is stored, while a backend server is out of reach. */
    const takeOver = (number: number, areStartsRecorded: boolean, bounds: ReadonlyMap<ServerId, EarlierRuns> = new Map(), edit = (stored: JobProgress): JobProgress => stored, unrecorded?: UnrecordedStarts): void => {
      const stored = ['a', 'b'].map(id => ({ job: job(id, PAIR), isCancelled: false, progress: edit(progress(id)) }))
      world.planner = new Planner(epoch(number), stored, { now: world.now, wallTime: world.wallTime })
      world.planner.inheritServers(ids, bounds, areStartsRecorded, unrecorded)
      world.planner.configure(CONFIGURATION)
      world.listServers(world.entries.filter(({ id }) => id !== lost.entry.id))
    }
    const starts = (): readonly string[] => world.starts.map(({ task }) => task)
    /** Lets the owner work; tasks of job b end at once. */
    const work = (milliseconds: number): void => {
      for (const end = world.now + milliseconds; world.now < end; world.now += 80) {
        world.settle(1)
        world.serverRunning('b.0.0.1')?.end('b.0.0.1', 'done')
      }
      world.settle(1)
    }

    // Job a takes two of the three backend servers, so that one task of job b waits.
    beforeEach(() => {
      for (const id of ['a', 'b']) world.planner.submit(job(id, PAIR))
      world.settle()
      expect(starts()).to.deep.equal(['a.0.0.0', 'a.0.0.1', 'b.0.0.0'])
      lost = world.serverRunning('a.0.0.0')!
      lost.connectivity = 'silent'
      ids = world.planner.serversToRecover(world.now)
    })

    // Guards against waits of tasks that the last owner can't have started on a backend server that was lost under it.
    it('holds only the tasks that are recorded on a backend server that it hasn\'t reached', () => {
      takeOver(2, true)
      world.serverRunning('a.0.0.1')!.end('a.0.0.1', 'done')
      work(500)
      expect(starts().slice(3)).to.deep.equal(['b.0.0.1'])
    })

    it('holds them until the leases there have expired', () => {
      takeOver(2, true)
      for (const task of ['a.0.0.1', 'b.0.0.0']) world.serverRunning(task)!.end(task, 'done')
      work(8900)
      expect(starts().slice(3)).to.deep.equal(['b.0.0.1'])
      work(LEASES_OVER_MILLISECONDS - 8800)
      expect(starts().slice(3)).to.deep.equal(['b.0.0.1', 'a.0.0.0'])
    })

    it('holds all jobs of earlier owners if starts may be missing', () => {
      takeOver(2, false)
      for (const task of ['a.0.0.1', 'b.0.0.0']) world.serverRunning(task)!.end(task, 'done')
      work(8900)
      expect(starts()).to.have.length(3)
    })

    it('holds all tasks of a job that doesn\'t list all of its runs', () => {
      takeOver(2, true, new Map(), stored => ({ ...stored, hasUnlistedRuns: true }))
      for (const task of ['a.0.0.1', 'b.0.0.0']) world.serverRunning(task)!.end(task, 'done')
      work(8900)
      expect(starts()).to.have.length(3)
      expect(progress('b').hasUnlistedRuns).to.equal(true)
      work(LEASES_OVER_MILLISECONDS - 8800)
      expect(starts().slice(3)).to.have.members(['a.0.0.0', 'b.0.0.1'])
      expect(progress('b').hasUnlistedRuns).to.equal(undefined)
    })

    it('ends the wait when an earlier owner\'s bound does', () => {
      takeOver(2, true, new Map([[lost.entry.id, { until: world.now + 2000, lastEpoch: epoch(1) }]]))
      world.serverRunning('a.0.0.1')!.end('a.0.0.1', 'done')
      work(1800)
      expect(starts().slice(3)).to.deep.equal(['b.0.0.1'])
      work(400)
      expect(starts().slice(3)).to.deep.equal(['b.0.0.1', 'a.0.0.0'])
    })

    it('passes on a record of which it knows nothing yet', () => {
      takeOver(2, true)
      work(500)
      expect(placements()).to.deep.include({ [lost.entry.id]: { address: lost.entry.address, tasks: [0] } })
      expect(world.planner.serversToRecover(world.now)).to.include(lost.entry.id)
    })

    // Guards against waits for backend servers that have crashed and left the registry before the claim.
    it('ends the wait once another backend server answers at the address', () => {
      takeOver(2, true)
      world.serverRunning('a.0.0.1')!.end('a.0.0.1', 'done')
      work(1000)
      expect(starts().slice(3)).to.deep.equal(['b.0.0.1'])
      const replacement = new FakeServer({ ...lost.entry, id: serverId('replacement') })
      world.servers.push(replacement)
      world.listServers(world.entries.filter(({ id }) => id !== lost.entry.id))
      work(200)
      expect(starts().slice(3)).to.deep.equal(['b.0.0.1', 'a.0.0.0'])
      expect(world.planner.serversToRecover(world.now)).not.to.include(lost.entry.id)
    })

    it('holds them while another one is registered at the address and doesn\'t answer', () => {
      takeOver(2, true)
      for (const task of ['a.0.0.1', 'b.0.0.0']) world.serverRunning(task)!.end(task, 'done')
      const replacement = new FakeServer({ ...lost.entry, id: serverId('replacement') })
      replacement.connectivity = 'silent'
      world.servers.push(replacement)
      world.listServers(world.entries.filter(({ id }) => id !== lost.entry.id))
      work(8000)
      expect(starts().slice(3)).to.deep.equal(['b.0.0.1'])
    })

    it('is not complete before runs are recorded that were found without it', () => {
      takeOver(2, true, new Map(), ({ steps, ...stored }) => ({ ...stored, steps: {} }))
      expect(world.planner.isRecordComplete(world.now)).to.equal(true)
      world.pollServers()
      expect(world.planner.isRecordComplete(world.now)).to.equal(false)
      world.planner.markStored(world.planner.unstoredJobs)
      expect(world.planner.isRecordComplete(world.now)).to.equal(true)
    })

    it('is not complete while starts of earlier owners may be missing', () => {
      takeOver(2, false)
      work(8900)
      expect(world.planner.isRecordComplete(world.now)).to.equal(false)
      work(LEASES_OVER_MILLISECONDS - 8800)
      expect(world.planner.isRecordComplete(world.now)).to.equal(true)
    })

    // Guards against a start of a task whose end, of a run without a record, only the last owner had heard of.
    it('is not complete before ends of runs are stored that were found without it', () => {
      takeOver(2, false, new Map(), ({ steps, ...stored }) => ({ ...stored, steps: {} }))
      for (const task of ['a.0.0.1', 'b.0.0.0']) world.serverRunning(task)!.end(task, 'done')
      world.isStoreAvailable = false
      work(LEASES_OVER_MILLISECONDS)
      expect(world.planner.isRecordComplete(world.now)).to.equal(false)
      world.planner.markStored(world.planner.unstoredJobs)
      expect(world.planner.isRecordComplete(world.now)).to.equal(true)
    })

    it('is not complete before a start is recorded that was sent without it', () => {
      world.planner.submit(job('c'))
      world.isStoreAvailable = false
      world.servers[2]!.end(world.serverRunning('b.0.0.0') === world.servers[2] ? 'b.0.0.0' : 'a.0.0.1', 'done')
      world.pollServers()
      const start = world.planner.decide({ now: world.now + 10, wallTime: world.wallTime })[0] as StartCommand
      world.planner.noteUnrecordedStart(start)
      expect(world.planner.isRecordComplete(world.now)).to.equal(false)
      world.planner.markStored(world.planner.unstoredJobs)
      expect(world.planner.isRecordComplete(world.now)).to.equal(true)
    })

    // Guards against a task that waits for a backend server that is lost later, though its run there had ended before.
    it('lists a run no longer that its backend server doesn\'t, though the task doesn\'t start again', () => {
      lost.connectivity = 'answers'
      lost.end('a.0.0.0', 'lapsed')
      takeOver(2, true)
      world.listServers()
      world.pollServers()
      world.planner.decide({ now: world.now, wallTime: world.wallTime }, false)
      expect([...world.planner.unstoredJobs.keys()]).to.deep.equal(['a'])
      expect(placements()).to.deep.equal({ [world.serverRunning('a.0.0.1')!.entry.id]: { address: world.serverRunning('a.0.0.1')!.entry.address, tasks: [1] } })
    })

    // Guards against waits of all jobs that begin anew under each owner, since one before has left starts without a record.
    describe('after owners whose starts may be missing', () => {
      const withoutPlacements = ({ steps, ...stored }: JobProgress): JobProgress => ({ ...stored, steps: {} })
      const follow = (unrecorded: Partial<UnrecordedStarts>, edit?: (stored: JobProgress) => JobProgress): void => {
        takeOver(3, false, new Map([[lost.entry.id, { until: Infinity, lastEpoch: epoch(2) }]]), edit, { upTo: epoch(1), until: world.now, settledServers: new Set(), ...unrecorded })
      }
      const endOthers = (): void => { for (const task of ['a.0.0.1', 'b.0.0.0']) world.serverRunning(task)!.end(task, 'done') }
      const leaseOf = (id: ServerId): number | undefined => world.planner.pollRequest(id, world.now)!.leaseUntil

      it('holds their jobs for a backend server that is not settled, whoever has used it last', () => {
        follow({})
        endOthers()
        work(8900)
        expect(starts()).to.have.length(3)
        expect(world.planner.isRecordComplete(world.now)).to.equal(false)
      })

      it('holds only what is recorded on one that is settled', () => {
        follow({ settledServers: new Set([lost.entry.id]) })
        endOthers()
        work(500)
        expect(starts().slice(3)).to.deep.equal(['b.0.0.1'])
        expect(world.planner.isRecordComplete(world.now)).to.equal(true)
      })

      it('holds their jobs for that one too while a late start may have begun there', () => {
        follow({ settledServers: new Set([lost.entry.id]), until: world.now + 3000 })
        endOthers()
        work(2800)
        expect(starts()).to.have.length(3)
        work(400)
        expect(starts().slice(3)).to.deep.equal(['b.0.0.1'])
      })

      it('starts jobs at once that were accepted under later owners', () => {
        follow({})
        world.planner.submit(job('c', { acceptedUnder: epoch(2) }))
        endOthers()
        work(500)
        expect(starts().slice(3)).to.deep.equal(['c.0.0.0'])
      })

      it('passes a backend server on as unreached, and not as settled, until what it has listed is stored', () => {
        follow({ until: world.now + 5000 }, withoutPlacements)
        world.isStoreAvailable = false
        work(200)
        const { id } = world.serverRunning('a.0.0.1')!.entry
        expect([...world.planner.unreachedServers([id]).keys()]).to.deep.equal([id])
        expect([...world.planner.settledServers([id])!.settledServers]).to.deep.equal([])
        world.planner.markStored(world.planner.unstoredJobs)
        expect([...world.planner.unreachedServers([id]).keys()]).to.deep.equal([])
        expect(world.planner.settledServers([id, lost.entry.id])).to.deep.equal({ upTo: 1, settledServers: new Set([id]) })
      })

      it('uses a backend server that is not settled after some time all the same', () => {
        const until = world.now + 5000
        follow({ until }, withoutPlacements)
        world.isStoreAvailable = false
        work(200)
        const { id } = world.serverRunning('a.0.0.1')!.entry
        work(5000)
        expect([...world.planner.unreachedServers([id]).keys()]).to.deep.equal([])
        expect([...world.planner.settledServers([id])!.settledServers]).to.deep.equal([])
      })

      it('uses a backend server whose list is cut, which is not settled', () => {
        const server = world.serverRunning('a.0.0.1')!
        server.mostListedEnds = 0
        follow({ until: world.now + 5000 })
        work(200)
        const { id } = server.entry
        expect([...world.planner.unreachedServers([id]).keys()]).to.deep.equal([])
        expect([...world.planner.settledServers([id])!.settledServers]).to.deep.equal([])
        expect(leaseOf(id)).to.be.greaterThan(0)
      })

      // Guards against a run whose lease is renewed though the next owner takes it for ended.
      for (const [title, isInherited] of [['a settled backend server', true], ['a backend server that this owner has settled itself', false]] as const) {
        it(`renews no lease of a late start that ${title} has begun after a restart, until it is recorded`, () => {
          const server = world.serverRunning('a.0.0.1')!
          const { id } = server.entry
          const until = world.now + 3000
          follow({ until, settledServers: new Set(isInherited ? [id, lost.entry.id] : []) })
          work(500)
          expect(leaseOf(id)).to.be.greaterThan(0)
          expect([...world.planner.settledServers([id])!.settledServers]).to.deep.equal([id])
          server.incarnation += 1
          server.running.clear()
          server.running.set('a.0.0.0', { task: 'a.0.0.0', run: 1_000_099, checkpoint: '', percent: 0 } as never)
          world.isStoreAvailable = false
          world.pollServers()
          expect(leaseOf(id)).to.equal(undefined)
          world.planner.markStored(world.planner.unstoredJobs)
          expect(leaseOf(id)).to.be.greaterThan(0)
        })
      }
    })

    it('has a `job-idle` event that names the backend server for which a task waits', () => {
      takeOver(2, true)
      for (const task of ['a.0.0.1', 'b.0.0.0']) world.serverRunning(task)!.end(task, 'done')
      const events = []
      for (let round = 0; round < 80; round += 1) {
        work(80)
        events.push(...world.planner.drainEvents())
      }
      const idle = events.filter(event => event.type === 'job-idle')
      expect(idle[0]).to.include({ job: 'a', task: 'a.0.0.0', reason: 'recovery', server: serverId(lost.entry.id), servers: 1, epoch: 2 })
    })
  })
})
