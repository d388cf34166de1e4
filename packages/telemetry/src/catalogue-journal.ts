/** Events 3xx: journal and snapshots. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 3xx: journal and snapshots. */
export const JOURNAL_EVENTS = {
  'journal-committed': {
    number: 300,
    level: 'debug',
    sentence: 'A batch of transitions was committed to the journal.',
    fields: { sequence: 'sequence number of the journal row', transitions: 'number of transitions', milliseconds: 'duration of the commit' },
    action: NO_ACTION
  },
  'journal-commit-failed': {
    number: 301,
    level: 'error',
    sentence: 'A commit failed permanently; this VM steps down from the cell.',
    fields: { sequence: 'sequence number of the journal row', failure: 'error code and message' },
    action: 'Check the table service; nothing that was not committed has been reported to callers.'
  },
  'snapshot-written': {
    number: 304,
    level: 'info',
    sentence: 'A snapshot was stored.',
    fields: { sequence: 'last journal row that it includes', milliseconds: 'time to store the snapshot' },
    action: NO_ACTION
  },
  'snapshot-failed': {
    number: 305,
    level: 'warning',
    sentence: 'A snapshot could not be stored; the journal grows until one is stored.',
    fields: { sequence: 'last journal row that it would have included', failure: 'error code and message' },
    action: 'Check the object store.'
  }
} as const satisfies CatalogueRows
