/** Events 8xx: faults of the platform. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 8xx: faults of the platform. */
export const PLATFORM_EVENTS = {
  'vm-list-unreachable': {
    number: 806,
    level: 'warning',
    sentence: 'The VM list could not be read; the one read last is used.',
    fields: { failure: 'error code and message' },
    action: 'Restore the service that provides the list; ownership of cells does not depend on it.'
  },
  'store-unreachable': {
    number: 810,
    level: 'warning',
    sentence: 'A call to the table service or the object store failed; it is retried, or its result is determined by reading the data back.',
    fields: { failedTries: 'failed attempts so far', failure: 'error code and message' },
    action: 'Restore the table service or the object store.'
  },
  'vm-list-reachable': {
    number: 811,
    level: 'info',
    sentence: 'The VM list can be read again.',
    fields: {},
    action: NO_ACTION
  }
} as const satisfies CatalogueRows
