import { expect } from 'chai'
import { decodeProgress, encodeProgress, occurrencesOf, type Job, type JobProgress } from '../src/index.js'
import { JobState } from '../src/job-state.js'
import { decodeBits, encodeBits } from '../src/task-bits.js'
import type { TaskState } from '../src/task-state.js'
import { job, step } from './world.js'

/** What a row of the users' store holds, in bytes. */
const ROW_BYTES = 65_536

const stateOf = (work: Job, progress?: JobProgress): JobState => new JobState(work, true, progress)
const tasksOf = (state: JobState): readonly TaskState[] =>
  Array.from({ length: occurrencesOf(state.job) }, (_, occurrence) => state.job.steps.flatMap(({ count }, number) => Array.from({ length: count }, (_, index) => state.task(occurrence, number, index)!))).flat()
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

  it('keeps sets of numbers as bits', () => {
    const numbers = Array.from({ length: 300 }, (_, index) => index * 3)
    expect([...decodeBits(encodeBits(numbers))]).to.deep.equal(numbers)
  })
})
