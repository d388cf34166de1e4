import { expect } from 'chai'
import { checkSuccession, compareDocuments, renderDifference } from '../src/index.js'
import { buildDocument, cell, kind, rack, workspace, type Members } from './builders.js'

const linesBetween = (before: Members, after: Members): readonly string[] =>
  renderDifference(compareDocuments(buildDocument(before), buildDocument(after)))

describe('compareDocuments', () => {
  it('finds no changes between two notations of the same document', () => {
    expect(linesBetween({}, { workspaces: [workspace('pobocky', { weight: 1 }), workspace('ustredi', { cells: ['liberec', 'praha', 'plzen'] })] })).to.deep.equal([])
  })

  it('matches items by name, not by position', () => {
    const workspaces = [workspace('new', { cells: ['praha'] }), workspace('ustredi'), workspace('pobocky', { weight: 2 })]
    expect(linesBetween({}, { workspaces })).to.deep.equal([
      '~ workspaces.pobocky.weight: 1 -> 2',
      '+ workspaces.new: {"name":"new","weight":1,"cells":["praha"],"guarantees":[],"maximumPending":10000}'
    ])
  })

  it('reports a new order of kinds', () => {
    expect(linesBetween({ kinds: [kind('a'), kind('b')] }, { kinds: [kind('b'), kind('a')] })).to.deep.equal(['~ kinds, order: a, b -> b, a'])
  })

  it('reports a new order of racks, which changes which racks are neighbours', () => {
    const before = { cells: [cell('praha', { racks: [rack('one'), rack('two')] })] }
    const after = { cells: [cell('praha', { racks: [rack('two'), rack('one')] })] }
    expect(linesBetween(before, after)).to.deep.equal(['~ cells.praha.racks, order: one, two -> two, one'])
  })

  it('does not report an item added at the front as a new order', () => {
    expect(linesBetween({ kinds: [kind('a')] }, { kinds: [kind('b'), kind('a')] })[0]).to.match(/^\+ kinds\.b: /)
  })

  it('matches guarantees by their shape', () => {
    const before = { workspaces: [workspace('a', { guarantees: [{ shape: { slots: 2 } }] })] }
    const after = { workspaces: [workspace('a', { guarantees: [{ shape: { slots: 1 } }, { shape: { slots: 2 }, count: 3 }] })] }
    expect(linesBetween(before, after)).to.deep.equal([
      '~ workspaces.a.guarantees.(2 slots).count: 1 -> 3',
      '+ workspaces.a.guarantees.(1 slot): {"shape":{"slots":1,"accelerators":0,"adjacency":"server"},"count":1}'
    ])
  })

  it('treats a name from the object prototype like any other', () => {
    expect(linesBetween({}, { kinds: [kind('shift-swap', { idempotent: false, urgent: true }), kind('term-rota', { checkpointable: true }), kind('constructor')] })[0]).to.match(/^\+ kinds\.constructor: /)
  })

  it('reports a removed kind and a changed time setting', () => {
    expect(linesBetween({ kinds: [kind('a'), kind('b', { shape: {} })] }, { kinds: [kind('a')], times: { reclaimMilliseconds: 9 } })).to.have.lengthOf(2)
      .and.to.include('~ times.reclaimMilliseconds: 5000 -> 9')
  })
})

describe('checkSuccession', () => {
  const CHANGES = [
    { title: 'another weight', after: { workspaces: [workspace('ustredi', { weight: 4 }), workspace('pobocky')] }, rules: [] },
    { title: 'more servers in a rack', after: { cells: [cell('praha', { racks: [rack('praha-rack-1', { servers: 9 })] }), cell('plzen'), cell('liberec')] }, rules: [] },
    { title: 'a new workspace with its own cells', after: { workspaces: [workspace('ustredi'), workspace('pobocky'), workspace('new', { cells: ['praha'] })] }, rules: [] },
    { title: 'cells in another order', after: { cells: [cell('liberec'), cell('praha'), cell('plzen')] }, rules: [] },
    { title: 'another name', after: { name: 'other' }, rules: ['same-name'] },
    { title: 'a higher generation', after: { generation: 3 }, rules: ['generation-unsupported'] },
    { title: 'a lower generation', after: { generation: 1 }, rules: ['generation-falls'] },
    { title: 'one cell fewer', after: { cells: [cell('praha'), cell('plzen')] }, rules: ['generation-required', 'generation-required', 'generation-required'] },
    { title: 'a cell in another failure domain', after: { cells: [cell('praha', { failureDomain: 'brno' }), cell('plzen'), cell('liberec')] }, rules: ['generation-required'] },
    { title: 'fewer cells of a workspace', after: { workspaces: [workspace('ustredi', { cells: ['praha'] }), workspace('pobocky')] }, rules: ['generation-required'] }
  ]
  for (const { title, after, rules } of CHANGES) {
    it(`${rules.length === 0 ? 'allows' : 'refuses'} ${title}`, () => {
      const faults = checkSuccession(buildDocument({ generation: 2 }), buildDocument({ generation: 2, ...after }))
      expect(faults.map(({ rule }) => rule)).to.deep.equal(rules)
    })
  }
})
