import { readdirSync, readFileSync } from 'node:fs'
import * as model from '@cornelgauge/model'
import { expect } from 'chai'
import { run } from '../examples/embed.js'
import * as coordination from '../src/index.js'
import { DOMAIN_PRAHA, PRAHA, VM_ONE, World } from './builders.js'

const SOURCES = new URL('../../src/', import.meta.url)
const EXAMPLE = /@example\n((?:\s*\* [^@].*\n)+)/g
const LITERAL = /^(.*\S) \/\/ (true|false|undefined|-?[\d.]+|'[^']*')$/

const linesOf = (comment: string) => comment.split('\n').map(line => line.replace(/^\s*\* ?/, '')).filter(line => line !== '')

/** Returns the examples with a stated result, by file. Their free names are those of the scope they are executed in. */
function checkedExamples (): readonly (readonly [string, readonly string[]])[] {
  const sources = readdirSync(SOURCES).filter(name => name.endsWith('.ts'))
  const examples = sources.flatMap(name => {
    const text = readFileSync(new URL(name, SOURCES), 'utf8')
    return [...text.matchAll(EXAMPLE)].map(([, comment]) => [name, linesOf(comment!)] as const)
  })
  return examples.filter(([, lines]) => lines.some(line => LITERAL.test(line)))
}

function execute (lines: readonly string[], scope: Readonly<Record<string, unknown>>): readonly (readonly [unknown, unknown])[] {
  const body = lines.map(line => line.replace(LITERAL, 'results.push([$1, $2])')).join('\n')
  const results: [unknown, unknown][] = []
  // eslint-disable-next-line no-new-func
  new Function('results', ...Object.keys(scope), body)(results, ...Object.values(scope))
  return results
}

describe('examples', () => {
  it('embed.ts continues the count from VM to VM', async () => {
    expect(await run()).to.deep.equal([5, 10, 15])
  })

  describe('in doc comments', () => {
    const examples = checkedExamples()
    const submission = { workspace: model.workspaceName('brno'), key: model.requestKey('swap-1') }

    it('are found in the sources', () => expect(examples.length).to.be.at.least(15))

    for (const [file, lines] of examples) {
      it(`of ${file}: ${lines.at(-1)}`, async () => {
        const world = new World()
        const claim = await world.claim(VM_ONE)
        const stored = (await coordination.readOwnerRow(world.backingTable, PRAHA))!
        const text = 'text'
        const version = model.documentVersion(1)
        const scope = { ...model, ...coordination, claim, stored, submission, row: stored.row, cell: PRAHA, text, version, place: { cell: PRAHA, failureDomain: DOMAIN_PRAHA } }
        for (const [found, stated] of execute(lines, scope)) expect(found).to.equal(stated)
      })
    }
  })
})
