import { requestKey, workspaceName } from '@cornelgauge/model'
import { expect } from 'chai'
import fc from 'fast-check'
import { homeCell } from '../src/index.js'
import { buildDocument, failureOf, kind, workspace } from './builders.js'

const SEED = 20261
const USTREDI = workspaceName('ustredi')

describe('homeCell', () => {
  const document = buildDocument()

  it('does not depend on the order of cells', () => {
    const reversed = { ...document, workspaces: document.workspaces.map(declared => ({ ...declared, cells: declared.cells.toReversed() })) }
    fc.assert(fc.property(fc.string(), key => {
      expect(homeCell(reversed, USTREDI, requestKey(key))).to.equal(homeCell(document, USTREDI, requestKey(key)))
    }), { seed: SEED })
  })

  it('does not change while the cells stay the same', () => {
    const changed = buildDocument({ kinds: [kind('other')], workspaces: [workspace('new'), workspace('ustredi', { weight: 9 })], times: { reclaimMilliseconds: 1 } })
    fc.assert(fc.property(fc.string(), key => {
      expect(homeCell(changed, USTREDI, requestKey(key))).to.equal(homeCell(document, USTREDI, requestKey(key)))
    }), { seed: SEED })
  })

  it('returns fixed values for given keys, so that all builds of the daemon agree', () => {
    const homes = ['swap-1', 'swap-2', 'swap-3', 'swap-4'].map(key => homeCell(document, USTREDI, requestKey(key)))
    expect(homes).to.deep.equal(KNOWN_HOMES)
  })

  it('distributes keys evenly, within 10%', () => {
    const counts = new Map<string, number>()
    for (let index = 0; index < 9000; index += 1) {
      const cell = homeCell(document, USTREDI, requestKey(`swap-${index}`))
      counts.set(cell, (counts.get(cell) ?? 0) + 1)
    }
    expect([...counts.keys()]).to.have.members(['praha', 'plzen', 'liberec'])
    for (const count of counts.values()) expect(count).to.be.within(2700, 3300)
  })

  it('changes only for the keys of a removed cell', () => {
    const fewer = { ...document, workspaces: document.workspaces.map(declared => ({ ...declared, cells: declared.cells.slice(1) })) }
    fc.assert(fc.property(fc.string(), key => {
      const before = homeCell(document, USTREDI, requestKey(key))
      if (before !== 'praha') expect(homeCell(fewer, USTREDI, requestKey(key))).to.equal(before)
    }), { seed: SEED })
  })

  it('depends on the generation and on the workspace', () => {
    const keys = Array.from({ length: 60 }, (_, index) => requestKey(`swap-${index}`))
    const later = { ...document, generation: 2 }
    expect(keys.some(key => homeCell(later, USTREDI, key) !== homeCell(document, USTREDI, key))).to.equal(true)
    expect(keys.some(key => homeCell(document, workspaceName('pobocky'), key) !== homeCell(document, USTREDI, key))).to.equal(true)
  })

  it('is one of the cells of the workspace', () => {
    const narrow = buildDocument({ workspaces: [workspace('ustredi', { cells: ['plzen'] })] })
    expect(homeCell(narrow, USTREDI, requestKey('swap-1'))).to.equal('plzen')
  })

  it('fails for an unknown workspace', () => {
    expect(failureOf(() => homeCell(document, workspaceName('nobody'), requestKey('a'))).code).to.equal('not-found')
  })
})

const KNOWN_HOMES = ['plzen', 'liberec', 'praha', 'liberec']
