import { expect } from 'chai'
import { shapeFitsAnywhere, shapeFitsCell } from '../src/index.js'
import { buildDocument, cell, faultsOf, kind, rack, workspace, type Members } from './builders.js'

const gang = (accelerators: number, adjacency: string, members: Members = {}): Members => ({ slots: 1, accelerators, adjacency, ...members })
const smallCell = (name: string): Members => cell(name, { racks: [rack(`${name}-rack-1`, { servers: 1 })] })
const guaranteed = (name: string, ...guarantees: Members[]): Members => workspace(name, { guarantees })

describe('checkDocument', () => {
  const FAULTS = [
    { title: 'two cells with the same name', members: { cells: [cell('praha'), cell('praha', { racks: [rack('other')] })] }, path: 'cells[1].name', rule: 'unique-name' },
    { title: 'two racks with the same name', members: { cells: [cell('praha'), cell('plzen', { racks: [rack('praha-rack-1')] })] }, path: 'cells[1].racks[0].name', rule: 'unique-name' },
    { title: 'a failure domain in two regions', members: { cells: [cell('praha', { failureDomain: 'one' }), cell('plzen', { failureDomain: 'one', region: 'morava' })] }, path: 'cells[1].region', rule: 'one-region' },
    { title: 'two kinds with the same name', members: { kinds: [kind('a'), kind('a')] }, path: 'kinds[1].name', rule: 'unique-name' },
    { title: 'two workspaces with the same name', members: { workspaces: [workspace('a'), workspace('a')] }, path: 'workspaces[1].name', rule: 'unique-name' },
    { title: 'one cell twice in a workspace', members: { workspaces: [workspace('a', { cells: ['praha', 'praha'] })] }, path: 'workspaces[0].cells[1]', rule: 'unique-name' },
    { title: 'an unknown cell', members: { workspaces: [workspace('a', { cells: ['brno'] })] }, path: 'workspaces[0].cells[0]', rule: 'known-cell' },
    { title: 'minimum shares that sum to more than 1', members: { kinds: [kind('a', { minimumShare: 0.6 }), kind('b', { minimumShare: 0.5 })] }, path: 'kinds', rule: 'share-sum' },
    { title: 'more than one attempt of a kind that is not idempotent', members: { kinds: [kind('a', { idempotent: false, maximumAttempts: 2 })] }, path: 'kinds[0].maximumAttempts', rule: 'single-attempt' },
    { title: 'a kind that fits in no cell', members: { kinds: [kind('a', { shape: gang(17, 'rack') })] }, path: 'kinds[0].shape', rule: 'impossible-shape' },
    { title: 'a kind that does not fit in one of the home cells', members: { cells: [cell('praha'), smallCell('plzen')], kinds: [kind('a', { shape: gang(16, 'rack') })] }, path: 'kinds[0].shape', rule: 'shape-fits-homes', detail: /plzen/ },
    { title: 'one shape guaranteed in two entries', members: { workspaces: [guaranteed('a', {}, { count: 2 })] }, path: 'workspaces[0].guarantees[1].shape', rule: 'unique-shape' },
    { title: 'a guarantee larger than a cell', members: { workspaces: [guaranteed('a', { shape: gang(9, 'server') })] }, path: 'workspaces[0].guarantees[0].shape', rule: 'guarantee-fits', detail: /Cell praha/ }
  ]
  for (const { title, members, path, rule, detail } of FAULTS) {
    it(`refuses ${title}`, () => {
      const fault = faultsOf(members).find(candidate => candidate.rule === rule)
      expect(fault).to.deep.include({ path, rule })
      expect(fault?.detail).to.match(detail ?? /\.$/)
    })
  }

  describe('guarantees together', () => {
    it('are accepted if all fit at the same time', () => {
      const workspaces = [
        guaranteed('a', { shape: gang(16, 'rack') }),
        guaranteed('b', { shape: gang(8, 'server', { slots: 4 }), count: 2 }, { shape: { slots: 7 }, count: 2 })
      ]
      expect(() => buildDocument({ workspaces })).not.to.throw()
    })

    it('are refused if they fit in total but not in the racks, with the demands of each workspace', () => {
      const workspaces = [guaranteed('a', { shape: gang(10, 'rack') }), guaranteed('b', { shape: gang(12, 'rack'), count: 2 })]
      const faults = faultsOf({ workspaces })
      expect(faults.map(({ path }) => path)).to.deep.equal(Array(3).fill('workspaces[0].guarantees[0]'))
      expect(faults[0]?.detail).to.contain('Cell praha').and.to.contain('a 1 x (').and.to.contain('b 2 x (')
        .and.to.contain('34 accelerators').and.to.contain('has 32 slots and 32 accelerators in 2 racks')
    })

    it('count slots of gang members too', () => {
      const workspaces = [guaranteed('a', { shape: gang(16, 'rack', { slots: 8 }) }), guaranteed('b', { shape: { slots: 1 }, count: 17 })]
      expect(faultsOf({ workspaces }).map(({ rule }) => rule)).to.include('guarantees-together')
    })

    it('apply only to the cells of their workspace', () => {
      const workspaces = [
        workspace('a', { cells: ['praha'], guarantees: [{ shape: gang(32, 'neighbouring-racks') }] }),
        workspace('b', { cells: ['plzen', 'liberec'], guarantees: [{ shape: gang(32, 'neighbouring-racks') }] })
      ]
      expect(() => buildDocument({ workspaces })).not.to.throw()
    })
  })
})

describe('shapeFitsCell', () => {
  const document = buildDocument({ cells: [cell('praha'), smallCell('plzen')] })
  const SHAPES = [
    { slots: 8, accelerators: 0, adjacency: 'server', fits: [true, true] },
    { slots: 9, accelerators: 0, adjacency: 'server', fits: [false, false] },
    { slots: 1, accelerators: 8, adjacency: 'server', fits: [true, true] },
    { slots: 1, accelerators: 9, adjacency: 'server', fits: [false, false] },
    { slots: 1, accelerators: 16, adjacency: 'rack', fits: [true, false] },
    { slots: 1, accelerators: 17, adjacency: 'rack', fits: [false, false] },
    { slots: 1, accelerators: 32, adjacency: 'neighbouring-racks', fits: [true, false] },
    { slots: 1, accelerators: 33, adjacency: 'neighbouring-racks', fits: [false, false] },
    { slots: 9, accelerators: 1, adjacency: 'neighbouring-racks', fits: [false, false] }
  ] as const
  for (const { fits, ...shape } of SHAPES) {
    it(`is ${fits.join(' and ')} for ${shape.slots} slots and ${shape.accelerators} accelerators within ${shape.adjacency}`, () => {
      expect(document.cells.map(declared => shapeFitsCell(shape, declared))).to.deep.equal(fits)
      expect(shapeFitsAnywhere(shape, document)).to.equal((fits as readonly boolean[]).includes(true))
    })
  }
})
