import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { capacityPage, fitLine, median, takeMeasure, type SlopesReport } from '../src/index.js'

const read = (name: string): string => readFileSync(new URL(`../../../../docs/${name}`, import.meta.url), 'utf8')

describe('slopes', () => {
  describe('fitting a line', () => {
    it('fits an exact line with no error', () => {
      const fit = fitLine([1, 2, 4, 8, 16].map(size => ({ size, value: 7 + 3 * size })))
      expect(fit.slope).to.be.closeTo(3, 1e-9)
      expect(fit.intercept).to.be.closeTo(7, 1e-9)
      expect(fit.standardError).to.be.closeTo(0, 1e-9)
    })

    it('returns the standard error and the residuals of a known case', () => {
      const fit = fitLine([{ size: 0, value: 1 }, { size: 1, value: 0 }, { size: 2, value: 2 }])
      expect(fit.slope).to.be.closeTo(0.5, 1e-9)
      expect(fit.standardError).to.be.closeTo(Math.sqrt(0.75), 1e-9)
      expect(fit.residuals.map(residual => Number(residual.toFixed(9)))).to.deep.equal([0.5, -1, 0.5])
    })

    it('refuses points that determine no line', () => {
      expect(() => fitLine([{ size: 1, value: 1 }, { size: 2, value: 2 }])).to.throw('three points')
      expect(() => fitLine([1, 2, 3].map(value => ({ size: 5, value })))).to.throw('three points')
    })

    it('returns the median of an odd or even number of values', () => {
      expect([median([9, 1, 5]), median([1, 3, 5, 100])]).to.deep.equal([5, 4])
    })
  })

  describe('a measure', () => {
    it('takes the median of its rounds at each size', async () => {
      let taken = 0
      const take = async (size: number) => ({ cost: 2 * size + (++taken === 3 ? 1000 : 0) })
      const [slope] = await takeMeasure({ name: 'tiny', driver: 'item', sizes: [1, 2, 3], units: { cost: 'ms' }, repeats: 3, take })
      expect(slope).to.include({ name: 'tiny/cost', slope: 2, intercept: 0 })
    })
  })

  describe('the capacity page', () => {
    it('equals what its command generates from the slopes', () => {
      expect(read('CAPACITY.md')).to.equal(capacityPage(JSON.parse(read('slopes.json')) as SlopesReport))
    })

    it('has a slope for every figure', () => {
      expect(read('CAPACITY.md')).not.to.include('NaN')
    })
  })
})
