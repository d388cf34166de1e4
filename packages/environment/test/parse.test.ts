import { readFileSync } from 'node:fs'
import { CornelgaugeError, digestOf } from '@cornelgauge/model'
import { expect } from 'chai'
import fc from 'fast-check'
import { MAXIMUM_DOCUMENT_BYTES, parseDocument } from '../src/index.js'
import { buildDocument, documentText, faultsOf, faultsOfText, kind, workspace, writtenDocument } from './builders.js'

const example = (name: string): string =>
  readFileSync(new URL(`../../../../examples/${name}.yaml`, import.meta.url), 'utf8')

describe('parseDocument', () => {
  describe('the examples', () => {
    it('reads the document of Hlídka Knihoven', () => {
      const { document } = parseDocument(example('hlidka'))
      expect(document.cells.map(cell => cell.name)).to.deep.equal(['praha', 'plzen', 'liberec'])
      expect(document.kinds.map(({ name }) => name)).to.deep.equal(['shift-swap', 'availability-check', 'term-rota'])
      expect(document.workspaces.map(({ name }) => name)).to.deep.equal(['pobocky-praha', 'pobocky-plzen', 'pobocky-liberec', 'ustredi'])
    })

    it('reads the document of Silver Fare', () => {
      const { document } = parseDocument(example('silver-fare'))
      expect(document.cells.map(cell => cell.name)).to.deep.equal(['tas-hobart', 'tas-launceston', 'tas-burnie'])
      expect(document.kinds.map(({ name }) => name)).to.deep.equal(['renewal', 'eligibility-check', 'pass-reprint', 'proof-of-age-check'])
      expect(document.workspaces.map(({ name }) => name)).to.deep.equal(['hall-volunteers', 'library-counters', 'phone-line', 'night-batch'])
    })
  })

  describe('a valid text', () => {
    it('has the digest of its exact bytes', () => {
      const text = documentText()
      expect(parseDocument(text)).to.deep.include({ text, digest: digestOf(text) })
      expect(parseDocument(`${text}\n`).digest).not.to.equal(digestOf(text))
    })

    it('gives the same document as YAML, as JSON and as JSON indented by tabs', () => {
      const yaml = 'name: sample\ngeneration: 1\ncells: &c [{name: praha, region: cechy, failureDomain: praha, racks: [{name: r, servers: 1, slotsPerServer: 1}]}]\nkinds: [{name: check, idempotent: true, declaredMilliseconds: 5}]\nworkspaces: [{name: ustredi}]\n'
      const { document } = parseDocument(yaml)
      expect(parseDocument(JSON.stringify(document)).document).to.deep.equal(document)
      expect(parseDocument(JSON.stringify(document, null, '\t')).document).to.deep.equal(document)
    })

    it('gets default values for absent members', () => {
      const document = buildDocument()
      expect(document.times).to.deep.equal({ reclaimMilliseconds: 5_000, retentionMilliseconds: 3_600_000, taskLeaseMilliseconds: 30_000 })
      expect(document.workspaces[0]).to.deep.equal({ name: 'ustredi', weight: 1, cells: ['praha', 'plzen', 'liberec'], guarantees: [], maximumPending: 10_000 })
      expect(document.kinds[1]).to.deep.include({ shape: { slots: 1, accelerators: 0, adjacency: 'server' }, maximumAttempts: 3, minimumShare: 0, urgent: false })
    })

    it('allows a single attempt of work that is not idempotent', () => {
      expect(buildDocument().kinds[0]?.maximumAttempts).to.equal(1)
    })
  })

  describe('a text that cannot be read', () => {
    const TEXTS = [
      { title: 'an empty one', text: '', rule: 'type' },
      { title: 'a list', text: '[1]', rule: 'type' },
      { title: 'an open bracket', text: 'name: [a', rule: 'syntax', line: 1 },
      { title: 'a member twice', text: 'name: a\ngeneration: 1\nname: b\n', rule: 'duplicate-member', line: 3 },
      { title: 'an unknown tag', text: 'name: !secret a', rule: 'syntax', line: 1 },
      { title: 'two documents', text: 'name: a\n---\nname: b\n', rule: 'syntax', line: 2 },
      { title: 'a byte order mark', text: `\uFEFF${documentText()}`, rule: 'byte-order-mark', line: 1 },
      { title: 'an alias without its anchor', text: 'name: *missing', rule: 'syntax' },
      { title: 'deeply nested lists', text: '['.repeat(100_000), rule: 'size', line: 1 },
      { title: 'deeply nested block lists', text: '- '.repeat(100_000), rule: 'size', line: 1 },
      { title: 'deeply nested maps', text: Array.from({ length: 100 }, (_, level) => `${' '.repeat(level)}a:`).join('\n'), rule: 'size', line: 65 },
      { title: 'too many members', text: Array.from({ length: 50_000 }, (_, index) => `a${index}: 1`).join('\n'), rule: 'size', line: 101 },
      { title: 'too many members on one line', text: `{${Array.from({ length: 50_000 }, (_, index) => `a${index}: 1`).join(', ')}}`, rule: 'size', line: 1 },
      { title: 'a text over the size limit', text: `# ${'x'.repeat(MAXIMUM_DOCUMENT_BYTES)}`, rule: 'size' }
    ]
    for (const { title, text, rule, line } of TEXTS) {
      it(`is refused: ${title}`, () => {
        expect(faultsOfText(text)[0]).to.deep.include({ path: '', rule, ...(line === undefined ? {} : { line }) })
      })
    }

    it('is refused if its aliases expand exponentially', () => {
      const levels = Array.from({ length: 12 }, (_, level) => `l${level + 1}: &l${level + 1} [${Array(9).fill(`*l${level}`).join(', ')}]`)
      expect(faultsOfText(['l0: &l0 [x]', ...levels].join('\n'))[0]).to.deep.include({ rule: 'syntax' })
    })
  })

  describe('any text', () => {
    const YAML_PARTS = ['- ', ': ', '? ', '&a ', '*a', '[', ']', '{', '}', '\n', '  ', '"', "'", '|', '>', '#', '!!map ', '---', '...', '%', 'cells', 'name', '1', '\t', '<<']
    const texts = fc.oneof(
      fc.string(),
      fc.array(fc.constantFrom(...YAML_PARTS), { maxLength: 30 }).map(parts => parts.join('')),
      fc.json(),
      fc.tuple(fc.constantFrom('cells', 'kinds', 'workspaces', 'times', 'name', 'generation'), fc.jsonValue())
        .map(([member, value]) => JSON.stringify({ ...writtenDocument(), [member]: value }))
    )

    it('is either parsed or refused with faults', () => {
      fc.assert(fc.property(texts, text => {
        try {
          parseDocument(text)
        } catch (thrown) {
          expect(thrown).to.be.instanceOf(CornelgaugeError).and.to.deep.include({ code: 'invalid-document' })
          expect((thrown as CornelgaugeError).members.faults).to.be.an('array').that.is.not.empty
        }
      }), { seed: 20263, numRuns: 300 })
    })

    it('is refused if an anchor contains itself or a key is not a string', () => {
      for (const text of ['cells: &a [*a]', '? [a]\n: 1', '? {a: 1}\n: 1', '1: 2', 'null: 1', '<<: {name: a}']) {
        expect(faultsOfText(text)).not.to.deep.equal([])
      }
    })
  })

  describe('a text with faults', () => {
    const shape = (members: object) => ({ workspaces: [workspace('ustredi'), workspace('pobocky', { guarantees: [{ shape: members }] })] })
    const FAULTS = [
      { title: 'a misspelt member', members: { kindz: [] }, path: 'kindz', rule: 'unknown-member' },
      { title: 'a misspelt inner member', members: shape({ slot: 1 }), path: 'workspaces[1].guarantees[0].shape.slot', rule: 'unknown-member' },
      { title: 'an unknown adjacency', members: shape({ adjacency: 'near' }), path: 'workspaces[1].guarantees[0].shape.adjacency', rule: 'choice' },
      { title: 'no slots', members: shape({ slots: 0 }), path: 'workspaces[1].guarantees[0].shape.slots', rule: 'range' },
      { title: 'half an accelerator', members: shape({ accelerators: 0.5 }), path: 'workspaces[1].guarantees[0].shape.accelerators', rule: 'type' },
      { title: 'a missing member', members: { generation: undefined }, path: 'generation', rule: 'required' },
      { title: 'text for a number', members: { generation: '1' }, path: 'generation', rule: 'type' },
      { title: 'a name in capitals', members: { name: 'Sample' }, path: 'name', rule: 'name' },
      { title: 'a name with a slash', members: { workspaces: [workspace('a/b')] }, path: 'workspaces[0].name', rule: 'name' },
      { title: 'no cell', members: { cells: [] }, path: 'cells', rule: 'range' },
      { title: 'no kind', members: { kinds: [] }, path: 'kinds', rule: 'range' },
      { title: 'no workspace', members: { workspaces: [] }, path: 'workspaces', rule: 'range' },
      { title: 'a weight of 0', members: { workspaces: [workspace('a', { weight: 0 })] }, path: 'workspaces[0].weight', rule: 'range' },
      { title: 'a share over 1', members: { kinds: [kind('a', { minimumShare: 1.5 })] }, path: 'kinds[0].minimumShare', rule: 'range' },
      { title: 'a time of 0', members: { times: { reclaimMilliseconds: 0 } }, path: 'times.reclaimMilliseconds', rule: 'range' }
    ]
    for (const { title, members, path, rule } of FAULTS) {
      it(`is refused with its path: ${title}`, () => {
        expect(faultsOf(members).map(fault => ({ path: fault.path, rule: fault.rule }))).to.deep.include({ path, rule })
      })
    }

    it('lists all faults at once, including those between members', () => {
      const faults = faultsOf({ name: 'A', typo: 1, generation: 0, workspaces: [workspace('a'), workspace('a', { cells: ['brno'] })] })
      expect(faults.map(({ path }) => path)).to.have.members(['name', 'typo', 'generation', 'workspaces[1].name', 'workspaces[1].cells[0]'])
    })

    it('reports the line and column of each', () => {
      const text = 'name: sample\ngeneration: 1\ntimes:\n  reclaimMilliseconds: -5\n'
      const fault = faultsOfText(text).find(({ path }) => path === 'times.reclaimMilliseconds')
      expect(fault).to.deep.include({ line: 4, column: 24 })
    })

    it('handles names of the object prototype like other members', () => {
      const written = JSON.stringify(writtenDocument()).replace('{', '{"__proto__": {"name": "x"}, "constructor": 1,')
      expect(faultsOfText(written).map(({ path }) => path)).to.include('constructor')
    })
  })
})
