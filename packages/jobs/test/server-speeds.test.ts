import { expect } from 'chai'
import type { Job } from '../src/index.js'
import { UNEVEN_CONFIGURATION, UnevenPlay } from './uneven-play.js'
import { job, step, World } from './world.js'

const SERVERS = 24
/** Half of the difference between two classes of speed, on a logarithmic scale. */
const HALF_CLASS = Math.log(1.5) / 2

/** Jobs of 30 tasks, whose estimates are off by up to a half. */
function jobsOf (meanMilliseconds: number): readonly Job[] {
  return Array.from({ length: 40 }, (_, number) => job(`a${number}`, { steps: [step({ count: 30, accelerators: 2, estimateMilliseconds: meanMilliseconds * (0.5 + (number * 7 % 11) / 10) })] }))
}

/** A pool with more work than it holds. */
function playOf (slowness: readonly number[], { meanMilliseconds = 3000 } = {}): UnevenPlay {
  const world = new World(SERVERS)
  const play = new UnevenPlay(world, slowness, { meanMilliseconds, seed: 7 })
  for (const each of jobsOf(meanMilliseconds)) world.planner.submit(each)
  return play
}

describe('the believed speeds of backend servers', () => {
  describe('in a pool of three speeds', () => {
    for (const [milliseconds, bound] of [[10_000, HALF_CLASS], [30_000, HALF_CLASS]] as const) {
      it(`are off by less than half a class after ${milliseconds / 1000} s`, () => {
        const play = playOf([0.6, 1, 1.6])
        play.play(milliseconds)
        expect(play.error).to.be.below(bound)
      })
    }

    it('are learnt anew by a new owner from the progress of running tasks', () => {
      const play = playOf([0.6, 1, 1.6], { meanMilliseconds: 15_000 })
      play.play(3000)
      const { world } = play
      world.takeOver(2, jobsOf(15_000).map(each => ({ job: each, isCancelled: false, progress: world.planner.progressOf(each.id)! })))
      world.planner.configure(UNEVEN_CONFIGURATION)
      expect(play.believed(2)).to.equal(1)
      play.play(5000)
      expect(play.error).to.be.below(HALF_CLASS)
    })
  })

  it('are handed to the next owner, for the same incarnations', () => {
    const play = playOf([0.6, 1, 1.6])
    play.play(20_000)
    const { world } = play
    const stored = world.planner.speedsToStore()
    world.servers[2]!.restart()
    world.takeOver(2, [])
    world.planner.configure(UNEVEN_CONFIGURATION)
    world.planner.inheritSpeeds(stored)
    world.settle()
    expect(play.believed(5)).to.be.above(1.35)
    expect(play.believed(2)).to.be.within(0.8, 1.25)
  })

  describe('of one that turns slow', () => {
    const SLOW = 3

    it('follow it within three polls, and back', () => {
      const play = playOf([1], { meanMilliseconds: 8000 })
      play.play(6000)
      expect(play.believed(SLOW)).to.be.within(0.8, 1.25)
      play.slowness.set(play.world.servers[SLOW]!, 5)
      play.play(3000)
      expect(play.believed(SLOW)).to.be.above(1.35)
      play.slowness.set(play.world.servers[SLOW]!, 1)
      play.play(3000)
      expect(play.believed(SLOW)).to.be.below(1.35)
    })

    it('forget it once it has run nothing for a while', () => {
      const play = playOf([1], { meanMilliseconds: 8000 })
      play.play(3000)
      play.slowness.set(play.world.servers[SLOW]!, 5)
      play.play(3000)
      for (const { id } of jobsOf(8000)) play.world.planner.cancel(id, play.world.wallTime)
      play.play(30_000)
      expect(play.believed(SLOW)).to.be.below(1.35)
    })

    it('forget it when it restarts', () => {
      const play = playOf([1], { meanMilliseconds: 8000 })
      play.play(3000)
      play.slowness.set(play.world.servers[SLOW]!, 5)
      play.play(3000)
      play.world.servers[SLOW]!.restart()
      play.slowness.set(play.world.servers[SLOW]!, 1)
      play.play(1000)
      expect(play.believed(SLOW)).to.be.within(0.8, 1.25)
    })
  })

  // Guards against the long tail of the tasks' times being taken for slow backend servers.
  it('stay the same where single tasks take seven times as long', () => {
    const play = playOf([1])
    play.workMilliseconds.set('a0.0.0.0', 21_000)
    play.workMilliseconds.set('a0.0.0.9', 21_000)
    play.play(10_000)
    for (let index = 0; index < SERVERS; index += 1) expect(play.believed(index)).to.be.below(1.35)
  })
})
