import { epoch } from '@cornelgauge/model'
import { expect } from 'chai'
import { decodeProgress, encodeProgress, jobId, type Job, type PlannerEvent, type StoredJob } from '../src/index.js'
import { job, step, World } from './world.js'

/** The first check of an owner has taken place after this time. */
const FIRST_CHECK_MILLISECONDS = 1500

const idleIn = (world: World, milliseconds: number): readonly Extract<PlannerEvent, { type: 'job-idle' }>[] => {
  const events: PlannerEvent[] = []
  for (const end = world.now + milliseconds; world.now < end;) {
    world.now += 480
    world.settle(1)
    events.push(...world.planner.drainEvents())
  }
  return events.filter(event => event.type === 'job-idle')
}

describe('a job that has nothing running in an idle pool', () => {
  it('is logged with the run that it waits for', () => {
    const world = new World(2)
    world.planner.submit(job('a'))
    world.settle()
    const holder = world.serverRunning('a.0.0.0')!
    holder.stopsSlowly = true
    world.planner.cancel(jobId('b'), world.wallTime)
    world.listServers(world.entries.map(entry => entry.id === holder.entry.id ? { ...entry, isDraining: true, remainingMilliseconds: 0 } : entry))
    const idle = idleIn(world, 7000)
    expect(idle.length).to.be.within(1, 2)
    expect(idle[0]).to.include({ job: 'a', task: 'a.0.0.0', reason: 'run', server: holder.entry.id })
  })

  it('is logged with its queue if the terms are unknown', () => {
    const world = new World(2)
    world.planner.submit(job('a', { queue: 'unknown' }))
    expect(idleIn(world, 6000)[0]).to.include({ job: 'a', reason: 'queue' })
  })

  it('is logged if no backend server can hold its task', () => {
    const world = new World(2)
    world.planner.submit(job('a', { steps: [step({ accelerators: 9 })] }))
    expect(idleIn(world, 6000)[0]).to.include({ job: 'a', reason: 'capacity' })
  })

  it('isn\'t logged while it runs, or while the pool is busy', () => {
    const world = new World(2)
    world.planner.submit(job('a', { steps: [step({ accelerators: 8 })] }))
    expect(idleIn(world, 3000)).to.deep.equal([])
    for (const id of ['b', 'c']) world.planner.submit(job(id, { steps: [step({ accelerators: 8 })] }))
    expect(idleIn(world, 3500).filter(event => event.job !== 'a')).to.deep.equal([])
  })
})

