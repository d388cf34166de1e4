/** What owners of earlier releases write. */
import { epoch, vmName, type Epoch } from '@cornelgauge/model'
import type { RowStore } from '@cornelgauge/ports'
import { NO_OWNER, readOwner } from '../src/owner-record.js'

/**
 * Claims the planner as an owner of an earlier release, whose row has no `recordedSince`.
 *
 * @example
 * const epoch = await claimOfEarlierRelease(view)
 */
export async function claimOfEarlierRelease (store: RowStore): Promise<Epoch> {
  const known = await readOwner(store) ?? NO_OWNER
  const next = epoch(known.epoch + 1)
  await store.write({
    conditions: [{ table: 'owner', key: 'planner', version: known.version }],
    puts: [{ table: 'owner', key: 'planner', value: { vm: vmName('vm-earlier'), address: '10.0.0.8:7000', epoch: next, claim: `claim-${next}` } }]
  })
  return next
}
