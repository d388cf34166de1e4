import { epoch, vmName, type Epoch } from '@cornelgauge/model'
import { MemoryRowStore, type RowTransaction, type WriteOutcome } from '@cornelgauge/ports'
import { expect } from 'chai'
import { RECORDED_PERIOD_MILLISECONDS, REPLACED_OWNER_START_MILLISECONDS, UNRECORDED_START_CONFIRMATION_MILLISECONDS } from '../src/limits.js'
import { claimOwnership, NO_OWNER, readOwner, type OwnerRecord } from '../src/owner-record.js'
import { RecordedStarts, recordedPeriodIn, unrecordedUpTo, type RecordedPeriod } from '../src/recorded-starts.js'
import { readTable } from '../src/table-reader.js'
import { OWNER_TABLE, RECORDED_PERIOD_KEY } from '../src/tables.js'

/** How far the store's clock is ahead of the owner's. */
const STORE_CLOCK_OFFSET = 5_000_000

describe('the period in which all starts are recorded', () => {
  let now: number
  let rows: MemoryRowStore
  let owner: OwnerRecord
  let lastUnrecorded: Epoch | undefined
  let confirmedAge: number
  let write: ((transaction: RowTransaction) => Promise<WriteOutcome>) | undefined

  const period = async (): Promise<RecordedPeriod | undefined> => recordedPeriodIn((await readTable(rows.view(), OWNER_TABLE)).rows)
  const recordedStarts = (): RecordedStarts => {
    const view = rows.view()
    const store = write === undefined ? view : Object.assign(view, { write })
    return new RecordedStarts({ store, owner, unrecordedUpTo: () => lastUnrecorded, confirmedAge: () => confirmedAge, now: () => now })
  }
  const claim = async (): Promise<OwnerRecord> => await claimOwnership(rows.view(), await readOwner(rows.view()) ?? NO_OWNER, { vm: vmName('vm-a'), address: '10.0.0.1:7000' })

  beforeEach(async () => {
    now = 1000
    rows = new MemoryRowStore(() => STORE_CLOCK_OFFSET + now)
    owner = await claim()
    lastUnrecorded = epoch(0)
    confirmedAge = 0
    write = undefined
  })

  it('ends a fixed time after the owner last stored it', async () => {
    await recordedStarts().confirm()
    const { under, until } = (await period())!
    expect(under).to.equal(owner.epoch)
    expect(until).to.equal(STORE_CLOCK_OFFSET + now + RECORDED_PERIOD_MILLISECONDS)
  })

  it('is not stored while starts of its owner are missing in the record', async () => {
    lastUnrecorded = undefined
    await recordedStarts().confirm()
    expect(await period()).to.equal(undefined)
  })

  it('is stored by no owner that was replaced', async () => {
    const replaced = recordedStarts()
    await claim()
    const failure = await replaced.confirm().then(() => undefined, thrown => thrown as { code: string })
    expect(failure?.code).to.equal('stale-epoch')
    expect(await period()).to.equal(undefined)
  })

  describe('lets its owner send a start that isn\'t recorded', () => {
    it('only once it has ended', () => {
      const starts = recordedStarts()
      now += RECORDED_PERIOD_MILLISECONDS - 1
      expect(starts.mayStartUnrecorded).to.equal(false)
      now += 1
      expect(starts.mayStartUnrecorded).to.equal(true)
    })

    it('not while a write without an answer may have moved its end on', async () => {
      write = async () => { throw new Error('No answer') }
      const starts = recordedStarts()
      now += 3000
      await starts.confirm().catch(() => {})
      now += RECORDED_PERIOD_MILLISECONDS - 1
      expect(starts.mayStartUnrecorded).to.equal(false)
    })

    it('only while most members follow it', () => {
      const starts = recordedStarts()
      now += RECORDED_PERIOD_MILLISECONDS
      confirmedAge = UNRECORDED_START_CONFIRMATION_MILLISECONDS
      expect(starts.mayStartUnrecorded).to.equal(false)
    })
  })

  describe('tells a new owner', () => {
    const stored: RecordedPeriod = { under: epoch(3), until: 20_000, unrecordedUpTo: epoch(2) }
    const successor = (recordedSince?: number): OwnerRecord => ({ vm: vmName('vm-b'), address: '10.0.0.2:7000', epoch: epoch(5), claim: 'claim', version: 9, ...(recordedSince === undefined ? {} : { recordedSince: epoch(recordedSince) }) })
    const clockAt = (milliseconds: number): { milliseconds: number, sentAt: number, receivedAt: number } => ({ milliseconds, sentAt: 0, receivedAt: 5 })
    const inTime = clockAt(20_000 - REPLACED_OWNER_START_MILLISECONDS - 1)

    const cases: readonly (readonly [title: string, expected: number, ...Parameters<typeof unrecordedUpTo>])[] = [
      ['which starts may be missing if it claimed before the end', 2, stored, successor(3), inTime],
      ['that none is missing if it claimed before the end', 0, { ...stored, unrecordedUpTo: epoch(0) }, successor(3), inTime],
      ['nothing if an owner that it has replaced may have gone on after the end', 4, stored, successor(3), clockAt(inTime.milliseconds + 1)],
      ['nothing if owners of an earlier release have followed', 4, stored, successor(4), inTime],
      ['nothing if the last owner was of an earlier release', 4, stored, successor(), inTime],
      ['nothing if the period ends later than any that was stored before the claim', 4, { ...stored, until: inTime.milliseconds + RECORDED_PERIOD_MILLISECONDS + 2 }, successor(3), inTime],
      ['nothing if the period is of its own epoch', 4, { ...stored, under: epoch(5) }, successor(3), inTime],
      ['nothing if none is stored', 4, undefined, successor(3), inTime],
      ['nothing if the store gives no time', 4, stored, successor(3), undefined]
    ]
    for (const [title, expected, ...parameters] of cases) it(title, () => { expect(unrecordedUpTo(...parameters)).to.equal(expected) })
  })

  it('says which earlier starts may be missing', async () => {
    owner = await claim()
    lastUnrecorded = epoch(1)
    await recordedStarts().confirm()
    expect(await period()).to.include({ under: 2, unrecordedUpTo: 1 })
  })

  const odd: readonly unknown[] = [{}, { under: 1 }, ...[{ under: -1 }, { under: 1.5 }, { under: '1' }, { until: 'later' }, { until: Infinity }, { unrecordedUpTo: -1 }, { unrecordedUpTo: 0.5 }, { unrecordedUpTo: 2 }, { unrecordedUpTo: undefined }].map(fields => ({ under: 2, until: 5, unrecordedUpTo: 1, ...fields }))]
  for (const value of odd) {
    it(`is unknown if its row is ${JSON.stringify(value)}`, () => {
      expect(recordedPeriodIn([{ key: RECORDED_PERIOD_KEY, value: value as Record<string, never>, version: 1 }])).to.equal(undefined)
    })
  }
})
