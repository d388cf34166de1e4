import { cellName, vmName, type CellName, type VmName } from '@cornelgauge/model'
import { expect } from 'chai'
import {
  chooseActions, HANDOVER_STABILITY_MILLISECONDS, LEASE_MILLISECONDS, MAXIMUM_READ_GAP_MILLISECONDS, LONGEST_CLAIM_DELAY_MILLISECONDS, observeOwnerRow, openLease,
  rankCandidates, readOwnerRow, RENEWAL_MILLISECONDS, type Candidate, type OwnershipView, type LeaseWatch
} from '../src/index.js'
import { DOMAIN_PLZEN, DOMAIN_PRAHA, PRAHA, World } from './builders.js'

const place = { cell: PRAHA, failureDomain: DOMAIN_PRAHA }
const candidate = (name: string, change: Partial<Candidate> = {}): Candidate =>
  ({ vm: vmName(name), failureDomain: DOMAIN_PRAHA, leaving: false, liveSince: 0, ...change })
const inPraha = ['praha-1', 'praha-2', 'praha-3'].map(name => candidate(name))
const inPlzen = ['plzen-1', 'plzen-2'].map(name => candidate(name, { failureDomain: DOMAIN_PLZEN }))
const everyone = [...inPlzen, ...inPraha]
const ranked = rankCandidates(place, everyone)

function viewOf (self: Candidate, change: Partial<OwnershipView> = {}): OwnershipView {
  return {
    vm: self.vm,
    failureDomain: self.failureDomain,
    leaving: false,
    cells: [place],
    watches: new Map([[PRAHA, observeOwnerRow(undefined, undefined, 0)]]),
    candidates: everyone,
    held: new Map(),
    busy: new Set(),
    ...change
  }
}

const holding = (at = 0) => new Map([[PRAHA, openLease(at)]])

describe('choice of ownership actions', () => {
  describe('preference', () => {
    it('ranks the VMs of the cell\'s failure domain first', () => {
      expect(ranked.slice(0, 3).every(({ failureDomain }) => failureDomain === DOMAIN_PRAHA)).to.equal(true)
    })

    it('excludes leaving VMs without reordering the others', () => {
      const leaving = everyone.map(one => one.vm === ranked[0]!.vm ? { ...one, leaving: true } : one)
      expect(rankCandidates(place, leaving)).to.deep.equal(ranked.slice(1))
    })

    it('distributes many cells over the VMs of a failure domain', () => {
      const cells = Array.from({ length: 60 }, (_, number) => cellName(`cell-${number}`))
      const shares = new Map<VmName, number>()
      cells.map(cell => rankCandidates({ cell, failureDomain: DOMAIN_PRAHA }, everyone)[0]!.vm)
        .forEach(vm => shares.set(vm, (shares.get(vm) ?? 0) + 1))
      expect(shares.size).to.equal(3)
      expect(Math.max(...shares.values())).to.be.lessThan(30)
    })
  })

  describe('a free cell', () => {
    it('is claimed by the first VM immediately, by each other after a delay by rank', () => {
      ranked.forEach((self, rank) => {
        const claimDelay = Math.min(rank * 200, LONGEST_CLAIM_DELAY_MILLISECONDS)
        if (rank > 0) expect(chooseActions(viewOf(self), claimDelay - 1)).to.deep.equal([])
        expect(chooseActions(viewOf(self), claimDelay)[0]?.type).to.equal('claim')
      })
    })

    it('is claimed immediately by a VM that knows no other VM', () => {
      expect(chooseActions(viewOf(ranked[4]!, { candidates: [] }), 0)[0]?.type).to.equal('claim')
    })

    it('is not claimed by a VM that is leaving, has not read the row yet, or is busy with it', () => {
      const self = ranked[0]!
      expect(chooseActions(viewOf(self, { leaving: true }), 9999)).to.deep.equal([])
      expect(chooseActions(viewOf(self, { watches: new Map() }), 9999)).to.deep.equal([])
      expect(chooseActions(viewOf(self, { busy: new Set<CellName>([PRAHA]) }), 9999)).to.deep.equal([])
    })

    it('is also one whose lease has expired, unless the watcher has not read its row recently', async () => {
      const world = new World()
      await world.claim()
      const row = await readOwnerRow(world.backingTable, PRAHA)
      const readAt = (...times: readonly number[]) => {
        const watch = times.reduce<LeaseWatch | undefined>((before, time) => observeOwnerRow(before, row, time), undefined)
        return viewOf(ranked[0]!, { watches: new Map([[PRAHA, watch!]]) })
      }
      expect(chooseActions(readAt(0, 1000, 2000, LEASE_MILLISECONDS - 1), LEASE_MILLISECONDS - 1)).to.deep.equal([])
      expect(chooseActions(readAt(0, 1000, 2000, LEASE_MILLISECONDS), LEASE_MILLISECONDS)[0]?.type).to.equal('claim')
      const afterOutage = LEASE_MILLISECONDS + MAXIMUM_READ_GAP_MILLISECONDS
      expect(chooseActions(readAt(0, 1000), afterOutage)).to.deep.equal([])
      expect(chooseActions(readAt(0, 1000, afterOutage), afterOutage)).to.deep.equal([])
    })
  })

  describe('a held cell', () => {
    it('is renewed when the renewal interval has passed', () => {
      const view = viewOf(ranked[0]!, { held: holding() })
      expect(chooseActions(view, RENEWAL_MILLISECONDS - 1)).to.deep.equal([])
      expect(chooseActions(view, RENEWAL_MILLISECONDS)).to.deep.equal([{ type: 'renew', cell: PRAHA }])
    })

    it('is only renewed while it is being recovered or handed over', () => {
      const view = viewOf(ranked[0]!, { held: holding(), leaving: true, busy: new Set([PRAHA]) })
      expect(chooseActions(view, RENEWAL_MILLISECONDS - 1)).to.deep.equal([])
      expect(chooseActions(view, RENEWAL_MILLISECONDS)).to.deep.equal([{ type: 'renew', cell: PRAHA }])
    })

    it('of a leaving VM is handed over to the first ranked VM, or released if there is none', () => {
      const leaving = viewOf(ranked[0]!, { held: holding(), leaving: true })
      expect(chooseActions(leaving, 1)).to.deep.equal([{ type: 'hand-over', cell: PRAHA, to: ranked[1]!.vm }])
      expect(chooseActions({ ...leaving, candidates: [] }, 1)).to.deep.equal([{ type: 'hand-over', cell: PRAHA, to: null }])
    })

    it('is not handed over if another VM ranks higher by its hash only', () => {
      expect(chooseActions(viewOf(ranked[2]!, { held: holding(10 ** 6) }), 10 ** 6)).to.deep.equal([])
    })

    it('is handed over to a VM in its failure domain once that VM has been stable', () => {
      const view = viewOf(ranked[4]!, { held: holding(HANDOVER_STABILITY_MILLISECONDS) })
      expect(chooseActions(view, HANDOVER_STABILITY_MILLISECONDS - 1)).to.deep.equal([])
      const [action] = chooseActions(view, HANDOVER_STABILITY_MILLISECONDS)
      expect(action).to.deep.equal({ type: 'hand-over', cell: PRAHA, to: ranked[0]!.vm })
    })

    it('is not handed over to a flapping VM', () => {
      const flapping = inPraha.map(one => ({ ...one, liveSince: 90_000 }))
      const view = viewOf(ranked[4]!, { held: holding(100_000), candidates: [...inPlzen, ...flapping] })
      expect(chooseActions(view, 100_000)).to.deep.equal([])
    })
  })
})
