/** Events 2xx: cells and their ownership. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 2xx: cells and their ownership. */
export const CELL_EVENTS = {
  'cell-claimed': {
    number: 200,
    level: 'info',
    sentence: 'This VM has become the owner of the cell.',
    fields: { epoch: 'fencing epoch', previousHolder: 'previous owner', milliseconds: 'duration of the claim' },
    action: NO_ACTION
  },
  'cell-claim-lost': {
    number: 201,
    level: 'info',
    sentence: 'This VM\'s claim to the cell did not succeed.',
    fields: { outcome: 'lost (another VM claimed it) or unknown' },
    action: NO_ACTION
  },
  'cell-recovered': {
    number: 202,
    level: 'info',
    sentence: 'The state of the cell was restored from its snapshot and journal.',
    fields: { epoch: 'fencing epoch', rows: 'journal rows applied', requests: 'requests in the ledger', milliseconds: 'duration of the recovery' },
    action: NO_ACTION
  },
  'cell-recovery-failed': {
    number: 203,
    level: 'error',
    sentence: 'The state of the cell could not be restored.',
    fields: { epoch: 'fencing epoch', failure: 'error code and message' },
    action: 'Check that the object store still holds the snapshot that the owner row names; the VM retries.'
  },
  'cell-fenced': {
    number: 206,
    level: 'warning',
    sentence: 'A commit was rejected because the cell has a newer owner; this VM steps down.',
    fields: { epoch: 'fencing epoch of this VM', sequence: 'sequence number of the rejected journal row' },
    action: 'If it recurs, check the latency of the table service and look for event 106.'
  },
  'cell-handover-started': {
    number: 207,
    level: 'info',
    sentence: 'This VM has begun to hand the cell over to another VM.',
    fields: { epoch: 'fencing epoch', to: 'VM that is to claim it; null if any VM may' },
    action: NO_ACTION
  },
  'cell-handover-finished': {
    number: 208,
    level: 'info',
    sentence: 'The handover of the cell has ended: this VM has released the owner row, or has tried to.',
    fields: { epoch: 'fencing epoch', outcome: 'whether the release took effect', to: 'VM that is to claim it; null if any VM may', milliseconds: 'duration of the handover' },
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
    sentence: 'A call forwarded to the owner of its cell failed; it is retried until its deadline.',
    fields: { address: 'address of the owner', type: 'type of the call', failure: 'error code and message' },
    action: 'If it recurs, check the network between the two VMs.'
  },
  'cell-renewal-unknown': {
    number: 212,
    level: 'warning',
    sentence: 'It is not known whether a renewal of the cell\'s lease took effect.',
    fields: {},
    action: 'If it recurs, check the latency of the table service.'
  },
  'cell-ownership-lost': {
    number: 213,
    level: 'warning',
    sentence: 'A lease renewal has shown that another VM owns the cell.',
    fields: { epoch: 'fencing epoch of this VM' },
    action: 'If it recurs, check the latency of the table service and look for event 106.'
  },
  'cell-stepped-down': {
    number: 214,
    level: 'info',
    sentence: 'This VM has stopped serving the cell.',
    fields: { epoch: 'fencing epoch that this VM held' },
    action: NO_ACTION
  },
  'owner-rows-unreadable': {
    number: 215,
    level: 'warning',
    sentence: 'The owner rows could not be read; those read last are used.',
    fields: { failure: 'error code and message' },
    action: 'Check the table service.'
  },
  'ownership-action-failed': {
    number: 216,
    level: 'warning',
    sentence: 'A claim, lease renewal or handover failed and will be retried.',
    fields: { action: 'the action that failed', failure: 'error code and message' },
    action: 'Check the table service.'
  }
} as const satisfies CatalogueRows
