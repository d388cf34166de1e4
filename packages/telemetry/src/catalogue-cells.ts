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
    sentence: 'A claim to the cell did not succeed.',
    fields: { outcome: 'lost to another VM, or not known' },
    action: NO_ACTION
  },
  'cell-recovered': {
    number: 202,
    level: 'info',
    sentence: 'The state of the cell was rebuilt from snapshot and journal.',
    fields: { epoch: 'fencing epoch', rows: 'journal rows applied', requests: 'requests in the ledger', milliseconds: 'time it took' },
    action: NO_ACTION
  },
  'cell-recovery-failed': {
    number: 203,
    level: 'error',
    sentence: 'The state of the cell could not be rebuilt.',
    fields: { epoch: 'fencing epoch', failure: 'code and sentence' },
    action: 'Check that the object store still holds the snapshot that the owner row names; the VM tries again.'
  },
  'cell-fenced': {
    number: 206,
    level: 'warning',
    sentence: 'A commit was refused because a newer owner exists; this VM steps down.',
    fields: { epoch: 'epoch of this VM', sequence: 'journal row refused' },
    action: 'If it recurs, look at the latency of the table service and at event 106.'
  },
  'cell-handover-started': {
    number: 207,
    level: 'info',
    sentence: 'The cell is being handed over to another VM.',
    fields: { epoch: 'fencing epoch', to: 'VM it is meant for; null where any may take it' },
    action: NO_ACTION
  },
  'cell-handover-finished': {
    number: 208,
    level: 'info',
    sentence: 'The owner row of the cell was released for another owner.',
    fields: { epoch: 'fencing epoch', outcome: 'whether the release took effect', to: 'VM it is meant for; null where any may take it', milliseconds: 'time it took' },
    action: NO_ACTION
  },
  'call-forwarded': {
    number: 210,
    level: 'debug',
    sentence: 'A call was forwarded to the owner of its cell.',
    fields: { address: 'address of the owner', type: 'type of the call' },
    action: NO_ACTION
  },
  'forward-failed': {
    number: 211,
    level: 'warning',
    sentence: 'A call to the owner of its cell failed; it is tried again within its time.',
    fields: { address: 'address of the owner', type: 'type of the call', failure: 'code and sentence' },
    action: 'If it recurs, check the network between the two VMs.'
  },
  'cell-renewal-unknown': {
    number: 212,
    level: 'warning',
    sentence: 'Whether a renewal of the ownership took effect is not known.',
    fields: {},
    action: 'If it recurs, look at the latency of the table service.'
  },
  'cell-ownership-lost': {
    number: 213,
    level: 'warning',
    sentence: 'A renewal has shown that another VM owns the cell.',
    fields: { epoch: 'epoch of this VM' },
    action: 'If it recurs, look at the latency of the table service and at event 106.'
  },
  'cell-stepped-down': {
    number: 214,
    level: 'info',
    sentence: 'This VM has stopped serving the cell.',
    fields: { epoch: 'epoch it had' },
    action: NO_ACTION
  },
  'owner-rows-unreadable': {
    number: 215,
    level: 'warning',
    sentence: 'The owner rows could not be read; the last ones seen are used.',
    fields: { failure: 'code and sentence' },
    action: 'Look at the table service.'
  },
  'ownership-action-failed': {
    number: 216,
    level: 'warning',
    sentence: 'A claim, renewal or handover failed and will be tried again.',
    fields: { action: 'which of them', failure: 'code and sentence' },
    action: 'Look at the table service.'
  }
} as const satisfies CatalogueRows
