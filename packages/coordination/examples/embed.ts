/**
 * A replicated counter over any table service, which survives the loss of its VM: one
 * cell with a lease and a journal, and a document that sets the largest increment.
 * `node dist/examples/embed.js` runs it.
 */
import { randomUUID } from 'node:crypto'
import { pathToFileURL } from 'node:url'
import {
  claimCell, recordRenewalConfirmed, DocumentFollower, GroupCommitter, isLeaseValid, openLease, pause, readOwnerRow, recover,
  releaseCell, RENEWAL_MILLISECONDS, renewCell, seededRandom, type Stores
} from '@cornelgauge/coordination'
import { cellName, CornelgaugeError, digestOf, vmName } from '@cornelgauge/model'
import { MemoryObjectStore, MemoryTableService, systemClock as clock } from '@cornelgauge/ports'

const CELL = cellName('counter')
const options = { clock, random: seededRandom(1), signal: new AbortController().signal }
const sum = (amounts: readonly number[]) => amounts.reduce((total, amount) => total + amount, 0)

/** Claims the counter for a VM and recovers its total. Rejects with `not-owner` if another VM owns it. */
export async function openCounter (stores: Stores, vm: string) {
  const { table } = stores
  const claimant = { vm: vmName(vm), address: '127.0.0.1:7000', nonce: randomUUID() }
  const claimed = await claimCell(table, CELL, await readOwnerRow(table, CELL), claimant, options)
  if (claimed.type !== 'claimed') throw new CornelgaugeError('not-owner')
  const { claim } = claimed
  const { rows, nextSequence } = await recover<null, number>(stores, claim, options)
  let total = sum(rows.flatMap(({ entries }) => entries))
  let highestStep = 0
  let lease = openLease(claimed.sentAt)
  const onCommitted = (_sequence: number, amounts: readonly number[]) => { total += sum(amounts) }
  const committer = new GroupCommitter<number>({ ...options, table, claim, nextSequence, nonce: randomUUID, onCommitted })
  const onAdopted = ({ text }: { readonly text: string }) => { highestStep = Number(text) }
  const follower = new DocumentFollower({ table, environment: 'production', clock, onAdopted })
  await follower.start()
  const closed = new AbortController()
  const keepLease = async () => {
    await pause(clock, RENEWAL_MILLISECONDS, closed.signal)
    if (closed.signal.aborted) return
    const renewal = await renewCell(table, claim, clock.now)
    if (renewal.type === 'renewed') lease = recordRenewalConfirmed(lease, renewal.sentAt)
    keepLease()
  }
  keepLease()

  return {
    /** Returns the total. This involves no write that would be fenced, so it requires a valid lease. */
    total (): number {
      if (!isLeaseValid(lease, clock.now())) throw new CornelgaugeError('not-owner')
      return total
    },
    async add (amount: number): Promise<void> {
      if (amount > highestStep) throw new CornelgaugeError('invalid-request')
      await committer.append(amount)
    },
    async close (): Promise<void> {
      closed.abort()
      follower.stop()
      await committer.drain()
      await releaseCell(table, claim, options)
    }
  }
}

/** Runs the counter on three VMs in turn, each continuing from the total of the one before; returns the total on each. */
export async function run (): Promise<readonly number[]> {
  const stores: Stores = { table: new MemoryTableService(), objects: new MemoryObjectStore() }
  const value = { version: 1, text: '5', digest: digestOf('5'), appliedBy: 'operator', appliedAt: 0 }
  await stores.table.write({ conditions: [], operations: [{ type: 'put', table: 'documents', key: 'production', value }] })
  const totals: number[] = []
  for (const vm of ['vm-1', 'vm-2', 'vm-3']) {
    const counter = await openCounter(stores, vm)
    await Promise.all([counter.add(2), counter.add(3)])
    totals.push(counter.total())
    await counter.close()
  }
  return totals
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) console.log(await run())
