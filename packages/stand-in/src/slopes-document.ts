/**
 * Measures of environment documents: polling the head row for a new version, reading
 * documents of growing size in these polls, and parsing and checking a document to adopt
 * it.
 */
import { DocumentFollower, DOCUMENTS_TABLE } from '@cornelgauge/coordination'
import { parseDocument } from '@cornelgauge/environment'
import { digestOf } from '@cornelgauge/model'
import { MemoryTableService, VirtualClock, type RangeQuery, type Row, type TableService, type Transaction } from '@cornelgauge/ports'
import type { Measure } from './slopes-measure.js'
import { processorMilliseconds } from './slopes-meter.js'
import { documentText } from './slopes-owner-harness.js'

const ENVIRONMENT = 'production'
const SECONDS = 20
const SECOND_MILLISECONDS = 1000
const PARSES = 10
const textOf = (workspaces: number): string => documentText({ servers: 32, slots: 8, accelerators: 8, workspaces })

/** Counts the rows that are read by key, and their bytes as JSON. */
class CountingTable implements TableService {
  readonly #table: TableService
  bytes = 0
  reads = 0

  constructor (table: TableService) {
    this.#table = table
  }

  async read (table: string, key: string): Promise<Row | undefined> {
    const row = await this.#table.read(table, key)
    this.reads += 1
    this.bytes += JSON.stringify(row ?? null).length
    return row
  }

  range (query: RangeQuery): Promise<readonly Row[]> {
    return this.#table.range(query)
  }

  write (transaction: Transaction): Promise<void> {
    return this.#table.write(transaction)
  }
}

async function followCost (vms: number, workspaces: number): Promise<{ bytes: number, reads: number }> {
  const clock = new VirtualClock()
  const table = new CountingTable(new MemoryTableService(clock))
  const text = textOf(workspaces)
  const value = { version: 1, digest: digestOf(text), text, appliedBy: 'operator', appliedAt: 0 }
  await table.write({ conditions: [], operations: [{ type: 'put', table: DOCUMENTS_TABLE, key: ENVIRONMENT, value }] })
  const followers = Array.from({ length: vms }, () => new DocumentFollower({ table, environment: ENVIRONMENT, clock, onAdopted: () => {} }))
  await Promise.all(followers.map(follower => follower.start()))
  const before = { bytes: table.bytes, reads: table.reads }
  await clock.advance(SECONDS * SECOND_MILLISECONDS)
  followers.forEach(follower => { follower.stop() })
  return { bytes: (table.bytes - before.bytes) / SECONDS, reads: (table.reads - before.reads) / SECONDS }
}

/** The measures of documents. */
export const DOCUMENT_MEASURES: readonly Measure[] = [
  { name: 'document-follow', driver: 'VM with a document of 10 workspaces', sizes: [1, 2, 4, 8, 16], units: { bytes: 'bytes/s', reads: '1/s' }, repeats: 1, take: size => followCost(size, 10) },
  { name: 'document-size', driver: 'workspace in the document', sizes: [20, 40, 80, 120, 180], units: { bytes: 'bytes/s' }, repeats: 1, take: async size => ({ bytes: (await followCost(1, size)).bytes }) },
  {
    name: 'document-adopt',
    driver: 'workspace in the document',
    sizes: [20, 40, 80, 120, 180],
    units: { processor: 'ms' },
    repeats: 3,
    take: async size => {
      const text = textOf(size)
      const milliseconds = await processorMilliseconds(() => { for (let count = 0; count < PARSES; count++) parseDocument(text) })
      return { processor: milliseconds / PARSES }
    }
  }
]
