/** Events 2xx: cells and their ownership. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 2xx: cells and their ownership. */
export const CELL_EVENTS = {
  'cell-claimed': {
    number: 200,
    level: 'info',
    sentence: 'This VM has become the owner of the cell.',
    fields: { epoch: 'fencing epoch', previousHolder: 'VM that held it before', milliseconds: 'time the claim took' },
    action: NO_ACTION
  },
  'cell-claim-lost': {
    number: 201,
    level: 'info',
    sentence: 'Another VM won the claim to the cell.',
    fields: { holder: 'VM that holds it now', epoch: 'its fencing epoch' },
    action: NO_ACTION
  },
  'cell-recovered': {
    number: 202,
    level: 'info',
    sentence: 'The state of the cell was rebuilt from snapshot and journal.',
    fields: { rows: 'journal rows applied', requests: 'requests in the ledger', milliseconds: 'time it took' },
    action: NO_ACTION
  },
  'cell-recovery-failed': {
    number: 203,
    level: 'error',
    sentence: 'The state of the cell could not be rebuilt.',
    fields: { failure: 'code and sentence', sequence: 'row that failed' },
    action: 'Check that the object store still holds the snapshot that the owner row names; the VM tries again.'
  },
  'cell-lease-renewed': {
    number: 204,
    level: 'debug',
    sentence: 'The ownership of the cell was renewed.',
    fields: { epoch: 'fencing epoch', leaseMilliseconds: 'length of the lease' },
    action: NO_ACTION
  },
  'cell-lease-lapsed': {
    number: 205,
    level: 'warning',
    sentence: 'The lease on the cell ended without renewal.',
    fields: { epoch: 'fencing epoch', overdueMilliseconds: 'time since its end' },
    action: 'If it recurs, look at the latency of the table service and at event 106.'
  },
  'cell-fenced': {
    number: 206,
    level: 'warning',
    sentence: 'A write was refused because a newer owner exists; this VM steps down.',
    fields: { epoch: 'epoch of this VM', newerEpoch: 'epoch found' },
    action: 'Nothing; look at event 205 for the reason if it recurs.'
  },
  'cell-handover-started': {
    number: 207,
    level: 'info',
    sentence: 'The cell is being handed over for a planned stop.',
    fields: { epoch: 'fencing epoch', inFlight: 'requests in flight' },
    action: NO_ACTION
  },
  'cell-handover-finished': {
    number: 208,
    level: 'info',
    sentence: 'The cell was released for another owner.',
    fields: { epoch: 'fencing epoch', milliseconds: 'time it took' },
    action: NO_ACTION
  },
  'cell-without-owner': {
    number: 209,
    level: 'warning',
    sentence: 'No VM owns the cell.',
    fields: { milliseconds: 'time since the last renewal seen' },
    action: 'If it lasts longer than some seconds, check that VMs are ready and the table service answers.'
  },
  'call-forwarded': {
    number: 210,
    level: 'debug',
    sentence: 'A call was forwarded to the owner of its cell.',
    fields: { owner: 'VM called', type: 'type of the call' },
    action: NO_ACTION
  },
  'forward-failed': {
    number: 211,
    level: 'warning',
    sentence: 'A call could not be forwarded to the owner of its cell.',
    fields: { owner: 'VM called', failure: 'code and sentence', sent: 'whether the owner may have got it' },
    action: 'If it recurs, check the network between the two VMs.'
  }
} as const satisfies CatalogueRows
