import { kindName } from '@cornelgauge/model'
import { expect } from 'chai'
import fc from 'fast-check'
import type { Adjacency, Shape } from '@cornelgauge/model'
import { shapeFitsAnywhere, type CellDeclaration } from '../src/index.js'
import { unplaceable } from '../src/capacity.js'
import { buildDocument, cell, rack } from './builders.js'

const SEED = 20262
const ADJACENCIES: readonly Adjacency[] = ['server', 'rack', 'neighbouring-racks']

interface Server { readonly rack: number, readonly slots: number, readonly accelerators: number }

/** All ways to place the shape on the servers, each as the servers with their remaining capacity; exponential, for tiny cells only. */
function * placements (servers: readonly Server[], shape: Shape): Generator<readonly Server[]> {
  const subsets = 2 ** servers.length
  for (let subset = 1; subset < subsets; subset += 1) {
    const chosen = servers.map((_, index) => (subset & (1 << index)) !== 0)
    const members = servers.filter((_, index) => chosen[index])
    if (members.some(member => member.slots < shape.slots)) continue
    if (shape.accelerators === 0 || shape.adjacency === 'server') {
      if (members.length > 1) continue
    } else if (shape.adjacency === 'rack' && new Set(members.map(member => member.rack)).size > 1) continue
    yield * splits(servers, chosen, shape, 0, shape.accelerators)
  }
}

function * splits (servers: readonly Server[], chosen: readonly boolean[], shape: Shape, index: number, missing: number): Generator<readonly Server[]> {
  const server = servers[index]
  if (server === undefined) {
    if (missing === 0) yield []
    return
  }
  const least = chosen[index] === true && shape.accelerators > 0 ? 1 : 0
  const most = chosen[index] === true ? Math.min(server.accelerators, missing) : 0
  for (let taken = least; taken <= most; taken += 1) {
    const left = { ...server, slots: server.slots - (chosen[index] === true ? shape.slots : 0), accelerators: server.accelerators - taken }
    for (const others of splits(servers, chosen, shape, index + 1, missing - taken)) yield [left, ...others]
  }
}

const holdsAll = (servers: readonly Server[], shapes: readonly Shape[]): boolean => {
  const [shape, ...others] = shapes
  if (shape === undefined) return true
  for (const left of placements(servers, shape)) if (holdsAll(left, others)) return true
  return false
}

const serversOf = (declared: CellDeclaration): readonly Server[] => declared.racks.flatMap((declaration, index) =>
  Array.from({ length: declaration.servers }, () => ({ rack: index, slots: declaration.slotsPerServer, accelerators: declaration.acceleratorsPerServer })))

const shapes = fc.record({ slots: fc.integer({ min: 1, max: 2 }), accelerators: fc.integer({ min: 0, max: 4 }), adjacency: fc.constantFrom(...ADJACENCIES) })
const tinyCell = (sizes: ReadonlyArray<readonly [servers: number, slots: number, accelerators: number]>): CellDeclaration =>
  buildDocument({
    cells: [cell('praha', { racks: sizes.map(([servers, slotsPerServer, acceleratorsPerServer], index) => rack(`rack-${index}`, { servers, slotsPerServer, acceleratorsPerServer })) })]
  }).cells[0] as CellDeclaration
const sizes = fc.array(fc.tuple(fc.integer({ min: 1, max: 2 }), fc.integer({ min: 1, max: 3 }), fc.integer({ min: 0, max: 3 })), { minLength: 1, maxLength: 2 })

describe('unplaceable', () => {
  it('accepts only shapes that an exact search can place at the same time', () => {
    fc.assert(fc.property(sizes, fc.array(shapes, { maxLength: 4 }), (given, wanted) => {
      const declared = tinyCell(given)
      if (unplaceable(wanted.map(shape => ({ shape, count: 1 })), declared).length > 0) return
      expect(holdsAll(serversOf(declared), wanted)).to.equal(true)
    }), { seed: SEED, numRuns: 300 })
  })

  it('refuses a single shape only if an exact search finds no placement', () => {
    fc.assert(fc.property(sizes, shapes, (given, shape) => {
      const declared = tinyCell(given)
      expect(unplaceable([{ shape, count: 1 }], declared).length === 0).to.equal(holdsAll(serversOf(declared), [shape]))
    }), { seed: SEED, numRuns: 300 })
  })

  it('keeps complete racks free for shapes that need them', () => {
    const declared = tinyCell([[8, 8, 8], [2, 8, 8]])
    const wanted = [{ shape: { slots: 1, accelerators: 16, adjacency: 'rack' as const }, count: 5 }]
    expect(unplaceable(wanted, declared)).to.deep.equal([])
    expect(unplaceable([{ ...wanted[0], count: 6 }] as typeof wanted, declared)).to.have.lengthOf(1)
  })

  it('uses the tightest rack, so that larger ones stay free', () => {
    const wanted = [16, 12, 12].map(accelerators => ({ shape: { slots: 1, accelerators, adjacency: 'rack' as const }, count: 1 }))
    expect(unplaceable(wanted, tinyCell([[3, 8, 8], [2, 8, 8]]))).to.deep.equal([])
  })

  it('allocates slots on no more backend servers than a gang needs', () => {
    const wanted = [{ shape: { slots: 8, accelerators: 16, adjacency: 'rack' as const }, count: 1 }, { shape: { slots: 8, accelerators: 0, adjacency: 'server' as const }, count: 1 }]
    expect(unplaceable(wanted, tinyCell([[3, 8, 8]]))).to.deep.equal([])
  })

  it('refuses a huge count without placing it one by one', () => {
    expect(unplaceable([{ shape: { slots: 1, accelerators: 0, adjacency: 'server' }, count: 1e9 }], tinyCell([[2, 8, 8]]))).to.have.lengthOf(1)
  })
})

describe('shapeFitsAnywhere', () => {
  it('depends only on the cells of the document', () => {
    const document = buildDocument()
    const other = { ...document, kinds: document.kinds.map(kind => ({ ...kind, name: kindName('other') })), workspaces: [] }
    fc.assert(fc.property(shapes, shape => {
      expect(shapeFitsAnywhere(shape, other)).to.equal(shapeFitsAnywhere(shape, document))
    }), { seed: SEED })
  })
})
