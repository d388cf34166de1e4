/** Events 6xx: environment documents. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 6xx: environment documents. */
export const DOCUMENT_EVENTS = {
  'document-accepted': {
    number: 600,
    level: 'info',
    sentence: 'A new version of the environment document was accepted.',
    fields: { environment: 'environment', version: 'version', digest: 'digest of the document\'s bytes' },
    action: NO_ACTION
  },
  'document-adopted': {
    number: 603,
    level: 'info',
    sentence: 'A document has come into force on this VM.',
    fields: { environment: 'environment', version: 'version', digest: 'digest of the document\'s bytes' },
    action: NO_ACTION
  },
  'document-promoted': {
    number: 606,
    level: 'info',
    sentence: 'A document was promoted to another environment.',
    fields: { environment: 'target environment', version: 'version', digest: 'digest of the document\'s bytes' },
    action: NO_ACTION
  },
  'document-missing': {
    number: 609,
    level: 'error',
    sentence: 'No document is in force and none could be read; this VM is not ready.',
    fields: { environment: 'environment' },
    action: 'Apply a document, or restore the table service.'
  },
  'document-read-failed': {
    number: 610,
    level: 'warning',
    sentence: 'The environment document could not be read; the current one stays in force.',
    fields: { environment: 'environment', failure: 'error code and message' },
    action: 'Check the table service.'
  },
  'document-unreadable': {
    number: 611,
    level: 'error',
    sentence: 'A document that another VM accepted cannot be parsed by this VM; the current one stays in force.',
    fields: { environment: 'environment', version: 'version of the document', failure: 'error code and message' },
    action: 'Check that all VMs run the same release.'
  }
} as const satisfies CatalogueRows
