import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { CATALOGUE_GROUPS, EVENT_CATALOGUE, eventPage, METRIC_CATALOGUE, metricPage, type CatalogueEntry } from '../src/index.js'

const page = (name: string): string => readFileSync(new URL(`../../../../docs/${name}`, import.meta.url), 'utf8')

describe('catalogue', () => {
  describe('of events', () => {
    const rows = Object.entries<CatalogueEntry>(EVENT_CATALOGUE)

    it('has every entry of every group under a unique name', () => {
      const count = CATALOGUE_GROUPS.reduce((sum, group) => sum + Object.keys(group.rows).length, 0)
      expect(rows).to.have.length(count)
    })

    it('has unique numbers, ascending within each group and in its hundred', () => {
      for (const group of CATALOGUE_GROUPS) {
        const numbers = Object.values(group.rows).map(entry => entry.number)
        expect(numbers).to.deep.equal([...new Set(numbers)].sort((first, second) => first - second))
        expect(numbers.every(number => Math.floor(number / 100) === group.hundred)).to.equal(true)
      }
    })

    it('has complete sentences and an action for every error', () => {
      for (const [name, entry] of rows) {
        expect(name).to.match(/^[a-z]+(-[a-z]+)*$/)
        expect(entry.sentence, name).to.match(/^[A-Z].*\.$/)
        expect(entry.action, name).to.match(/^[A-Z].*\.$/)
        if (entry.level === 'error') expect(entry.action, name).not.to.equal('Nothing.')
      }
    })

    it('matches docs/EVENTS.md (npm run docs:events)', () => {
      expect(page('EVENTS.md')).to.equal(eventPage())
    })
  })

  describe('of metrics', () => {
    it('has names with characters that StatsD allows only', () => {
      for (const name of Object.keys(METRIC_CATALOGUE)) expect(name).to.match(/^[a-z]+([.-][a-z]+)*$/)
    })

    it('matches docs/METRICS.md (npm run docs:metrics)', () => {
      expect(page('METRICS.md')).to.equal(metricPage())
    })
  })
})
