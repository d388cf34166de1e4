import { expect } from 'chai'
import { Timeline } from '../src/timeline.js'

describe('timeline', () => {
  it('runs actions in order of time, and of scheduling for the same time', () => {
    const timeline = new Timeline()
    const seen: string[] = []
    timeline.schedule(20, () => seen.push('late'))
    timeline.schedule(10, () => { seen.push('first'); timeline.scheduleAfter(5, () => seen.push('scheduled while running')) })
    timeline.schedule(10, () => seen.push('second'))
    timeline.run(100)
    expect(seen).to.deep.equal(['first', 'second', 'scheduled while running', 'late'])
    expect(timeline.now).to.equal(20)
  })

  it('does not run actions after the end', () => {
    const timeline = new Timeline()
    let ran = false
    timeline.schedule(11, () => { ran = true })
    timeline.run(10)
    expect(ran).to.equal(false)
  })
})
