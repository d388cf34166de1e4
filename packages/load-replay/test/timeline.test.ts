import { expect } from 'chai'
import { Timeline } from '../src/timeline.js'

describe('timeline', () => {
  it('runs actions by time, and those of one time as they were planned', () => {
    const timeline = new Timeline()
    const seen: string[] = []
    timeline.at(20, () => seen.push('late'))
    timeline.at(10, () => { seen.push('first'); timeline.after(5, () => seen.push('planned while running')) })
    timeline.at(10, () => seen.push('second'))
    timeline.run(100)
    expect(seen).to.deep.equal(['first', 'second', 'planned while running', 'late'])
    expect(timeline.now).to.equal(20)
  })

  it('leaves what comes after the end', () => {
    const timeline = new Timeline()
    let ran = false
    timeline.at(11, () => { ran = true })
    timeline.run(10)
    expect(ran).to.equal(false)
  })
})
