/** Events 4xx: requests. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 4xx: requests. */
export const REQUEST_EVENTS = {
  'request-accepted': {
    number: 401,
    level: 'info',
    sentence: 'The request passed admission; it is accepted once its journal row is committed.',
    fields: { kind: 'kind of work', deadline: 'deadline, in milliseconds since 1970' },
    action: NO_ACTION
  },
  'request-refused': {
    number: 402,
    level: 'info',
    sentence: 'The request was refused and will not run.',
    fields: { kind: 'kind of work', code: 'error code of the refusal' },
    action: NO_ACTION
  },
  'request-start-intended': {
    number: 405,
    level: 'info',
    sentence: 'The intent to start the request is being written to the journal.',
    fields: { attempt: 'number of the attempt', members: 'backend servers chosen' },
    action: NO_ACTION
  },
  'request-unknown': {
    number: 410,
    level: 'warning',
    sentence: 'It is not known whether the request ran to its end.',
    fields: { attempt: 'number of the attempt' },
    action: 'Check the effect of the work itself before anybody submits it again with a new key.'
  },
  'request-started': {
    number: 417,
    level: 'info',
    sentence: 'Every backend server of the request has reported it as running.',
    fields: { attempt: 'number of the attempt' },
    action: NO_ACTION
  },
  'request-returned': {
    number: 418,
    level: 'info',
    sentence: 'An attempt ended without a result, and the request is pending again.',
    fields: { attempt: 'number of the attempt that ended', basis: 'why it may run again; fenced: it never started; idempotent: its kind may safely run twice', fault: 'true if a task or backend server failed' },
    action: NO_ACTION
  },
  'request-ended': {
    number: 419,
    level: 'info',
    sentence: 'The end of the request is being written to the journal.',
    fields: { state: 'final state', reason: 'code of the end reason' },
    action: NO_ACTION
  },
  'request-cancel-requested': {
    number: 420,
    level: 'info',
    sentence: 'The caller requested the cancellation of the request.',
    fields: {},
    action: NO_ACTION
  },
  'answer-store-failed': {
    number: 421,
    level: 'warning',
    sentence: 'An answer could not be stored; the write is retried before the end is reported to the caller.',
    fields: { failure: 'error code and message' },
    action: 'Check the object store.'
  },
  'clients-limited': {
    number: 422,
    level: 'warning',
    sentence: 'Callers have exceeded the limits on connections, bodies or time; at most once a second.',
    fields: { refused: 'numbers since the last such event: crowded (connections closed for want of room), unused, header, body, discarding (connections closed past the time limit of this phase), shed (bodies given up for want of memory)', connections: 'open connections of callers', heldBytes: 'bytes of bodies that are held' },
    action: 'Find out which callers leave connections or bodies open; if they are within the limits, add VMs or raise the limits.'
  }
} as const satisfies CatalogueRows
