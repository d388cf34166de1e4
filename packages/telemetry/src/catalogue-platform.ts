/** Events 8xx: faults of the platform. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 8xx: faults of the platform. */
export const PLATFORM_EVENTS = {
  'table-service-down': {
    number: 800,
    level: 'error',
    sentence: 'The table service does not answer; accepted requests go on, new non-idempotent work waits.',
    fields: { failure: 'code and sentence' },
    action: 'Bring the table service back.'
  },
  'table-service-slow': {
    number: 801,
    level: 'warning',
    sentence: 'The table service answers slowly.',
    fields: { milliseconds: '99th percentile of late', limitMilliseconds: 'limit crossed' },
    action: 'Look at its load and compare with the operations counted here.'
  },
  'table-service-back': {
    number: 802,
    level: 'info',
    sentence: 'The table service answers again.',
    fields: { milliseconds: 'time it was away' },
    action: NO_ACTION
  },
  'object-store-down': {
    number: 803,
    level: 'error',
    sentence: 'The object store does not answer; large answers and snapshots wait.',
    fields: { failure: 'code and sentence' },
    action: 'Bring the object store back.'
  },
  'object-store-slow': {
    number: 804,
    level: 'warning',
    sentence: 'The object store answers slowly.',
    fields: { milliseconds: '99th percentile of late', limitMilliseconds: 'limit crossed' },
    action: 'Look at its load.'
  },
  'object-store-back': {
    number: 805,
    level: 'info',
    sentence: 'The object store answers again.',
    fields: { milliseconds: 'time it was away' },
    action: NO_ACTION
  },
  'vm-list-stale': {
    number: 806,
    level: 'warning',
    sentence: 'The list of VMs could not be read; the last one is used.',
    fields: { milliseconds: 'age of the list', failure: 'code and sentence' },
    action: 'Bring the list back; ownership does not depend on it.'
  },
  'answer-lost': {
    number: 807,
    level: 'warning',
    sentence: 'The answer to a write was lost; it is settled by reading back.',
    fields: { operation: 'what was written', failure: 'code and sentence' },
    action: NO_ACTION
  },
  'write-settled': {
    number: 808,
    level: 'info',
    sentence: 'A write whose answer was lost was read back.',
    fields: { operation: 'what was written', tookEffect: 'true if it had' },
    action: NO_ACTION
  },
  'operations-near-limit': {
    number: 809,
    level: 'warning',
    sentence: 'The cells use most of the operations that the platform allows.',
    fields: { writesPerSecond: 'writes', readsPerSecond: 'reads' },
    action: 'Lengthen the commit interval, or raise the limit with the platform.'
  }
} as const satisfies CatalogueRows
