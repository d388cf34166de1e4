import { epoch } from '@cornelgauge/model'
import { expect } from 'chai'
import * as fc from 'fast-check'
import { decodeProgress, encodeProgress, MAXIMUM_TASKS_PER_JOB, occurrencesOf, Planner, serverId, type Job, type JobProgress } from '../src/index.js'
import { JobState } from '../src/job-state.js'
import { decodeBits, encodeBits } from '../src/task-bits.js'
import type { TaskState } from '../src/task-state.js'
import { job, step } from './world.js'

/** What a row of the users' store holds, in bytes. */
const ROW_BYTES = 65_536

const stateOf = (work: Job, progress?: JobProgress): JobState => new JobState(work, true, progress)
const tasksOf = (state: JobState): readonly TaskState[] =>
  Array.from({ length: occurrencesOf(state.job) }, (_, occurrence) => state.job.steps.flatMap(({ count }, number) => Array.from({ length: count }, (_, index) => state.task(occurrence, number, index)!))).flat()
const rowBytesOf = (progress: JobProgress): number => Buffer.byteLength(JSON.stringify({ text: encodeProgress(progress) }))
const doneOf = (state: JobState): readonly string[] => tasksOf(state).filter(task => task.isDone).map(task => task.name)

/** A job of which each task but every seventh is done, and one has failed. */
const partlyDone = (work: Job): JobState => {
  const state = stateOf(work)
  const tasks = tasksOf(state)
  tasks.forEach((task, index) => { if (index % 7 !== 0) task.step.complete(task) })
  tasks[0]!.step.addFailure(tasks[0]!, 1_000_001)
  return state
}

