import { expect } from 'chai'
import { BodyBudget, type HeldBody } from '../src/body-budget.js'

describe('the budget of bodies', () => {
  let now: number
  let budget: BodyBudget
  let givenUp: string[]

  const open = (name: string, bytes: number): HeldBody => {
    const held = budget.open()
    held.onGivenUp = () => { givenUp.push(name) }
    held.resize(bytes)
    return held
  }

  beforeEach(() => {
    now = 0
    givenUp = []
    budget = new BodyBudget(() => 1000, () => now)
  })

  it('gives up nothing within the bound', () => {
    open('first', 600)
    open('second', 400)
    expect(givenUp).to.deep.equal([])
    expect(budget.heldBytes).to.equal(1000)
  })

  it('gives up what holds most for longest, and not the body that has just begun', () => {
    open('small and old', 100)
    open('large and old', 500)
    now = 1000
    open('large and late', 390)
    now = 1100
    open('new', 300)
    expect(givenUp).to.deep.equal(['large and old'])
  })

  it('isn\'t misled by bytes that come now and then', () => {
    const trickling = open('trickling', 500)
    now = 5000
    trickling.resize(501)
    open('new', 510)
    expect(givenUp).to.deep.equal(['trickling'])
    expect(budget.heldBytes).to.equal(510)
  })

  it('gives up some more than needed, so that many arrivals share one choice', () => {
    for (let index = 0; index < 100; index += 1) open(`body ${index}`, 10)
    now = 10
    open('new', 10)
    expect(budget.heldBytes).to.be.at.most(875)
    expect(budget.givenUp).to.equal(14)
    open('next', 100)
    expect(budget.givenUp).to.equal(14)
  })

  it('never gives up a whole body, and refuses the newcomer if nothing else is left', () => {
    open('whole', 900).complete()
    now = 100
    open('new', 200)
    expect(givenUp).to.deep.equal(['new'])
    expect(budget.heldBytes).to.equal(900)
  })

  it('counts a body until it is released, once', () => {
    const held = open('whole', 900)
    held.complete()
    expect(budget.heldBytes).to.equal(900)
    held.release()
    held.release()
    expect(budget.heldBytes).to.equal(0)
  })
})
