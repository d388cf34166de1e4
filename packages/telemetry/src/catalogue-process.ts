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
    fields: { milliseconds: 'time since the start' },
    action: NO_ACTION
  },
  'process-not-ready': {
    number: 102,
    level: 'warning',
    sentence: 'The daemon no longer takes requests.',
    fields: { reason: 'what is missing: document, platform or stopping' },
    action: 'If it lasts and no stop was planned, look at the platform events (8xx) of this VM.'
  },
  'stop-requested': {
    number: 103,
    level: 'info',
    sentence: 'A graceful shutdown has begun.',
    fields: { signal: 'signal received' },
    action: NO_ACTION
  },
  'process-stopped': {
    number: 104,
    level: 'info',
    sentence: 'The daemon has ended in order.',
    fields: { milliseconds: 'time from the request to stop', requestsCut: 'requests cut short; 0 in every planned stop' },
    action: 'If requestsCut is not 0, raise the grace period of the shutdown.'
  },
  'settings-invalid': {
    number: 105,
    level: 'error',
    sentence: 'The settings have faults and the daemon does not start.',
    fields: { faults: 'each fault with its flag' },
    action: 'Correct every fault listed and start the daemon again.'
  },
  'event-loop-stalled': {
    number: 106,
    level: 'warning',
    sentence: 'The event loop stood still for half a second or more.',
    fields: { milliseconds: 'length of the stall' },
    action: 'Look for a paused VM or too little processor time; leases may have lapsed.'
  },
  'memory-high': {
    number: 107,
    level: 'warning',
    sentence: 'The process is near its memory limit.',
    fields: { residentBytes: 'resident memory', limitBytes: 'limit from the settings' },
    action: 'Give the VM more memory or lower the limits on buffered bytes.'
  },
  'unexpected-failure': {
    number: 108,
    level: 'error',
    sentence: 'A failure without a type of its own was caught.',
    fields: { failure: 'code and sentence', where: 'the part that caught it' },
    action: 'Report it with the log lines around it.'
  },
  'step-refused': {
    number: 109,
    level: 'error',
    sentence: 'A step of the state machine was given an event that it has no rule for.',
    fields: { state: 'state before the event', type: 'type of the event' },
    action: 'Report it with the time line of the cell.'
  }
} as const satisfies CatalogueRows
