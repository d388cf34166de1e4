import { epoch, sequenceNumber } from '@cornelgauge/model'
import { expect } from 'chai'
import {
  recordRenewalConfirmed, claimableFrom, isClaimable, isLeaseValid, isRenewalDue, LEASE_MILLISECONDS, leaseEndsAt, observeOwnerRow, openLease,
  recordRenewalSent, type OwnerRow, type StoredOwnerRow
} from '../src/index.js'
import { PRAHA, VM_ONE } from './builders.js'

const stored = (version: number, change: Partial<OwnerRow> = {}): StoredOwnerRow => ({
  version,
  row: {
    cell: PRAHA,
    holder: VM_ONE,
    address: null,
    epoch: epoch(1),
    renewal: 0,
    nonce: 'n',
    snapshot: null,
    snapshotSequence: sequenceNumber(0),
    tail: sequenceNumber(1),
    released: false,
    ...change
  }
})

describe('lease', () => {
  describe('the holder', () => {
    it('measures from the time at which the last confirmed renewal was sent', () => {
      const lease = recordRenewalConfirmed(recordRenewalSent(openLease(0), 1000), 1000)
      expect(isLeaseValid(lease, leaseEndsAt(lease) - 1)).to.equal(true)
      expect(isLeaseValid(lease, leaseEndsAt(lease))).to.equal(false)
    })

    it('neither extends its lease by an unanswered renewal nor shortens it by a late answer', () => {
      const lease = recordRenewalConfirmed(recordRenewalSent(openLease(500), 1500), 200)
      expect(leaseEndsAt(lease)).to.equal(leaseEndsAt(openLease(500)))
      expect(isRenewalDue(lease, 2499)).to.equal(false)
      expect(isRenewalDue(lease, 2500)).to.equal(true)
    })

    it('ends its lease before a watcher that read the renewal immediately considers it expired', () => {
      const sentAt = 100
      const watch = observeOwnerRow(undefined, stored(1), sentAt)
      expect(leaseEndsAt(openLease(sentAt))).to.be.lessThan(claimableFrom(watch))
    })
  })

  describe('the watcher', () => {
    const watch = observeOwnerRow(undefined, stored(3), 1000)

    it('waits for a full lease after the last renewal that it read', () => {
      const renewed = observeOwnerRow(watch, stored(4, { renewal: 1 }), 2000)
      expect(isClaimable(renewed, 2000 + LEASE_MILLISECONDS - 1)).to.equal(false)
      expect(isClaimable(renewed, 2000 + LEASE_MILLISECONDS)).to.equal(true)
    })

    it('does not count a new snapshot as a renewal', () => {
      expect(observeOwnerRow(watch, stored(4, { snapshot: 'other' }), 2000).leaseRunsFrom).to.equal(1000)
    })

    it('ignores a row older than the last one read', () => {
      const renewed = observeOwnerRow(watch, stored(4, { renewal: 1 }), 2000)
      expect(observeOwnerRow(renewed, stored(3), 2500)).to.equal(renewed)
    })

    it('may immediately claim a cell that was released or never claimed', () => {
      expect(isClaimable(observeOwnerRow(watch, stored(4, { released: true, holder: null }), 1100), 1100)).to.equal(true)
      expect(isClaimable(observeOwnerRow(undefined, undefined, 5), 5)).to.equal(true)
    })
  })
})
