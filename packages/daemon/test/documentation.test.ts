import { expect } from 'chai'
import { existsSync, readdirSync, readFileSync } from 'node:fs'
import { ERROR_KINDS } from '@cornelgauge/model'
import { EVENT_CATALOGUE, METRIC_CATALOGUE } from '@cornelgauge/telemetry'
import { callerRoutes } from '../src/caller-routes.js'
import { operatorRoutes } from '../src/operator-routes.js'
import { environmentVariable, SETTING_DECLARATIONS, type SettingDeclaration } from '../src/settings.js'

const ROOT = new URL('../../../../', import.meta.url)
const pageOf = (name: string): string => readFileSync(new URL(`docs/${name}`, ROOT), 'utf8')

/** Returns all pages of the repository. */
function allPages (): readonly URL[] {
  const inFolder = (folder: string): readonly URL[] => readdirSync(new URL(folder, ROOT)).filter(name => name.endsWith('.md')).map(name => new URL(`${folder}${name}`, ROOT))
  const packages = readdirSync(new URL('packages/', ROOT)).flatMap(name => inFolder(`packages/${name}/`))
  return [...inFolder('./'), ...inFolder('docs/'), ...inFolder('docs/decisions/'), ...packages]
}

/** Returns the links of a page to files that do not exist. */
function deadLinks (page: URL): readonly string[] {
  const links = [...readFileSync(page, 'utf8').matchAll(/\]\(([^)#\s]+)[^)]*\)/g)].map(match => match[1]!)
  return links.filter(link => !/^[a-z]+:/.test(link) && !existsSync(new URL(link, page))).map(link => `${page.pathname}: ${link}`)
}

/** Returns the rows of the first table with this first header, each as its cells. */
function tableOf (page: string, header: string): readonly (readonly string[])[] {
  const lines = page.split('\n')
  const start = lines.findIndex(line => line.startsWith(`| ${header} |`))
  const rest = lines.slice(start + 2)
  const length = rest.findIndex(line => !line.startsWith('|'))
  return rest.slice(0, length === -1 ? undefined : length).map(line => line.split('|').slice(1, -1).map(cell => cell.trim()))
}

/** Returns the first cell of each row, over all tables with this first header. */
const firstCells = (page: string, header: string): readonly string[] =>
  page.split(new RegExp(`^(?=\\| ${header} \\|)`, 'm')).slice(1).flatMap(part => tableOf(part, header).map(row => row[0]!))

const code = (text: string): string => `\`${text}\``

describe('documentation', () => {
  describe('every page', () => {
    it('has no broken links', () => {
      expect(allPages()).to.have.length.above(20)
      expect(allPages().flatMap(deadLinks)).to.deep.equal([])
    })
  })

  describe('API.md', () => {
    const page = pageOf('API.md')

    it('has every problem code with its status, title and advice', () => {
      const rows = Object.entries(ERROR_KINDS).map(([name, { status, title, retry }]) => [code(name), String(status), title, retry])
      expect(tableOf(page, 'Code')).to.deep.equal(rows)
    })

    it('has every route and no other', () => {
      const routes = [...callerRoutes({} as Parameters<typeof callerRoutes>[0]), ...operatorRoutes({} as Parameters<typeof operatorRoutes>[0])]
      expect(firstCells(page, 'Route')).to.have.members(routes.map(({ method, path }) => code(`${method} ${path}`)))
    })
  })

  describe('OPERATING.md', () => {
    const page = pageOf('OPERATING.md')

    it('has every setting with its variable, default and meaning', () => {
      const defaultText = (fallback: string | undefined): string => fallback === undefined ? 'required' : fallback === '' ? 'none' : code(fallback)
      const rows = Object.entries(SETTING_DECLARATIONS).map(([name, declaration]) => {
        const { description, valueHint, default: fallback } = declaration as SettingDeclaration
        return [code(`--${name}`), code(environmentVariable(name)), valueHint.replaceAll('|', ', '), defaultText(fallback), description]
      })
      expect(tableOf(page, 'Flag')).to.deep.equal(rows)
    })

    it('names only existing events and metrics', () => {
      const events = firstCells(page, 'Event')
      const metrics = firstCells(page, 'Metric')
      expect(events).to.have.length.above(10)
      expect(Object.keys(EVENT_CATALOGUE).map(code)).to.include.members([...events])
      expect(Object.keys(METRIC_CATALOGUE).map(name => code(`cornelgauge.${name}`))).to.include.members([...metrics])
    })
  })
})
