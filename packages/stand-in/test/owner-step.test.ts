import { emptyLedger, type Transition } from '@cornelgauge/coordination'
import { parseDocument } from '@cornelgauge/environment'
import { backendServerName, documentVersion, epoch, rackName, sequenceNumber, vmName } from '@cornelgauge/model'
import type { WatchResponse } from '@cornelgauge/ports'
import { createOwner, step, type CallId, type OwnerEffect, type OwnerEvent, type OwnerState } from '@cornelgauge/scheduler'
import { expect } from 'chai'
import { swap } from '../src/builders.js'
import { DOCUMENT_TEXT } from '../src/document-text.js'
import { CELL } from '../src/rig.js'

const SERVER = backendServerName('server-0')
const START_WALL = 1_800_000_000_000

/** An owner whose step is called directly; each event advances the clock by 100 ms. */
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

  dispatch (...events: readonly OwnerEvent[]): this {
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

  /** Number of executions that the last watch acknowledges, so that the backend server may discard them. */
  get acknowledged (): number {
    return this.effects.reduce((count, effect) => effect.type === 'watch' ? effect.acknowledged.length : count, 0)
  }
}

const serverListed: OwnerEvent = { type: 'servers', servers: [{ description: { name: SERVER, rack: rackName('praha-rack-1'), rackPosition: 0, slots: 8, accelerators: 8 }, address: '', leaving: false }] }

const watchAnswered = (incarnation: string, changes: Partial<WatchResponse> = {}): OwnerEvent =>
  ({ type: 'watched', server: SERVER, answer: { reports: [], cursor: 1, leaving: false, incarnation, usage: { slots: 0, accelerators: 0, measuredAt: 0 }, ...changes } })

const submitted = (owner: SteppedOwner, key: string): OwnerEvent =>
  ({ type: 'submit', call: 1 as CallId, submission: swap(key, owner.now), waitUntil: 1e9 })

describe('the step of an owner', () => {
  it('assigns work to a backend server that restarted between two watches', () => {
    const owner = new SteppedOwner().dispatch(serverListed, watchAnswered('incarnation-1'), watchAnswered('incarnation-2'))
    owner.dispatch(submitted(owner, 'swap-1'))
    expect(owner.committing.map(transition => transition.type)).to.deep.equal(['accepted', 'intent'])
  })

  it('acknowledges an ended execution in every watch until one with the acknowledgement has been answered', () => {
    const owner = new SteppedOwner().dispatch(serverListed, watchAnswered('incarnation-1'))
    owner.dispatch(submitted(owner, 'swap-1'), { type: 'committed', sequence: sequenceNumber(1) })
    owner.dispatch(watchAnswered('incarnation-1', { reports: [{ request: 'ustredi/swap-1' as never, attempt: 1, state: 'finished', answer: 'null' }] }))
    owner.dispatch({ type: 'committed', sequence: sequenceNumber(2) }, watchAnswered('incarnation-1'))
    expect(owner.acknowledged).to.equal(1)
    owner.dispatch({ type: 'watch-failed', server: SERVER, code: 'timeout' }, { type: 'tick' }, { type: 'tick' }, { type: 'tick' })
    expect(owner.acknowledged).to.equal(1)
    owner.dispatch(watchAnswered('incarnation-1'))
    expect(owner.acknowledged).to.equal(0)
  })
})
