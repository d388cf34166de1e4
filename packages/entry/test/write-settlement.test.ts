import { expect } from 'chai'
import { nextWriteStep, type WriteKnowledge, type WriteStep } from '../src/write-settlement.js'

const OPEN = { undone: 250, unknown: 2000 }
const LATE = { undone: 0, unknown: 0 }
const UNDONE: WriteKnowledge = { outcome: 'undone', isStoreAway: false, millisecondsLeft: OPEN, canRelay: false }
const UNKNOWN: WriteKnowledge = { ...UNDONE, outcome: 'unknown' }

/** What is known, and the next step without and with another VM that reaches the store. */
const CASES: ReadonlyArray<readonly [string, WriteKnowledge, WriteStep, WriteStep]> = [
  ['nothing was carried out and the store answers', UNDONE, 'attempt', 'attempt'],
  ['nothing was carried out and the store is away', { ...UNDONE, isStoreAway: true }, 'refuse', 'relay'],
  ['the store has refused every attempt for long enough', { ...UNDONE, millisecondsLeft: { ...OPEN, undone: 0 } }, 'refuse', 'relay'],
  ['nothing was carried out and the time is over', { ...UNDONE, millisecondsLeft: LATE }, 'refuse', 'relay'],
  ['an attempt got no answer and the store answers', UNKNOWN, 'attempt', 'attempt'],
  ['an attempt got no answer, for longer than refused ones are repeated', { ...UNKNOWN, millisecondsLeft: { ...OPEN, undone: 0 } }, 'attempt', 'attempt'],
  ['an attempt got no answer and the store is away', { ...UNKNOWN, isStoreAway: true }, 'attempt', 'relay'],
  ['an attempt got no answer and the time is over', { ...UNKNOWN, millisecondsLeft: LATE }, 'report-unknown', 'relay'],
  ['an attempt got no answer, the time is over and the store is away', { ...UNKNOWN, isStoreAway: true, millisecondsLeft: LATE }, 'report-unknown', 'relay']
]

// The load: the callers of some seconds in which the store, or the way of one VM to it, is away.
describe('the next step for a write', () => {
  describe('without another VM that reaches the store', () => {
    for (const [name, knowledge, step] of CASES) it(`is to ${step} if ${name}`, () => expect(nextWriteStep(knowledge)).to.equal(step))
  })

  describe('with another VM that reaches it', () => {
    for (const [name, knowledge, , step] of CASES) it(`is to ${step} if ${name}`, () => expect(nextWriteStep({ ...knowledge, canRelay: true })).to.equal(step))
  })

  it('is never a refusal once an attempt may have been carried out', () => {
    for (const [, knowledge] of CASES) expect(nextWriteStep({ ...knowledge, outcome: 'unknown' })).not.to.equal('refuse')
  })
})
