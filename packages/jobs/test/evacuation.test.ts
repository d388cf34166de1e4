import { expect } from 'chai'
import { EVACUATION_SEARCHES, type PlannerEvent, type ServerId, type StartCommand } from '../src/index.js'
import { CONFIGURATION, job, step, World, type FakeServer } from './world.js'

const BOTH = ['north', 'south']

/** A world with two backend servers in each of two failure domains. */
const twoDomains = (servers = 4): World => new World(servers, { failureDomains: BOTH, perRack: 1 })
const evacuate = (world: World, ...names: string[]): void => world.planner.evacuate(new Set(names), world.now)
const domainOf = (world: World, id: ServerId): string => world.servers.find(({ entry }) => entry.id === id)!.entry.failureDomain
const startedIn = (world: World, name: string): readonly StartCommand[] => world.starts.filter(({ server }) => domainOf(world, server) === name)
const inDomain = (world: World, name: string): readonly FakeServer[] => world.servers.filter(({ entry }) => entry.failureDomain === name)
const runsIn = (world: World, name: string): number => inDomain(world, name).reduce((sum, { running }) => sum + running.size, 0)
const movedTasks = (world: World): readonly string[] => world.stops.filter(({ reason }) => reason === 'evacuated').map(({ task }) => task)

interface PlayOptions {
  readonly percent?: number
  readonly milliseconds?: number
  readonly before?: number
  readonly servers?: number
  /** Work that runs in the south. */
  readonly elsewhere?: Parameters<typeof step>[0]
  readonly prepare?: (world: World) => void
}

/** Lets everything run for some time, by 3 percent a second. */
function work (world: World, milliseconds: number): void {
  for (const end = world.now + milliseconds; world.now < end;) {
    for (const { running } of world.servers) for (const [task, run] of running) running.set(task, { ...run, percent: Math.min(100, run.percent + 0.06) })
    world.settle(1)
  }
}

