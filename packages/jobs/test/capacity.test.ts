import { expect } from 'chai'
import { dominantShare, largestOf, timesFitting } from '../src/capacity.js'

const SERVER = { processor: 32_000, memory: 65_536, accelerators: 8 }

describe('capacity', () => {
  it('takes the largest share of any resource as the dominant share', () => {
    expect(dominantShare({ processor: 13_000, memory: 34_000, accelerators: 1 }, SERVER)).to.be.closeTo(0.52, 0.01)
    expect(dominantShare({ processor: 3700, memory: 9800, accelerators: 8 }, SERVER)).to.equal(1)
  })

  it('ignores a resource that the backend server does not have', () => {
    expect(dominantShare({ processor: 500, memory: 100, accelerators: 0 }, { ...SERVER, accelerators: 0 })).to.be.below(0.1)
  })

  it('takes the maximum of two amounts per resource', () => {
    expect(largestOf(SERVER, { processor: 1, memory: 70_000, accelerators: 4 })).to.deep.equal({ processor: 32_000, memory: 70_000, accelerators: 8 })
  })

  it('counts how often a need fits by its scarcest resource', () => {
    expect(timesFitting(SERVER, { processor: 1000, memory: 34_000, accelerators: 1 }, 30)).to.equal(1)
  })
})
