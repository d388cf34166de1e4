import { expect } from 'chai'
import { LEAST_STARTS_UNDER_WAY, MAXIMUM_CALLS_UNDER_WAY, START_LIMIT_INTERVAL_MILLISECONDS } from '../src/limits.js'
import { job, step, World } from './world.js'

const SERVERS = 33
const NEED = { processor: 250, memory: 100, accelerators: 0 }

// Guards against an owner without the time for its calls, which sends ever more of them, since those that expire are made again.
describe('the limit of starts under way', () => {
  let world: World

  /** Runs a round, and answers its starts or lets them expire; returns how many they were. */
  const round = (isAnswered: boolean, unanswered: 'unanswered' | 'expired' = 'unanswered'): number => {
    const starts = world.planner.decide({ now: world.now, wallTime: world.wallTime }).filter(command => command.type === 'start')
    world.now += START_LIMIT_INTERVAL_MILLISECONDS
    for (const { server, task, run } of starts) world.planner.applyStartOutcome(server, task, run, isAnswered ? 'started' : unanswered, world.now)
    return starts.length
  }

  beforeEach(() => {
    world = new World(SERVERS)
    world.settle()
    world.planner.submit(job('a', { steps: [step({ count: 100 * SERVERS, need: NEED })] }))
  })

  it('is halved once for the starts that expire together, and falls to a least number', () => {
    const counts = Array.from({ length: 6 }, () => round(false))
    expect(counts).to.deep.equal([512, 256, 128, 64, 32, LEAST_STARTS_UNDER_WAY])
  })

  it('is halved too for those that found no free connection in time', () => {
    const counts = Array.from({ length: 6 }, () => round(false, 'expired'))
    expect(counts).to.deep.equal([512, 256, 128, 64, 32, LEAST_STARTS_UNDER_WAY])
  })

  it('rises with each start that is answered, up to the maximum', () => {
    for (let count = 0; count < 5; count += 1) round(false)
    expect(round(true)).to.equal(32)
    expect(round(true)).to.equal(64)
    expect(round(true)).to.equal(128)
    for (let count = 0; count < 3; count += 1) round(true)
    expect(round(true)).to.equal(MAXIMUM_CALLS_UNDER_WAY)
  })

  it('isn\'t changed by starts that were never sent', () => {
    const starts = world.planner.decide({ now: world.now, wallTime: world.wallTime }).filter(command => command.type === 'start')
    for (const { server, task, run } of starts) world.planner.applyStartOutcome(server, task, run, 'unsent', world.now)
    expect(round(true)).to.equal(MAXIMUM_CALLS_UNDER_WAY)
  })
})
