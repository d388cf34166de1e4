import { expect } from 'chai'
import { dominantShare, isSameCapacity, largestOf, orLastKnown, sumFreeAccelerators, timesFitting } from '../src/capacity.js'

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

  it('fits nothing where more is used than there is, not even a need for other resources', () => {
    expect(timesFitting({ ...SERVER, accelerators: -1 }, { processor: 1000, memory: 100, accelerators: 0 }, 30)).to.equal(0)
    expect(timesFitting({ ...SERVER, accelerators: 0 }, { processor: 1000, memory: 100, accelerators: 0 }, 30)).to.equal(30)
  })

  it('sums free accelerators without those that are missing elsewhere', () => {
    expect(sumFreeAccelerators([SERVER, { ...SERVER, accelerators: -20 }, SERVER])).to.equal(16)
  })

  it('compares amounts by every resource', () => {
    expect(isSameCapacity(SERVER, { ...SERVER })).to.equal(true)
    for (const resource of ['processor', 'memory', 'accelerators']) expect(isSameCapacity(SERVER, { ...SERVER, [resource]: 1 })).to.equal(false)
  })

  it('takes the last known amount of a resource that is absent', () => {
    expect(orLastKnown({ processor: 1000, memory: 0, accelerators: 4 }, SERVER)).to.deep.equal({ processor: 1000, memory: 65_536, accelerators: 4 })
  })
})
