/** Events 4xx: requests. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 4xx: requests. */
export const REQUEST_EVENTS = {
  'request-accepted': {
    number: 401,
    level: 'info',
    sentence: 'The request was taken in; it is accepted once its journal row is committed.',
    fields: { kind: 'kind of work', deadline: 'milliseconds since 1970' },
    action: NO_ACTION
  },
  'request-refused': {
    number: 402,
    level: 'info',
    sentence: 'The request is not accepted and will not run.',
    fields: { kind: 'kind of work', code: 'why' },
    action: NO_ACTION
  },
  'request-start-intended': {
    number: 405,
    level: 'info',
    sentence: 'The intent to start the request goes into the journal.',
    fields: { attempt: 'attempt', members: 'backend servers chosen' },
    action: NO_ACTION
  },
  'request-unknown': {
    number: 410,
    level: 'warning',
    sentence: 'Whether the request ran to its end is not known.',
    fields: { attempt: 'attempt' },
    action: 'Check the effect of the work itself before anybody asks for it again with a new key.'
  },
  'request-started': {
    number: 417,
    level: 'info',
    sentence: 'Every backend server of the request has said that it runs.',
    fields: { attempt: 'attempt' },
    action: NO_ACTION
  },
  'request-returned': {
    number: 418,
    level: 'info',
    sentence: 'An attempt ended without a result, and the request waits again.',
    fields: { attempt: 'attempt that ended', basis: 'fenced: it never started; idempotent: running it again does no harm', fault: 'true if a task or backend server failed' },
    action: NO_ACTION
  },
  'request-ended': {
    number: 419,
    level: 'info',
    sentence: 'The end of the request goes into the journal.',
    fields: { state: 'its final state', reason: 'code of the end reason' },
    action: NO_ACTION
  },
  'request-cancel-requested': {
    number: 420,
    level: 'info',
    sentence: 'The caller asked for the request to be cancelled.',
    fields: {},
    action: NO_ACTION
  },
  'answer-store-failed': {
    number: 421,
    level: 'warning',
    sentence: 'An answer could not be stored; it is tried again before the caller is told.',
    fields: { failure: 'code and sentence' },
    action: 'Look at the object store.'
  }
} as const satisfies CatalogueRows
