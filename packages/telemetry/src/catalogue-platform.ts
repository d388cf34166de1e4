/** Events 8xx: faults of the platform. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 8xx: faults of the platform. */
export const PLATFORM_EVENTS = {
  'vm-list-unreachable': {
    number: 806,
    level: 'warning',
    sentence: 'The list of VMs could not be read; the last one is used.',
    fields: { failure: 'code and sentence' },
    action: 'Bring the list back; ownership does not depend on it.'
  },
  'store-unreachable': {
    number: 810,
    level: 'warning',
    sentence: 'A store does not answer; the call is tried again or settled by reading back.',
    fields: { failedTries: 'tries so far', failure: 'code and sentence' },
    action: 'Bring the table service or the object store back.'
  },
  'vm-list-reachable': {
    number: 811,
    level: 'info',
    sentence: 'The list of VMs can be read again.',
    fields: {},
    action: NO_ACTION
  }
} as const satisfies CatalogueRows
