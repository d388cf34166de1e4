import { emptyLedger, type Transition } from '@cornelgauge/coordination'
import { parseDocument } from '@cornelgauge/environment'
import { backendServerName, documentVersion, epoch, rackName, sequenceNumber, vmName } from '@cornelgauge/model'
import type { WatchAnswer } from '@cornelgauge/ports'
import { createOwner, step, type CallId, type OwnerEffect, type OwnerEvent, type OwnerState } from '@cornelgauge/scheduler'
import { expect } from 'chai'
import { swap } from '../src/builders.js'
import { DOCUMENT_TEXT } from '../src/document-text.js'
import { CELL } from '../src/rig.js'

const SERVER = backendServerName('server-0')
const START_WALL = 1_800_000_000_000

/** One owner, stepped by hand; time passes by 100 ms with each event. */
class SteppedOwner {
  #state: OwnerState
  #monotonic = 0
  effects: readonly OwnerEffect[] = []

  constructor () {
    const { document } = parseDocument(DOCUMENT_TEXT)
    this.#state = createOwner({ cell: CELL, vm: vmName('vm-1'), epoch: epoch(1), document, documentVersion: documentVersion(1), ledger: emptyLedger(), nextSequence: sequenceNumber(1), snapshotSequence: sequenceNumber(0), monotonic: 0, leaseValidUntil: 1e9 })
  }

  get now (): number {
    return START_WALL + this.#monotonic
  }

  take (...events: readonly OwnerEvent[]): this {
    for (const event of events) {
      this.#monotonic += 100
      const result = step(this.#state, event, { wall: this.now, monotonic: this.#monotonic })
      this.#state = result.state
      this.effects = result.effects
    }
    return this
  }

  /** The transitions of the commit that the last event started. */
  get committing (): readonly Transition[] {
    return this.effects.flatMap(effect => effect.type === 'commit' ? effect.transitions : [])
  }

  /** What the last watch lets the backend server forget. */
  get acknowledged (): number {
    return this.effects.reduce((count, effect) => effect.type === 'watch' ? effect.acknowledged.length : count, 0)
  }
}

const listed: OwnerEvent = { type: 'servers', servers: [{ description: { name: SERVER, rack: rackName('praha-rack-1'), rackPosition: 0, slots: 8, accelerators: 8 }, address: '', leaving: false }] }

const watchedWith = (incarnation: string, changes: Partial<WatchAnswer> = {}): OwnerEvent =>
  ({ type: 'watched', server: SERVER, answer: { reports: [], cursor: 1, leaving: false, incarnation, usage: { slots: 0, accelerators: 0, measuredAt: 0 }, ...changes } })

const submitted = (owner: SteppedOwner, key: string): OwnerEvent =>
  ({ type: 'submit', call: 1 as CallId, submission: swap(key, owner.now), waitUntil: 1e9 })

describe('the step of an owner', () => {
  it('gives work to a backend server that restarted between two watches', () => {
    const owner = new SteppedOwner().take(listed, watchedWith('life-1'), watchedWith('life-2'))
    owner.take(submitted(owner, 'swap-1'))
    expect(owner.committing.map(transition => transition.type)).to.deep.equal(['accepted', 'intent'])
  })

  it('acknowledges an ended execution until a watch that says so has been answered', () => {
    const owner = new SteppedOwner().take(listed, watchedWith('life-1'))
    owner.take(submitted(owner, 'swap-1'), { type: 'committed', sequence: sequenceNumber(1) })
    owner.take(watchedWith('life-1', { reports: [{ request: 'ustredi/swap-1' as never, attempt: 1, state: 'finished', answer: 'null' }] }))
    owner.take({ type: 'committed', sequence: sequenceNumber(2) }, watchedWith('life-1'))
    expect(owner.acknowledged).to.equal(1)
    owner.take({ type: 'watch-failed', server: SERVER, code: 'timeout' }, { type: 'tick' }, { type: 'tick' }, { type: 'tick' })
    expect(owner.acknowledged).to.equal(1)
    owner.take(watchedWith('life-1'))
    expect(owner.acknowledged).to.equal(0)
  })
})