// Guards against waits that are never logged since each owner is replaced before the limit.
describe('a job that has nothing running under owners that follow each other', () => {
  const waiting = job('waiting', { steps: [step({ accelerators: 9 })] })
  /** Its second step waits. */
  const begun = job('begun', { steps: [step(), step({ accelerators: 9, after: [0] })] })
  let world: World

  const stored = (each: Job, text = encodeProgress(world.planner.progressOf(each.id)!)): StoredJob => ({ job: each, isCancelled: false, progress: decodeProgress(text) })

  /** Lets an owner schedule for a while; returns the last lines that it logs. */
  const live = (number: number, jobs: readonly StoredJob[], milliseconds = FIRST_CHECK_MILLISECONDS): ReturnType<typeof idleIn> => {
    world.takeOver(number, jobs)
    return idleIn(world, milliseconds)
  }

  beforeEach(() => {
    world = new World(2)
    world.now += 10_000
  })

  it('is logged within the first check of each owner, with the wait under all of them', () => {
    const lines = [2, 3, 4].flatMap(number => live(number, [{ job: waiting, isCancelled: false }]))
    expect(lines.map(({ job, epoch }) => ({ job, epoch }))).to.deep.equal([2, 3, 4].map(number => ({ job: 'waiting', epoch: epoch(number) })))
    expect(lines.map(({ milliseconds, age }) => age - milliseconds)).to.deep.equal([0, 0, 0])
  })

  describe('once it has begun', () => {
    let endedAt: number

    beforeEach(() => {
      world.planner.submit(begun)
      world.settle()
      expect(world.planner.progressOf(begun.id)).not.to.have.property('idleSince')
      world.now += 60_000
      world.serverRunning('begun.0.0.0')!.end('begun.0.0.0', 'done')
      world.settle()
      endedAt = world.wallTime
    })

    it('is logged with the wait since its last run', () => {
      const progress = stored(begun)
      world.now += 5000
      const lines = [2, 3].flatMap(number => live(number, [progress]))
      expect(lines).to.have.length(2)
      for (const { age, milliseconds } of lines) expect(begun.acceptedAt + age - milliseconds).to.be.within(endedAt - 100, endedAt)
    })

    it('passes the wait on if an owner writes its progress again', () => {
      const { idleSince } = stored(begun).progress!
      live(2, [stored(begun)])
      expect(stored(begun).progress!.idleSince).to.equal(idleSince)
    })

    for (const [name, odd] of Object.entries({ text: '"1"', negative: '-1', fractional: '0.5', nested: '{}', missing: 'null' })) {
      it(`counts from what the owner sees if the stored time is odd: ${name}`, () => {
        const text = encodeProgress(world.planner.progressOf(begun.id)!).replace(/"idleSince":\d+/, `"idleSince":${odd}`)
        expect(text).to.include(`"idleSince":${odd}`)
        const lines = live(2, [stored(begun, text)], 7000)
        expect(lines[0]!.milliseconds).to.be.within(4000, 6500)
      })
    }

    it('counts from what the owner sees if an earlier release has stored no time', () => {
      const text = encodeProgress(world.planner.progressOf(begun.id)!).replace(/"idleSince":\d+,?/, '')
      const lines = live(2, [stored(begun, text)], 7000)
      expect(lines[0]!.milliseconds).to.be.within(4000, 6500)
    })
  })

  describe('if the time of day is set back', () => {
    it('counts from what the next owner sees, if that is before the stored time', () => {
      const progress = stored(waiting, `{"hasBegun":true,"idleSince":${world.wallTime},"steps":{}}`)
      world.wallClockOffset = -5000
      const claimedAt = world.wallTime
      const lines = live(2, [progress], 7000)
      expect(lines).not.to.have.length(0)
      for (const { milliseconds } of lines) expect(milliseconds).to.be.within(4000, 6500)
      expect(world.planner.progressOf(waiting.id)!.idleSince).to.be.within(claimedAt, claimedAt + FIRST_CHECK_MILLISECONDS)
    })

    it('keeps the wait under one owner', () => {
      live(2, [{ job: waiting, isCancelled: false }])
      const idleSince = world.planner.progressOf(waiting.id)!.idleSince!
      world.wallClockOffset = -3_600_000
      const [line] = idleIn(world, 2500)
      expect(line!.milliseconds).to.be.within(11_000, 15_000)
      expect(world.planner.progressOf(waiting.id)!.idleSince).to.equal(idleSince - 3_600_000)
    })
  })

  it('doesn\'t count the time before it is due', () => {
    const due = job('due', { steps: [step({ accelerators: 9 })], schedule: { occurrences: 1, startAt: world.wallTime + 3000, intervalMilliseconds: 1000 } })
    expect(live(2, [{ job: due, isCancelled: false }], 5000)).to.deep.equal([])
    const [line] = live(3, [{ job: due, isCancelled: false }], 5000)
    expect(due.acceptedAt + line!.age - line!.milliseconds).to.equal(due.schedule!.startAt)
  })

  it('isn\'t logged if a backend server lists a run of it', () => {
    const running = job('running')
    world.planner.submit(running)
    world.settle()
    world.now += 20_000
    expect(live(2, [{ job: running, isCancelled: false }])).to.deep.equal([])
  })

  it('is among the 20 that are logged if it has waited longest', () => {
    const jobs = Array.from({ length: 30 }, (_, index) => ({ job: { ...waiting, id: jobId(`job-${index}`), acceptedAt: waiting.acceptedAt - 100 * index }, isCancelled: false }))
    const lines = live(2, jobs)
    expect(lines.map(({ job }) => job)).to.deep.equal(Array.from({ length: 20 }, (_, index) => `job-${29 - index}`))
  })
})