// Guards against progress that no longer fits a row, after which nothing of any job is stored.
describe('progress of a large job', () => {
  for (const [name, work] of [
    ['a hundred thousand tasks', job('a', { steps: [step({ count: 100_000 })] })],
    ['fifty thousand occurrences of two steps', job('a', { steps: [step(), step({ after: [0] })], schedule: { occurrences: 50_000, startAt: 0, intervalMilliseconds: 1 } })],
    ['four thousand occurrences of three tasks', job('a', { steps: [step({ count: 3 })], schedule: { occurrences: 4000, startAt: 0, intervalMilliseconds: 1 } })]
  ] as const) {
    it(`of ${name} fits a row, and is restored`, () => {
      const state = partlyDone(work)
      const text = encodeProgress(state.progress)
      expect(Buffer.byteLength(text)).to.be.below(ROW_BYTES / 2)
      const restored = stateOf(work, decodeProgress(text))
      expect(doneOf(restored)).to.deep.equal(doneOf(state))
      expect(restored.task(0, 0, 0)!.failedRuns.has(1_000_001)).to.equal(true)
    })
  }

  it('can\'t be read by releases that would take none of its tasks for done', () => {
    const text = encodeProgress(partlyDone(job('a', { steps: [step({ count: 100_000 })] })).progress)
    expect(JSON.parse(text)).not.to.have.property('steps')
  })

  it('of a small one stays a list, as earlier releases read it', () => {
    const { steps, doneBits } = partlyDone(job('a', { steps: [step({ count: 15 })] })).progress
    expect(doneBits).to.equal(undefined)
    expect(steps['0.0']!.done).to.deep.equal([1, 2, 3, 4, 5, 6, 8, 9, 10, 11, 12, 13])
  })

  it('with more bits than tasks, or without the rest, is read as far as possible or refused', () => {
    const work = job('a', { steps: [step({ count: 3 })] })
    expect(doneOf(stateOf(work, decodeProgress(JSON.stringify({ doneBits: encodeBits([1, 700]), stepsBesideBits: {} }))))).to.deep.equal(['a.0.0.1'])
    expect(() => decodeProgress('{"doneBits":"AQ==","steps":{}}')).to.throw().with.property('code', 'record-damaged')
    expect(() => decodeProgress('{"doneBits":5,"steps":{}}')).to.throw().with.property('code', 'record-damaged')
  })

  describe('after many of its tasks were lost with their backend servers', () => {
    const LOST = 20_000
    const SUSPECT = 90_000
    const lose = (state: JobState, index: number, run: number): void => {
      const { step: { losses } } = state.task(0, 0, index)!
      losses.add(index, run, 'server-0')
      losses.evidence.add(index, run, 1500)
      losses.addLossAtStart(index, run)
      losses.attribute(index, run)
    }

    for (const [name, done] of [['few of the others are done', 100], ['most of the others are done', 60_000]] as const) {
      it(`fits a row if ${name}, and keeps those that may be the cause`, () => {
        const state = stateOf(job('a', { steps: [step({ count: 100_000 })] }))
        for (let index = 0; index < LOST; index += 1) lose(state, index, 1_000_000 + index)
        for (let run = 0; run < 3; run += 1) lose(state, SUSPECT, 1_200_000 + run)
        for (let index = LOST; index < LOST + done; index += 1) state.task(0, 0, index)!.step.completeTask(index)
        const text = encodeProgress(state.progress)
        expect(Buffer.byteLength(JSON.stringify({ text }))).to.be.below(ROW_BYTES)
        const restored = stateOf(state.job, decodeProgress(text))
        expect(restored.task(0, 0, SUSPECT)!.step.losses.count(SUSPECT)).to.equal(3)
        expect(restored.done.size).to.equal(done)
      })
    }

    it('fits a row if they have failed too, and keeps those that failed most often', () => {
      const state = stateOf(job('a', { steps: [step({ count: 100_000 })] }))
      const fail = (index: number, run: number): void => state.task(0, 0, index)!.step.addFailure(state.task(0, 0, index)!, run)
      for (let index = 0; index < LOST; index += 1) {
        lose(state, index, 1_000_000 + index)
        fail(index, 1_100_000 + index)
      }
      for (let run = 0; run < 3; run += 1) fail(SUSPECT, 1_200_000 + run)
      const text = encodeProgress(state.progress)
      expect(Buffer.byteLength(JSON.stringify({ text }))).to.be.below(ROW_BYTES)
      expect(stateOf(state.job, decodeProgress(text)).task(0, 0, SUSPECT)!.failedRuns.size).to.equal(3)
    })

    it('forgets the losses and failures of tasks that are done', () => {
      const state = stateOf(job('a', { steps: [step({ count: 100 })] }))
      const task = state.task(0, 0, 7)!
      lose(state, 7, 1_000_007)
      task.step.addFailure(task, 1_000_008)
      task.step.complete(task)
      expect(state.progress.steps['0.0']).to.deep.equal({ done: [7], failed: {} })
    })
  })

  // Guards against progress that outgrows its row by the entries of steps, each of which has little.
  describe('with many occurrences that last', () => {
    const OCCURRENCES = 4000
    const lasting = job('a', { steps: [step({ isLasting: true })], schedule: { occurrences: OCCURRENCES, startAt: 0, intervalMilliseconds: 1 } })
    const place = (state: JobState, occurrence: number): void => {
      state.task(occurrence, 0, 0)!.addEarlierServer(serverId(`server-${occurrence % 6}`), '10.0.0.1:8530')
    }

    it('fits a row however many of them run, and says if it doesn\'t list where', () => {
      const state = stateOf(lasting)
      let wereListed = true
      for (let occurrence = 0; occurrence < OCCURRENCES; occurrence += 1) {
        place(state, occurrence)
        if (occurrence % 50 !== 0) continue
        const { progress } = state
        expect(rowBytesOf(progress)).to.be.below(ROW_BYTES)
        const listed = Object.values(progress.steps).filter(({ placements }) => placements !== undefined).length
        expect(progress.hasUnlistedRuns === true).to.equal(listed < occurrence + 1)
        expect(listed).to.be.oneOf([0, occurrence + 1])
        expect(wereListed || listed === 0).to.equal(true)
        wereListed = listed > 0
      }
      expect(wereListed).to.equal(false)
    })

    it('lists where they run again once fewer do', () => {
      const state = stateOf(lasting)
      for (let occurrence = 0; occurrence < 1000; occurrence += 1) place(state, occurrence)
      expect(state.progress.hasUnlistedRuns).to.equal(true)
      expect(state.arePlacementsListed).to.equal(false)
      for (let occurrence = 100; occurrence < 1000; occurrence += 1) state.task(occurrence, 0, 0)!.removeEarlierServer(serverId(`server-${occurrence % 6}`))
      expect(state.arePlacementsListed).to.equal(true)
      expect(Object.keys(state.progress.steps)).to.have.length(100)
    })
  })

  it('fits a shorter row, as the platform gives it', () => {
    const work = job('a', { steps: [step({ count: 100_000 })] })
    const progress = { hasBegun: true, steps: { '0.0': { done: Array.from({ length: 4000 }, (_, index) => index), failed: Object.fromEntries(Array.from({ length: 300 }, (_, index) => [5000 + index, [1_000_001 + index]])) } } }
    const planner = new Planner(epoch(2), [{ job: work, isCancelled: false, progress }], { now: 0, wallTime: 0 }, undefined, { rowBytes: 8000 })
    const stored = planner.progressOf(work.id)!
    expect(rowBytesOf(stored)).to.be.at.most(8000)
    expect([...stateOf(work, stored).done]).to.deep.equal(progress.steps['0.0'].done)
  })

  it('fits a row whatever has become of its tasks, and loses none that is done', function () {
    this.timeout(120_000)
    const event = fc.record({ share: fc.double({ min: 0, max: 1, noNaN: true }), kind: fc.constantFrom('done', 'failed', 'lost', 'placed', 'crashed'), times: fc.integer({ min: 1, max: 6 }), many: fc.constantFrom(1, 50, 1000, 20_000) })
    const shape = fc.record({ occurrences: fc.constantFrom(1, 7, 1000, 3000), steps: fc.constantFrom(1, 3, 30), count: fc.constantFrom(1, 3, 500), isGang: fc.boolean(), isLasting: fc.boolean() })
    fc.assert(fc.property(shape, fc.array(event, { maxLength: 12 }), ({ occurrences, steps, count, isGang, isLasting }, events) => {
      const tasks = occurrences * steps * count
      fc.pre(tasks <= MAXIMUM_TASKS_PER_JOB)
      const state = stateOf(job('a', { steps: Array.from({ length: steps }, () => step({ count, isGang, isLasting })), schedule: { occurrences, startAt: 0, intervalMilliseconds: 1 } }))
      const taskAt = (number: number): TaskState => {
        const inOccurrence = number % (steps * count)
        return state.task(Math.floor(number / (steps * count)), Math.floor(inOccurrence / count), inOccurrence % count)!
      }
      let run = 1_000_000_000
      const apply: Readonly<Record<string, (task: TaskState) => void>> = {
        done: task => task.step.complete(task),
        failed: task => task.step.addFailure(task, run),
        lost: task => { task.step.losses.add(task.step.unitOf(task), run, `server-${run}`) },
        placed: task => task.addEarlierServer(serverId(`server-with-a-long-id-${run % 400}`), '10.120.130.140:28530'),
        crashed: task => {
          task.step.losses.evidence.add(task.index, run, 1500)
          task.step.losses.addLossAtStart(task.step.unitOf(task), run)
        }
      }
      for (const { share, kind, times, many } of events) {
        const first = Math.floor(share * (tasks - 1))
        for (let index = first; index < Math.min(tasks, first + many); index += 1) {
          const task = taskAt(index)
          for (let time = 0; time < times && !task.isDone; time += 1) {
            run += 1
            apply[kind]!(task)
          }
        }
      }
      const { progress } = state
      expect(rowBytesOf(progress)).to.be.below(ROW_BYTES)
      const restored = stateOf(state.job, decodeProgress(encodeProgress(progress)))
      expect([...restored.done]).to.deep.equal([...state.done])
      const placed = (job: JobState): readonly string[] => job.steps.flatMap(each => [...each.placedTasks].filter(task => !task.isDone).map(task => task.name)).sort()
      if (progress.hasUnlistedRuns !== true) expect(placed(restored)).to.deep.equal(placed(state))
    }), { seed: 20_261_207, numRuns: Number(process.env.PROGRESS_RUNS ?? 60) })
  })

  it('keeps sets of numbers as bits', () => {
    const numbers = Array.from({ length: 300 }, (_, index) => index * 3)
    expect([...decodeBits(encodeBits(numbers))]).to.deep.equal(numbers)
  })
})
