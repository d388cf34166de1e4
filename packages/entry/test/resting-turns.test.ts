import { jobId, planningLoad, type RestingJob } from '@cornelgauge/jobs'
import { expect } from 'chai'
import { TURN_JOBS, TURN_MILLISECONDS } from '../src/limits.js'
import { RestingTurns } from '../src/resting-turns.js'
import { JOB } from './sample-job.js'

const resting = (number: number, nextDueAt: number): RestingJob => ({ job: { ...JOB, id: jobId(String(number).padStart(16, '0')) }, hasProgress: true, hasBegun: true, nextDueAt, checkpoints: new Map() })
const LOAD = planningLoad(JOB)
const WALL_TIME = 1_700_000_000_000
const LATER = WALL_TIME + 60_000

describe('the turns of begun jobs of which nothing runs', () => {
  const choiceOf = (now: number, neededLoad = 1000): { now: number, wallTime: number, neededLoad: number } => ({ now, wallTime: WALL_TIME, neededLoad })

  it('release no more than others need, those first that are due last', () => {
    const jobs = [resting(0, LATER), resting(1, LATER + 2), resting(2, LATER + 1)]
    expect(new RestingTurns().choose(jobs, choiceOf(0, 1.5 * LOAD))).to.deep.equal([jobs[1], jobs[2]])
    expect(new RestingTurns().choose(jobs, choiceOf(0, 0))).to.deep.equal([])
  })

  it('leave one that is due soon until nothing of it has run for some time', () => {
    const turns = new RestingTurns()
    const jobs = [resting(0, -Infinity)]
    expect(turns.choose(jobs, choiceOf(0))).to.deep.equal([])
    expect(turns.choose(jobs, choiceOf(TURN_MILLISECONDS - 1))).to.deep.equal([])
    expect(turns.choose(jobs, choiceOf(TURN_MILLISECONDS))).to.deep.equal(jobs)
  })

  it('count anew once something of it has run', () => {
    const turns = new RestingTurns()
    const jobs = [resting(0, -Infinity)]
    turns.choose(jobs, choiceOf(0))
    turns.choose([], choiceOf(1000))
    expect(turns.choose(jobs, choiceOf(TURN_MILLISECONDS))).to.deep.equal([])
  })

  it('release a limited number of those each time', () => {
    const turns = new RestingTurns()
    const jobs = Array.from({ length: 2 * TURN_JOBS }, (_, number) => resting(number, -Infinity))
    turns.choose(jobs, choiceOf(0))
    expect(turns.choose(jobs, choiceOf(TURN_MILLISECONDS))).to.have.length(TURN_JOBS)
  })
})
