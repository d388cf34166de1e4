/** Measures of recovering a cell from its snapshot and its journal. */
import { applyTransitions, claimCell, commitRow, ledgerFromJson, ledgerToJson, recover, seededRandom, takeSnapshot, type CellClaim, type StoreCallOptions, type Transition } from '@cornelgauge/coordination'
import { cellName, CornelgaugeError, sequenceNumber, vmName, type RequestRecord } from '@cornelgauge/model'
import { MemoryObjectStore, MemoryTableService, systemClock, type Json } from '@cornelgauge/ports'
import type { Measure } from './slopes-measure.js'
import { processorMilliseconds } from './slopes-meter.js'
import { endedLedger, submission } from './slopes-owner-harness.js'

const CELL = cellName('cell-1')
const ROW_REQUESTS = 10
const MEGABYTE = 1_000_000

/** The in-memory services of one cell, and its claim. */
class JournalHarness {
  readonly table = new MemoryTableService()
  readonly objects = new MemoryObjectStore()
  readonly options: StoreCallOptions = { clock: systemClock, random: seededRandom(1), signal: new AbortController().signal }
  #claim: CellClaim | undefined

  get claim (): CellClaim {
    return this.#claim!
  }

  async open (): Promise<this> {
    const outcome = await claimCell(this.table, CELL, undefined, { vm: vmName('vm-1'), address: '127.0.0.1:1', nonce: 'claim' }, this.options)
    if (outcome.type !== 'claimed') throw new CornelgaugeError('internal', { detail: outcome.type })
    this.#claim = outcome.claim
    return this
  }

  async commit (rows: number): Promise<void> {
    for (let sequence = 1; sequence <= rows; sequence++) {
      const entries = Array.from({ length: ROW_REQUESTS }, (_, number): Transition => ({ type: 'accepted', submission: submission(`request-${sequence}-${number}`, 'short'), at: 0 }))
      await commitRow(this.table, this.claim, { sequence: sequenceNumber(sequence), entries: entries as unknown as Json[], nonce: `row-${sequence}` }, this.options)
    }
  }

  /** Recovers the ledger as a new owner does. */
  async recover (): Promise<number> {
    const { snapshot, rows } = await recover<Json, Json>(this, this.claim, this.options)
    const base = ledgerFromJson((snapshot?.content ?? []) as unknown as readonly RequestRecord[])
    return applyTransitions(base, rows.flatMap(row => row.entries) as unknown as readonly Transition[]).size
  }
}

async function rowsCost (rows: number): Promise<{ processor: number, rowBytes: number }> {
  const harness = await new JournalHarness().open()
  await harness.commit(rows)
  const [row] = await harness.table.range({ table: 'journal', limit: 1 })
  const processor = await processorMilliseconds(() => harness.recover())
  return { processor, rowBytes: rows * JSON.stringify(row!.value).length }
}

async function snapshotCost (requests: number): Promise<{ megabytes: number, take: number, recover: number }> {
  const harness = await new JournalHarness().open()
  await harness.commit(1)
  const content = ledgerToJson(endedLedger(requests)) as unknown as Json
  const take = await processorMilliseconds(() => takeSnapshot(harness, harness.claim, { sequence: sequenceNumber(1), content }, harness.options))
  const megabytes = JSON.stringify(content).length / MEGABYTE
  let recovered = 0
  const recoverMilliseconds = await processorMilliseconds(async () => { recovered = await harness.recover() })
  if (recovered !== requests) throw new CornelgaugeError('internal', { detail: `recovered ${recovered} requests of ${requests}` })
  return { megabytes, take, recover: recoverMilliseconds }
}

/** The measures of the journal. */
export const JOURNAL_MEASURES: readonly Measure[] = [
  { name: 'recovery-row', driver: `journal row of ${ROW_REQUESTS} requests`, sizes: [50, 100, 200, 300, 400], units: { processor: 'ms', rowBytes: 'bytes' }, repeats: 3, take: rowsCost },
  { name: 'snapshot', driver: 'request kept', sizes: [1000, 2000, 4000, 6000, 8000], units: { megabytes: 'MB', take: 'ms', recover: 'ms' }, repeats: 3, take: snapshotCost }
]
