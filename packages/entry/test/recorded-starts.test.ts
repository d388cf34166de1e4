import { epoch, vmName } from '@cornelgauge/model'
import { MemoryRowStore, type RowTransaction, type WriteOutcome } from '@cornelgauge/ports'
import { expect } from 'chai'
import { RECORDED_PERIOD_MILLISECONDS, REPLACED_OWNER_START_MILLISECONDS, UNRECORDED_START_CONFIRMATION_MILLISECONDS } from '../src/limits.js'
import { claimOwnership, NO_OWNER, readOwner, type OwnerRecord } from '../src/owner-record.js'
import { areStartsRecorded, RecordedStarts, recordedPeriodIn, unrecordedStartsOf, type RecordedPeriod, type RecordedStartsOptions } from '../src/recorded-starts.js'
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
  const recordedStarts = (more: Partial<RecordedStartsOptions> = {}): RecordedStarts => {
    const view = rows.view()
    const store = write === undefined ? view : Object.assign(view, { write })
    return new RecordedStarts({ store, owner, isRecordComplete: () => isRecordComplete, confirmedAge: () => confirmedAge, now: () => now, ...more })
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

  describe('while only starts of earlier owners are missing', () => {
    const missing = { upTo: epoch(0), until: 8000 }
    const stored = async (): Promise<RecordedPeriod['unrecorded']> => (await period())?.unrecorded

    beforeEach(() => { isRecordComplete = false })

    it('is stored with these, and as none for earlier releases', async () => {
      await recordedStarts({ unrecordedStarts: () => missing }).confirm()
      expect(await period()).to.deep.equal({ under: owner.epoch, until: STORE_CLOCK_OFFSET + now + RECORDED_PERIOD_MILLISECONDS, unrecorded: { upTo: 0, until: STORE_CLOCK_OFFSET + 8000 + 1 } })
      const { rows: stored } = await readTable(rows.view(), OWNER_TABLE)
      expect(stored.find(({ key }) => key === RECORDED_PERIOD_KEY)!.value).not.to.have.property('until')
    })

    it('keeps the end of their runs as first stored', async () => {
      const starts = recordedStarts({ unrecordedStarts: () => missing })
      await starts.confirm()
      const first = await stored()
      now += 700
      await starts.confirm()
      expect(await stored()).to.deep.equal(first)
      await recordedStarts({ unrecordedStarts: () => ({ ...missing, until: 9000 }), inheritedStarts: first }).confirm()
      expect(await stored()).to.deep.equal(first)
    })

    it('is stored without these once they aren\'t missing any more', async () => {
      const starts = recordedStarts({ unrecordedStarts: () => missing })
      await starts.confirm()
      isRecordComplete = true
      await starts.confirm()
      expect(await stored()).to.equal(undefined)
    })

    it('is not stored while starts of this owner are missing too', async () => {
      await recordedStarts({ unrecordedStarts: () => undefined }).confirm()
      expect(await period()).to.equal(undefined)
    })
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

    const settledRows = new Map([
      ['0', { version: 1, ids: ['a'], settled: { upTo: epoch(1), ids: new Set(['a']) } }],
      ['1', { version: 1, ids: ['b', 'd'], settled: { upTo: epoch(2), ids: new Set(['b']) } }],
      ['2', { version: 1, ids: ['c'], settled: { upTo: epoch(3), ids: new Set(['c']) } }],
      ['3', { version: 1, ids: ['e'] }]
    ])

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
    for (const [title, expected, ...parameters] of cases) {
      it(title, () => { expect(areStartsRecorded(...parameters)).to.equal(expected) })
      it(`${title}; the same with some that are missing`, () => {
        const [known, owner, clock] = parameters
        const partial = known === undefined ? undefined : { ...known, unrecorded: { upTo: epoch(2), until: 21_000 } }
        expect(areStartsRecorded(partial, owner, clock)).to.equal(false)
        const starts = unrecordedStartsOf(partial, owner, { ids: new Set(), rows: settledRows, damaged: [], ...(clock === undefined ? {} : { clock }) })
        expect(starts).to.deep.equal(expected ? { upTo: 2, until: clock!.receivedAt + 21_000 - clock!.milliseconds, settledServers: new Set(['b', 'c']) } : undefined)
      })
    }
  })

  const odd: readonly unknown[] = [{}, { under: 1 }, { under: -1, until: 5 }, { under: 1.5, until: 5 }, { under: '1', until: 5 }, { under: 1, until: 'later' }, { under: 1, until: Infinity }, { under: 1, partialUntil: 5 }, { under: 1, partialUntil: 5, unrecordedUpTo: 1, unrecordedUntil: 5 }, { under: 1, partialUntil: 5, unrecordedUpTo: 0 }, { under: 1, partialUntil: 5, unrecordedUpTo: -1, unrecordedUntil: 5 }]
  for (const value of odd) {
    it(`is unknown if its row is ${JSON.stringify(value)}`, () => {
      expect(recordedPeriodIn([{ key: RECORDED_PERIOD_KEY, value: value as Record<string, never>, version: 1 }])).to.equal(undefined)
    })
  }
})
