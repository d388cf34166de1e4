/** Events 1xx: the process itself. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 1xx: the process itself. */
export const PROCESS_EVENTS = {
  'process-started': {
    number: 100,
    level: 'info',
    sentence: 'The daemon has started.',
    fields: { version: 'release of the daemon', address: 'address of its HTTP interface', failureDomain: 'failure domain in its settings' },
    action: NO_ACTION
  },
  'process-ready': {
    number: 101,
    level: 'info',
    sentence: 'The daemon is ready and accepts requests.',
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
    sentence: 'The daemon has shut down gracefully.',
    fields: { milliseconds: 'time since the shutdown was requested' },
    action: NO_ACTION
  },
  'event-loop-stalled': {
    number: 106,
    level: 'warning',
    sentence: 'The event loop was blocked for half a second or more.',
    fields: { milliseconds: 'length of the stall' },
    action: 'Check whether the VM was paused or is short of processor time; leases may have expired.'
  },
  'unexpected-failure': {
    number: 108,
    level: 'error',
    sentence: 'An unexpected error was caught.',
    fields: { failure: 'error code and message', where: 'component that caught it' },
    action: 'Report it with the log lines around it.'
  },
  'cell-step-failed': {
    number: 109,
    level: 'error',
    sentence: 'The owner of a cell failed to process an event; this VM steps down from the cell.',
    fields: { failure: 'error code and message', stack: 'stack trace' },
    action: 'Report it with the timeline of the cell.'
  }
} as const satisfies CatalogueRows
