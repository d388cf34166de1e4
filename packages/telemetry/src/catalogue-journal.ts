/** Events 3xx: journal and snapshots. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 3xx: journal and snapshots. */
export const JOURNAL_EVENTS = {
  'journal-committed': {
    number: 300,
    level: 'debug',
    sentence: 'A group of transitions was committed.',
    fields: { sequence: 'journal row', transitions: 'transitions in it', bytes: 'size of the row', milliseconds: 'time it took' },
    action: NO_ACTION
  },
  'journal-commit-failed': {
    number: 301,
    level: 'warning',
    sentence: 'A commit did not take effect and its transitions are kept for the next.',
    fields: { sequence: 'journal row', failure: 'code and sentence' },
    action: 'Look at the table service; nothing uncommitted was told to anyone.'
  },
  'journal-commit-uncertain': {
    number: 302,
    level: 'warning',
    sentence: 'The answer to a commit was lost; the row is read back.',
    fields: { sequence: 'journal row', failure: 'code and sentence' },
    action: NO_ACTION
  },
  'journal-commit-settled': {
    number: 303,
    level: 'info',
    sentence: 'Reading a row back has shown whether its commit took effect.',
    fields: { sequence: 'journal row', tookEffect: 'true if it had' },
    action: NO_ACTION
  },
  'snapshot-written': {
    number: 304,
    level: 'info',
    sentence: 'A snapshot was stored.',
    fields: { sequence: 'last journal row it holds', bytes: 'size', milliseconds: 'time it took' },
    action: NO_ACTION
  },
  'snapshot-failed': {
    number: 305,
    level: 'warning',
    sentence: 'A snapshot could not be stored; the journal grows until one can.',
    fields: { failure: 'code and sentence', rows: 'journal rows since the last' },
    action: 'Look at the object store.'
  },
  'journal-trimmed': {
    number: 306,
    level: 'debug',
    sentence: 'Journal rows older than the snapshot were deleted.',
    fields: { from: 'first row deleted', through: 'last row deleted' },
    action: NO_ACTION
  },
  'journal-row-damaged': {
    number: 307,
    level: 'error',
    sentence: 'A journal row cannot be read.',
    fields: { sequence: 'journal row', failure: 'code and sentence' },
    action: 'Keep the row, stop changes to the table and report it with the row.'
  },
  'journal-behind': {
    number: 308,
    level: 'warning',
    sentence: 'Transitions wait longer for their commit than the commit interval.',
    fields: { transitions: 'transitions waiting', milliseconds: 'age of the oldest' },
    action: 'Compare with the write rate that the table service allows.'
  }
} as const satisfies CatalogueRows
