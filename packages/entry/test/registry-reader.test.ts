import { serverId, type ServerEntry } from '@cornelgauge/jobs'
import type { RowValue } from '@cornelgauge/ports'
import { expect } from 'chai'
import { RegistryReader } from '../src/registry-reader.js'

describe('the reader of the registry', () => {
  const logged: unknown[] = []
  const readRegistry = (rows: ReadonlyMap<string, RowValue>): readonly ServerEntry[] =>
    [...rows].filter(([, row]) => row.isUsable === true).map(([id]) => ({ id: serverId(id) }) as ServerEntry)
  let reader: RegistryReader

  beforeEach(() => {
    logged.length = 0
    reader = new RegistryReader({ readRegistry }, (name, event) => { logged.push([name, (event?.details as { row?: string } | undefined)?.row]) })
  })

  it('returns the usable rows, and logs each version of another row once', () => {
    const rows = new Map<string, RowValue>([['i-0', { isUsable: true }], ['odd', {}]])
    for (let reads = 0; reads < 3; reads += 1) expect(reader.read(rows)).to.deep.equal({ entries: [{ id: 'i-0' }], unreadable: 1 })
    expect(logged).to.deep.equal([['registry-row-skipped', 'odd']])
    rows.set('odd', {})
    reader.read(rows)
    reader.read(rows)
    expect(logged).to.have.length(2)
  })
})
