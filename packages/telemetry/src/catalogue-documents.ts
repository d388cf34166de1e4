/** Events 6xx: environment documents. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 6xx: environment documents. */
export const DOCUMENT_EVENTS = {
  'document-accepted': {
    number: 600,
    level: 'info',
    sentence: 'A change of the environment document was accepted.',
    fields: { environment: 'environment', version: 'version', digest: 'digest of its bytes' },
    action: NO_ACTION
  },
  'document-adopted': {
    number: 603,
    level: 'info',
    sentence: 'This VM has put a document into force.',
    fields: { environment: 'environment', version: 'version', digest: 'digest of its bytes' },
    action: NO_ACTION
  },
  'document-promoted': {
    number: 606,
    level: 'info',
    sentence: 'A document was promoted.',
    fields: { environment: 'environment it came to', version: 'version', digest: 'digest of its bytes' },
    action: NO_ACTION
  },
  'document-missing': {
    number: 609,
    level: 'error',
    sentence: 'No document is in force and none can be had; this VM stays not ready.',
    fields: { environment: 'environment' },
    action: 'Apply a document, or bring the table service back.'
  },
  'document-read-failed': {
    number: 610,
    level: 'warning',
    sentence: 'The environment document could not be read; the one in force stays.',
    fields: { environment: 'environment', failure: 'code and sentence' },
    action: 'Look at the table service.'
  },
  'document-unreadable': {
    number: 611,
    level: 'error',
    sentence: 'A document accepted elsewhere cannot be read here; the one in force stays.',
    fields: { environment: 'environment', version: 'its version', failure: 'code and sentence' },
    action: 'Compare the releases of the VMs.'
  }
} as const satisfies CatalogueRows
