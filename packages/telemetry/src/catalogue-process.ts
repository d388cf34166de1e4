/** Events 1xx: the process itself. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 1xx: the process itself. */
export const PROCESS_EVENTS = {
  'process-started': {
    number: 100,
    level: 'info',
    sentence: 'The daemon has started.',
    fields: { version: 'release of the daemon', address: 'address of its HTTP interface', failureDomain: 'failure domain from its settings' },
    action: NO_ACTION
  },
  'process-ready': {
    number: 101,
    level: 'info',
    sentence: 'The daemon takes requests.',
    fields: { milliseconds: 'time since the start of the process' },
    action: NO_ACTION
  },
  'stop-requested': {
    number: 103,
    level: 'info',
    sentence: 'A graceful shutdown has begun.',
    fields: { cells: 'cells to be handed over' },
    action: NO_ACTION
  },
  'process-stopped': {
    number: 104,
    level: 'info',
    sentence: 'The daemon has ended in order.',
    fields: { milliseconds: 'time from the request to stop' },
    action: NO_ACTION
  },
  'event-loop-stalled': {
    number: 106,
    level: 'warning',
    sentence: 'The event loop stood still for half a second or more.',
    fields: { milliseconds: 'length of the stall' },
    action: 'Look for a paused VM or too little processor time; leases may have lapsed.'
  },
  'unexpected-failure': {
    number: 108,
    level: 'error',
    sentence: 'A failure without a type of its own was caught.',
    fields: { failure: 'code and sentence', where: 'the part that caught it' },
    action: 'Report it with the log lines around it.'
  },
  'cell-step-failed': {
    number: 109,
    level: 'error',
    sentence: 'A step of the owner of a cell failed, and this VM gives the cell up.',
    fields: { failure: 'code and sentence', stack: 'where it failed' },
    action: 'Report it with the time line of the cell.'
  }
} as const satisfies CatalogueRows
