import { digest, digestOf, documentVersion } from '@cornelgauge/model'
import { expect } from 'chai'
import { formatEntityTag, matchesEntityTag, nextHead, parseEntityTag, promote, type DocumentHead } from '../src/index.js'
import { documentText, failureOf, workspace } from './builders.js'

const AUTHORSHIP = { appliedBy: 'operator', appliedAt: 1_000 }
const FIRST_TEXT = documentText()
const SECOND_TEXT = documentText({ workspaces: [workspace('ustredi', { weight: 2 }), workspace('pobocky')] })
const MOVED_TEXT = documentText({ generation: 2 })

const first = (): DocumentHead => nextHead(undefined, FIRST_TEXT, undefined, AUTHORSHIP)
const second = (): DocumentHead => nextHead(first(), SECOND_TEXT, documentVersion(1), AUTHORSHIP)

describe('nextHead', () => {
  it('starts at version 1 and increments it', () => {
    expect(first()).to.deep.equal({ version: 1, digest: digestOf(FIRST_TEXT), text: FIRST_TEXT, ...AUTHORSHIP })
    expect(second().version).to.equal(2)
  })

  it('reports the current version and the difference on a conflict', () => {
    const failure = failureOf(() => nextHead(second(), FIRST_TEXT, documentVersion(1), AUTHORSHIP))
    expect(failure.code).to.equal('version-conflict')
    expect(failure.members).to.deep.equal({ currentVersion: 2, difference: ['~ workspaces.ustredi.weight: 2 -> 1'] })
  })

  it('refuses a first document if there is one already, and a change if there is none', () => {
    expect(failureOf(() => nextHead(first(), FIRST_TEXT, undefined, AUTHORSHIP)).code).to.equal('version-conflict')
    expect(failureOf(() => nextHead(undefined, FIRST_TEXT, documentVersion(1), AUTHORSHIP)).members).to.deep.equal({ currentVersion: null, difference: [] })
  })

  it('refuses faulty text and text that is not allowed to replace the document in force', () => {
    expect(failureOf(() => nextHead(undefined, 'name: x', undefined, AUTHORSHIP)).code).to.equal('invalid-document')
    expect(failureOf(() => nextHead(first(), MOVED_TEXT, documentVersion(1), AUTHORSHIP)).members.faults).to.have.lengthOf(1)
  })
})

describe('promote', () => {
  it('applies the exact bytes in force in trial to production', () => {
    const trial = second()
    expect(promote(trial, undefined, trial.digest, AUTHORSHIP)).to.deep.include({ version: 1, text: SECOND_TEXT, digest: trial.digest })
    expect(promote(trial, first(), trial.digest, AUTHORSHIP).version).to.equal(2)
  })

  it('refuses any other digest', () => {
    expect(failureOf(() => promote(second(), undefined, first().digest, AUTHORSHIP)).code).to.equal('promotion-refused')
    expect(failureOf(() => promote(undefined, undefined, digest('0'), AUTHORSHIP)).code).to.equal('promotion-refused')
  })

  it('refuses a trial head whose text does not have its digest', () => {
    const damaged = { ...first(), text: SECOND_TEXT }
    expect(failureOf(() => promote(damaged, undefined, damaged.digest, AUTHORSHIP)).code).to.equal('promotion-refused')
  })

  it('changes nothing when repeated', () => {
    const trial = second()
    const production = promote(trial, undefined, trial.digest, AUTHORSHIP)
    expect(promote(trial, production, trial.digest, { appliedBy: 'other', appliedAt: 9 })).to.equal(production)
  })

  it('refuses a document that is not allowed to replace the one in production', () => {
    const moved = nextHead(undefined, MOVED_TEXT, undefined, AUTHORSHIP)
    expect(failureOf(() => promote(moved, first(), moved.digest, AUTHORSHIP)).code).to.equal('invalid-document')
  })
})

describe('entity tags', () => {
  it('contain the version and the start of the digest', () => {
    const head = first()
    expect(formatEntityTag(head)).to.equal(`"1-${head.digest.slice(0, 16)}"`)
    expect(parseEntityTag(formatEntityTag(head))).to.deep.equal({ version: 1, digestStart: head.digest.slice(0, 16) })
    expect(matchesEntityTag(parseEntityTag(formatEntityTag(head)), head)).to.equal(true)
    expect(matchesEntityTag(parseEntityTag(formatEntityTag(head)), { ...head, digest: second().digest })).to.equal(false)
    expect(matchesEntityTag(parseEntityTag(formatEntityTag(head)), { ...head, version: documentVersion(2) })).to.equal(false)
  })

  for (const text of ['', '*', '1-0123456789abcdef', '"0-0123456789abcdef"', '"1-0123"', 'W/"1-0123456789abcdef"', '"x"']) {
    it(`are not parsed from ${text === '' ? 'an empty text' : text}`, () => {
      expect(parseEntityTag(text)).to.equal(undefined)
    })
  }
})
