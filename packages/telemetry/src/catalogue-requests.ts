/** Events 4xx: requests. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 4xx: requests. */
export const REQUEST_EVENTS = {
  'request-received': {
    number: 400,
    level: 'debug',
    sentence: 'A request came in at this VM.',
    fields: { kind: 'kind of work', owner: 'VM that owns its cell' },
    action: NO_ACTION
  },
  'request-accepted': {
    number: 401,
    level: 'info',
    sentence: 'The request is committed and pending.',
    fields: { kind: 'kind of work', deadline: 'milliseconds since 1970' },
    action: NO_ACTION
  },
  'request-refused': {
    number: 402,
    level: 'info',
    sentence: 'The request was not accepted and will not run.',
    fields: { kind: 'kind of work', code: 'why', state: 'state told to the caller' },
    action: NO_ACTION
  },
  'request-repeated': {
    number: 403,
    level: 'info',
    sentence: 'A request with a known key was answered with the state of the first.',
    fields: { state: 'that state' },
    action: NO_ACTION
  },
  'key-reused': {
    number: 404,
    level: 'warning',
    sentence: 'A known key came with another body and was refused.',
    fields: { kind: 'kind of work' },
    action: 'Tell the caller to use one key for each request.'
  },
  'intent-committed': {
    number: 405,
    level: 'info',
    sentence: 'The intent to start the request is committed.',
    fields: { attempt: 'attempt', epoch: 'fencing epoch', servers: 'backend servers chosen' },
    action: NO_ACTION
  },
  'request-finished': {
    number: 406,
    level: 'info',
    sentence: 'The request has finished and its whole answer is stored.',
    fields: { attempt: 'attempt', lengthBytes: 'length of the answer', milliseconds: 'time since it was accepted' },
    action: NO_ACTION
  },
  'request-failed': {
    number: 407,
    level: 'info',
    sentence: 'The request ran and failed.',
    fields: { attempt: 'attempt', reason: 'code of the end reason' },
    action: NO_ACTION
  },
  'request-cancelled': {
    number: 408,
    level: 'info',
    sentence: 'The request was cancelled.',
    fields: { by: 'caller or policy', wasRunning: 'true if it had started' },
    action: NO_ACTION
  },
  'request-not-run': {
    number: 409,
    level: 'info',
    sentence: 'The request was not run and never will be.',
    fields: { reason: 'code of the end reason' },
    action: NO_ACTION
  },
  'request-unknown': {
    number: 410,
    level: 'warning',
    sentence: 'Whether the request ran to its end cannot be known.',
    fields: { attempt: 'attempt', reason: 'code of the end reason' },
    action: 'Check the effect of the work itself before anybody asks for it again with a new key.'
  },
  'attempt-repeated': {
    number: 411,
    level: 'info',
    sentence: 'Idempotent work got a new attempt.',
    fields: { attempt: 'new attempt', reason: 'why the last one ended' },
    action: NO_ACTION
  },
  'deadline-passed': {
    number: 412,
    level: 'info',
    sentence: 'The deadline of the request passed before its end.',
    fields: { state: 'state at that moment', overdueMilliseconds: 'time since the deadline' },
    action: NO_ACTION
  },
  'answer-damaged': {
    number: 413,
    level: 'error',
    sentence: 'A stored answer fails its length or digest.',
    fields: { expected: 'digest on record', found: 'digest found' },
    action: 'Keep the object and report it; the caller was given no part of it.'
  },
  'answer-stored': {
    number: 414,
    level: 'debug',
    sentence: 'An answer was stored.',
    fields: { lengthBytes: 'length', place: 'journal or object store' },
    action: NO_ACTION
  },
  'caller-unauthorized': {
    number: 415,
    level: 'warning',
    sentence: 'A token was not accepted.',
    fields: { path: 'path asked for', role: 'role needed' },
    action: 'If it recurs from a known caller, compare its token with the accepted ones.'
  },
  'caller-forbidden': {
    number: 416,
    level: 'warning',
    sentence: 'A valid token asked for what it may not see.',
    fields: { path: 'path asked for', workspace: 'workspace of the token' },
    action: 'Ask the owner of the workspace whether this was meant.'
  }
} as const satisfies CatalogueRows
