/** Events 6xx: environment documents. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 6xx: environment documents. */
export const DOCUMENT_EVENTS = {
  'document-accepted': {
    number: 600,
    level: 'info',
    sentence: 'A new environment document was accepted.',
    fields: { environment: 'environment', version: 'version', digest: 'digest of its bytes' },
    action: NO_ACTION
  },
  'document-refused': {
    number: 601,
    level: 'info',
    sentence: 'An environment document was refused.',
    fields: { environment: 'environment', faults: 'each fault with its path' },
    action: NO_ACTION
  },
  'document-conflict': {
    number: 602,
    level: 'info',
    sentence: 'Another operator\'s change came first.',
    fields: { environment: 'environment', current: 'version in force', expected: 'version the change was based on' },
    action: NO_ACTION
  },
  'document-adopted': {
    number: 603,
    level: 'info',
    sentence: 'This VM has put a document into force.',
    fields: { environment: 'environment', version: 'version', milliseconds: 'time since it was accepted, by this VM\'s clock' },
    action: NO_ACTION
  },
  'document-late': {
    number: 604,
    level: 'warning',
    sentence: 'This VM has known of a newer document for too long without adopting it.',
    fields: { environment: 'environment', version: 'newer version', milliseconds: 'time since it was hinted' },
    action: 'Check that this VM reaches the table service or a peer.'
  },
  'document-older-ignored': {
    number: 605,
    level: 'warning',
    sentence: 'A document older than the one in force was offered and ignored.',
    fields: { environment: 'environment', offered: 'its version', version: 'version in force' },
    action: NO_ACTION
  },
  'document-promoted': {
    number: 606,
    level: 'info',
    sentence: 'A document was promoted.',
    fields: { environment: 'environment it came to', version: 'version', digest: 'digest of its bytes' },
    action: NO_ACTION
  },
  'promotion-refused': {
    number: 607,
    level: 'info',
    sentence: 'A promotion was refused: the bytes are not in force in the trial environment.',
    fields: { digest: 'digest asked for', trialDigest: 'digest in force there' },
    action: NO_ACTION
  },
  'document-from-peer': {
    number: 608,
    level: 'info',
    sentence: 'The document was taken from a peer because the platform did not answer.',
    fields: { environment: 'environment', version: 'version', peer: 'VM it came from' },
    action: NO_ACTION
  },
  'document-missing': {
    number: 609,
    level: 'error',
    sentence: 'No document is in force and none can be had; this VM stays not ready.',
    fields: { environment: 'environment' },
    action: 'Apply a document, or bring the table service back.'
  }
} as const satisfies CatalogueRows
