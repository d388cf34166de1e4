import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { CATALOGUE_GROUPS, EVENT_CATALOGUE, eventPage, METRIC_CATALOGUE, metricPage, type CatalogueEntry } from '../src/index.js'

const page = (name: string): string => readFileSync(new URL(`../../../../docs/${name}`, import.meta.url), 'utf8')

describe('catalogue', () => {
  describe('of events', () => {
    const rows = Object.entries<CatalogueEntry>(EVENT_CATALOGUE)

    it('has every row of every group under a name of its own', () => {
      const count = CATALOGUE_GROUPS.reduce((sum, group) => sum + Object.keys(group.rows).length, 0)
      expect(rows).to.have.length(count)
    })

    it('has a number of its own for each event, rising in the group of its hundred', () => {
      for (const group of CATALOGUE_GROUPS) {
        const numbers = Object.values(group.rows).map(entry => entry.number)
        expect(numbers).to.deep.equal([...new Set(numbers)].sort((first, second) => first - second))
        expect(numbers.every(number => Math.floor(number / 100) === group.hundred)).to.equal(true)
      }
    })

    it('has whole sentences and an action for every error', () => {
      for (const [name, entry] of rows) {
        expect(name).to.match(/^[a-z]+(-[a-z]+)*$/)
        expect(entry.sentence, name).to.match(/^[A-Z].*\.$/)
        expect(entry.action, name).to.match(/^[A-Z].*\.$/)
        if (entry.level === 'error') expect(entry.action, name).not.to.equal('Nothing.')
      }
    })

    it('is what docs/EVENTS.md shows (npm run docs:events)', () => {
      expect(page('EVENTS.md')).to.equal(eventPage())
    })
  })

  describe('of metrics', () => {
    it('names each in the collector\'s alphabet', () => {
      for (const name of Object.keys(METRIC_CATALOGUE)) expect(name).to.match(/^[a-z]+([.-][a-z]+)*$/)
    })

    it('is what docs/METRICS.md shows (npm run docs:metrics)', () => {
      expect(page('METRICS.md')).to.equal(metricPage())
    })
  })
})
