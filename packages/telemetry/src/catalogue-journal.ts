/** Events 3xx: journal and snapshots. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 3xx: journal and snapshots. */
export const JOURNAL_EVENTS = {
  'journal-committed': {
    number: 300,
    level: 'debug',
    sentence: 'A group of transitions was committed.',
    fields: { sequence: 'journal row', transitions: 'transitions in it', milliseconds: 'time it took' },
    action: NO_ACTION
  },
  'journal-commit-failed': {
    number: 301,
    level: 'error',
    sentence: 'A commit failed for good, and this VM gives the cell up.',
    fields: { sequence: 'journal row', failure: 'code and sentence' },
    action: 'Look at the table service; nothing uncommitted was told to anyone.'
  },
  'snapshot-written': {
    number: 304,
    level: 'info',
    sentence: 'A snapshot was stored.',
    fields: { sequence: 'last journal row it holds', milliseconds: 'time it took' },
    action: NO_ACTION
  },
  'snapshot-failed': {
    number: 305,
    level: 'warning',
    sentence: 'A snapshot could not be stored; the journal grows until one can.',
    fields: { sequence: 'last journal row it was to hold', failure: 'code and sentence' },
    action: 'Look at the object store.'
  }
} as const satisfies CatalogueRows
