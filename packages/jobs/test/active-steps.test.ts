import { expect } from 'chai'
import type { StepSpecification } from '../src/index.js'
import { JobState } from '../src/job-state.js'
import { MAXIMUM_ACTIVE_STEPS, MAXIMUM_OPEN_STEPS } from '../src/limits.js'
import type { Run } from '../src/server.js'
import { job, step } from './world.js'

const OCCURRENCES = 300
/** Times at which the due occurrences are activated and what is ready of them starts. */
const ROUNDS = 100

// Guards against an owner whose heap the steps of one job fill, each of whose occurrences has started and waits for its first step.
describe('the activated steps of a job whose occurrences are all due', () => {
  const startAll = (steps: readonly StepSpecification[]): JobState => {
    const state = new JobState(job('a', { steps, schedule: { occurrences: OCCURRENCES, startAt: 0, intervalMilliseconds: 1 } }), false)
    for (let round = 0; round < ROUNDS; round += 1) {
      state.activate(Infinity)
      for (const ready of state.readySteps()) {
        for (const task of ready.waitingTasks()) {
          ready.keep(task)
          task.addRun({} as Run)
        }
      }
    }
    return state
  }

  it('are limited while the occurrences run', () => {
    const steps = Array.from({ length: 300 }, (_, index) => step({ after: index === 0 ? [] : [index - 1] }))
    expect(startAll(steps).steps.length).to.be.below(MAXIMUM_ACTIVE_STEPS + steps.length)
  })

  it('are limited while nothing of them runs', () => {
    const state = new JobState(job('a', { schedule: { occurrences: 10 * MAXIMUM_OPEN_STEPS, startAt: 0, intervalMilliseconds: 1 } }), false)
    for (let round = 0; round < ROUNDS; round += 1) state.activate(Infinity)
    expect(state.steps).to.have.length(MAXIMUM_OPEN_STEPS)
  })

  it('are all of them if they last, since they don\'t end', () => {
    const steps = Array.from({ length: 10 }, () => step({ isLasting: true }))
    expect(startAll(steps).steps).to.have.length(OCCURRENCES * steps.length)
  })
})
