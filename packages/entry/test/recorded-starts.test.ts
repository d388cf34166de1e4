import { epoch, vmName } from '@cornelgauge/model'
import { MemoryRowStore, type RowTransaction, type WriteOutcome } from '@cornelgauge/ports'
import { expect } from 'chai'
import { RECORDED_PERIOD_MILLISECONDS, REPLACED_OWNER_START_MILLISECONDS, UNRECORDED_START_CONFIRMATION_MILLISECONDS } from '../src/limits.js'
import { claimOwnership, NO_OWNER, readOwner, type OwnerRecord } from '../src/owner-record.js'
import { areStartsRecorded, RecordedStarts, recordedPeriodIn, type RecordedPeriod } from '../src/recorded-starts.js'
import { readTable } from '../src/table-reader.js'
import { OWNER_TABLE, RECORDED_PERIOD_KEY } from '../src/tables.js'

/** How far the store's clock is ahead of the owner's. */
const STORE_CLOCK_OFFSET = 5_000_000

describe('the period in which all starts are recorded', () => {
  let now: number
  let rows: MemoryRowStore
  let owner: OwnerRecord
  let isRecordComplete: boolean
  let confirmedAge: number
  let write: ((transaction: RowTransaction) => Promise<WriteOutcome>) | undefined

  const period = async (): Promise<RecordedPeriod | undefined> => recordedPeriodIn((await readTable(rows.view(), OWNER_TABLE)).rows)
  const recordedStarts = (): RecordedStarts => {
    const view = rows.view()
    const store = write === undefined ? view : Object.assign(view, { write })
    return new RecordedStarts({ store, owner, isRecordComplete: () => isRecordComplete, confirmedAge: () => confirmedAge, now: () => now })
  }
  const claim = async (): Promise<OwnerRecord> => await claimOwnership(rows.view(), await readOwner(rows.view()) ?? NO_OWNER, { vm: vmName('vm-a'), address: '10.0.0.1:7000' })

  beforeEach(async () => {
    now = 1000
    rows = new MemoryRowStore(() => STORE_CLOCK_OFFSET + now)
    owner = await claim()
    isRecordComplete = true
    confirmedAge = 0
    write = undefined
  })

  it('ends a fixed time after the owner last stored it', async () => {
    await recordedStarts().confirm()
    const { under, until } = (await period())!
    expect(under).to.equal(owner.epoch)
    expect(until).to.equal(STORE_CLOCK_OFFSET + now + RECORDED_PERIOD_MILLISECONDS)
  })

  it('is not stored while runs are missing in the record', async () => {
    isRecordComplete = false
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
    const stored: RecordedPeriod = { under: epoch(3), until: 20_000 }
    const successor = (recordedSince?: number): OwnerRecord => ({ vm: vmName('vm-b'), address: '10.0.0.2:7000', epoch: epoch(5), claim: 'claim', version: 9, ...(recordedSince === undefined ? {} : { recordedSince: epoch(recordedSince) }) })
    const clockAt = (milliseconds: number): { milliseconds: number, sentAt: number, receivedAt: number } => ({ milliseconds, sentAt: 0, receivedAt: 5 })
    const inTime = clockAt(20_000 - REPLACED_OWNER_START_MILLISECONDS - 1)

    const cases: readonly (readonly [title: string, expected: boolean, ...Parameters<typeof areStartsRecorded>])[] = [
      ['that all starts are recorded if it claimed before the end', true, stored, successor(3), inTime],
      ['nothing if an owner that it has replaced may have gone on after the end', false, stored, successor(3), clockAt(inTime.milliseconds + 1)],
      ['nothing if owners of an earlier release have followed', false, stored, successor(4), inTime],
      ['nothing if the last owner was of an earlier release', false, stored, successor(), inTime],
      ['nothing if the period ends later than any that was stored before the claim', false, { ...stored, until: inTime.milliseconds + RECORDED_PERIOD_MILLISECONDS + 2 }, successor(3), inTime],
      ['nothing if the period is of its own epoch', false, { ...stored, under: epoch(5) }, successor(3), inTime],
      ['nothing if none is stored', false, undefined, successor(3), inTime],
      ['nothing if the store gives no time', false, stored, successor(3), undefined]
    ]
    for (const [title, expected, ...parameters] of cases) it(title, () => { expect(areStartsRecorded(...parameters)).to.equal(expected) })
  })

  const odd: readonly unknown[] = [{}, { under: 1 }, { under: -1, until: 5 }, { under: 1.5, until: 5 }, { under: '1', until: 5 }, { under: 1, until: 'later' }, { under: 1, until: Infinity }]
  for (const value of odd) {
    it(`is unknown if its row is ${JSON.stringify(value)}`, () => {
      expect(recordedPeriodIn([{ key: RECORDED_PERIOD_KEY, value: value as Record<string, never>, version: 1 }])).to.equal(undefined)
    })
  }
})