describe('the evacuation of a failure domain', () => {
  describe('an order', () => {
    const cases: readonly (readonly [string, (world: World) => void, readonly string[]])[] = [
      ['that is in force', world => evacuate(world, 'north'), ['south']],
      ['that comes twice', world => { evacuate(world, 'north'); evacuate(world, 'north') }, ['south']],
      ['that was withdrawn at once', world => { evacuate(world, 'north'); evacuate(world) }, BOTH],
      ['for another failure domain after the first', world => { evacuate(world, 'north'); evacuate(world, 'south') }, ['north']],
      ['for a failure domain that isn\'t known', world => evacuate(world, 'west'), BOTH],
      ['for all of them', world => evacuate(world, 'north', 'south'), []]
    ]

    for (const [name, order, open] of cases) {
      it(`${name} leaves starts to ${open.length === 0 ? 'none' : open.join(' and ')}`, () => {
        const world = twoDomains()
        world.settle()
        order(world)
        world.planner.submit(job('a', { steps: [step({ count: 32 })] }))
        world.settle()
        for (const domain of BOTH) expect(startedIn(world, domain), domain).to.have.length(open.includes(domain) ? 16 : 0)
      })
    }

    it('that comes while a start waits to be sent drops it', () => {
      const world = twoDomains()
      world.settle()
      world.planner.submit(job('a', { steps: [step({ count: 32 })] }))
      world.now += 10
      const starts = world.planner.decide({ now: world.now, wallTime: world.wallTime }) as StartCommand[]
      evacuate(world, 'north')
      for (const start of starts) expect(world.planner.isStartDue(start), start.server).to.equal(domainOf(world, start.server) === 'south')
    })

    it('keeps a gang whole of which some members are not sent, and starts it elsewhere', () => {
      const world = twoDomains()
      world.settle()
      world.planner.submit(job('a', { steps: [step({ count: 4, isGang: true, mostPerServer: 2 })] }))
      const delayed: (() => void)[] = []
      world.schedule = call => { delayed.push(call) }
      world.round()
      expect(startedIn(world, 'north')).to.have.length(2)
      evacuate(world, 'north')
      world.schedule = call => call()
      for (const call of delayed) call()
      world.settle(8)
      expect(runsIn(world, 'north')).to.equal(0)
      expect(runsIn(world, 'south')).to.equal(4)
    })

    it('holds for a queue with advice', () => {
      const world = twoDomains()
      world.settle()
      evacuate(world, 'north')
      world.planner.submit(job('a', { queue: 'advised' }))
      world.settle()
      const asked = world.adviceRequests.flatMap(({ servers }) => [...servers.keys()])
      expect(asked).to.not.have.length(0)
      expect(asked.map(id => domainOf(world, id))).to.not.include('north')
    })

    it('has a claim free capacity elsewhere, and nowhere else', () => {
      const world = twoDomains(2)
      world.planner.submit(job('lent', { steps: [step({ count: 16 })] }))
      world.settle()
      evacuate(world, 'north')
      world.planner.submit(job('claim', { queue: 'urgent', workspace: 'brno', steps: [step({ count: 2, accelerators: 4, isGang: true })] }))
      for (let time = 0; time < 60; time += 1) world.settle(1)
      expect(world.stops.filter(({ reason }) => reason === 'reclaimed').map(({ server }) => domainOf(world, server))).to.deep.equal(Array(8).fill('south'))
      for (const task of ['claim.0.0.0', 'claim.0.0.1']) expect(world.serverRunning(task)?.entry.failureDomain).to.equal('south')
    })

    it('is followed by an owner that takes over, and not by one that has been told of its end', () => {
      const world = twoDomains()
      world.settle()
      evacuate(world, 'north')
      world.takeOver(2, [])
      evacuate(world, 'north')
      world.planner.submit(job('a', { steps: [step({ count: 4 })] }))
      world.settle()
      expect(startedIn(world, 'north')).to.have.length(0)
      expect(startedIn(world, 'south')).to.have.length(4)
      evacuate(world)
      world.planner.submit(job('b', { steps: [step({ count: 28 })] }))
      world.settle()
      expect(startedIn(world, 'north')).to.have.length(16)
    })

    it('is logged with what is there, and so is its end', () => {
      const world = twoDomains()
      world.planner.submit(job('a', { steps: [step({ count: 32 })] }))
      world.settle()
      world.planner.drainEvents()
      evacuate(world, 'north', 'west')
      world.now += 700
      evacuate(world, 'west')
      const events = world.planner.drainEvents().filter(({ type }) => type.startsWith('domain-')) as Extract<PlannerEvent, { failureDomain: string }>[]
      expect(events).to.deep.equal([
        { type: 'domain-evacuated', failureDomain: 'north', servers: 2, runs: 16, epoch: 1 },
        { type: 'domain-evacuated', failureDomain: 'west', servers: 0, runs: 0, epoch: 1 },
        { type: 'domain-in-service', failureDomain: 'north', servers: 2, runs: 16, epoch: 1, milliseconds: 700 }
      ])
    })
  })

  describe('what runs there', () => {
    const long = { savesCheckpoints: true, estimateMilliseconds: 30_000 }
    /** Runs work in the north alone, which is then evacuated, for so many milliseconds. */
    const play = (overrides: Parameters<typeof step>[0], { percent = 10, milliseconds = 4000, before = 3000, servers = 4, elsewhere, prepare = () => {} }: PlayOptions = {}): World => {
      const world = twoDomains(servers)
      prepare(world)
      world.settle()
      if (elsewhere !== undefined) {
        evacuate(world, 'north')
        world.planner.submit(job('other', { steps: [step(elsewhere)] }))
        world.settle()
      }
      evacuate(world, 'south')
      world.planner.submit(job('a', { steps: [step(overrides)] }))
      world.settle()
      evacuate(world)
      work(world, before)
      for (const { running } of inDomain(world, 'north')) for (const [task, run] of running) running.set(task, { ...run, percent })
      world.settle()
      evacuate(world, 'north')
      work(world, milliseconds)
      return world
    }

    it('is moved if it saves checkpoints and has long to go', () => {
      const world = play({ count: 4, ...long })
      expect([...new Set(movedTasks(world))]).to.have.length(4)
      expect(runsIn(world, 'south')).to.equal(4)
      expect(runsIn(world, 'north')).to.equal(0)
    })

    const staying: readonly (readonly [string, Parameters<typeof step>[0], Parameters<typeof play>[1]])[] = [
      ['ends soon', { count: 2, ...long }, { percent: 80 }],
      ['would lose what it has done', { count: 2 }, { percent: 30 }],
      ['has its data there', { count: 2, ...long, dataRack: 'r1-0' }, {}],
      ['finds no room elsewhere', { count: 2, ...long }, { elsewhere: { count: 16 } }],
      ['would leave too little room elsewhere', { count: 2, ...long }, { elsewhere: { count: 12 } }],
      ['finds room on no backend server by itself', { count: 1, accelerators: 5, ...long }, { servers: 6, elsewhere: { count: 3, accelerators: 4, mostPerServer: 1 } }],
      ['is a gang that finds no room as a whole', { count: 4, accelerators: 4, isGang: true, ...long }, { elsewhere: { count: 4 } }],
      ['runs under an order that was given less than a second ago', { count: 2, ...long }, { milliseconds: 900 }]
    ]
    for (const [name, overrides, options] of staying) {
      it(`stays if it ${name}`, () => {
        const world = play(overrides, options)
        expect(movedTasks(world)).to.have.length(0)
        expect(runsIn(world, 'north')).to.equal(overrides?.count)
      })
    }

    it('is moved as a whole if it is a gang', () => {
      const world = play({ count: 3, accelerators: 4, isGang: true, ...long })
      expect(new Set(movedTasks(world)).size).to.equal(3)
      expect(runsIn(world, 'south')).to.equal(3)
      expect(new Set(world.servers.flatMap(({ running }) => [...running.values()].map(({ run }) => run))).size).to.equal(1)
    })

    it('is moved one task after the other if it lasts, each once the others are at work', () => {
      const world = play({ count: 3, isLasting: true }, { percent: 100, milliseconds: 1500 })
      expect(new Set(movedTasks(world)).size).to.equal(1)
      for (let moved = 2; moved <= 3; moved += 1) {
        work(world, 1200)
        expect(new Set(movedTasks(world)).size).to.equal(moved - 1)
        for (const { running } of world.servers) for (const [task, run] of running) running.set(task, { ...run, percent: 100 })
        work(world, 1200)
        expect(new Set(movedTasks(world)).size).to.equal(moved)
      }
      expect(runsIn(world, 'south')).to.equal(3)
    })

    it('is moved in small numbers, and further only once these run again', () => {
      const world = play({ count: 12, ...long }, { milliseconds: 1250 })
      expect(movedTasks(world)).to.have.length(8)
      work(world, 1200)
      expect(movedTasks(world)).to.have.length(12)
    })

    it('is not followed by more while its stops take long', () => {
      const world = play({ count: 12, ...long }, { prepare: ({ servers }) => { for (const server of servers) server.stopsSlowly = true } })
      expect(new Set(movedTasks(world)).size).to.equal(8)
      for (const server of world.servers) server.finishStops()
      work(world, 1200)
      expect(new Set(movedTasks(world)).size).to.equal(12)
    })

    // Guards against rounds that search the whole pool for each run of a large failure domain.
    it('is searched room for in a bounded number of searches, however much runs there', () => {
      const world = new World(72, { failureDomains: ['south', ...Array<string>(8).fill('north')], perRack: 1 })
      world.settle()
      evacuate(world, 'north')
      world.planner.submit(job('other', { steps: [step({ count: 8, accelerators: 4, mostPerServer: 1 })] }))
      world.settle()
      evacuate(world, 'south')
      world.planner.submit(job('a', { steps: [step({ count: 64, accelerators: 5, ...long })] }))
      world.settle(6)
      expect(runsIn(world, 'north')).to.equal(64)
      evacuate(world)
      work(world, 2000)
      evacuate(world, 'north')
      work(world, 900)
      let most = 0
      for (let time = 0; time < 30; time += 1) {
        const before = world.planner.examinations
        world.round()
        most = Math.max(most, world.planner.examinations - before)
        world.pollServers()
      }
      expect(movedTasks(world)).to.have.length(0)
      expect(most).to.be.within(8 * EVACUATION_SEARCHES, 8 * EVACUATION_SEARCHES + 150)
    })

    it('stays if all failure domains are evacuated, and new work waits', () => {
      const world = twoDomains()
      world.planner.submit(job('a', { steps: [step({ count: 4, ...long })] }))
      world.settle()
      evacuate(world, ...BOTH)
      world.planner.submit(job('b'))
      work(world, 7000)
      expect(world.stops).to.have.length(0)
      expect(world.planner.drainEvents().map(({ type }) => type)).to.not.include('job-idle')
      expect(world.starts).to.have.length(4)
      expect(world.planner.phaseOf(job('b').id)).to.equal('queued')
    })
  })

  it('is none without an order: nothing is moved, and load names none', () => {
    const world = twoDomains()
    world.planner.configure(CONFIGURATION)
    world.planner.submit(job('a', { steps: [step({ count: 4 })] }))
    work(world, 3000)
    expect(world.stops).to.have.length(0)
    expect(world.planner.load).to.include({ domainsEvacuated: 0, runsEvacuated: 0 })
  })
})
