/** Events 5xx: backend servers and gangs. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 5xx: backend servers and gangs. */
export const SERVER_EVENTS = {
  'server-joined': {
    number: 500,
    level: 'info',
    sentence: 'A backend server answers and may get work.',
    fields: { server: 'backend server', rack: 'its rack', slots: 'its slots', accelerators: 'its accelerators' },
    action: NO_ACTION
  },
  'server-leaving': {
    number: 501,
    level: 'info',
    sentence: 'A backend server is leaving and gets no new work.',
    fields: { server: 'backend server' },
    action: NO_ACTION
  },
  'server-lost': {
    number: 502,
    level: 'warning',
    sentence: 'A backend server has been silent for too long and is given up.',
    fields: { server: 'backend server' },
    action: 'Check the worker; its idempotent tasks are started elsewhere, the others become unknown.'
  },
  'gang-prepared': {
    number: 510,
    level: 'info',
    sentence: 'Every member of a gang holds its capacity; nothing runs yet.',
    fields: { attempt: 'attempt' },
    action: NO_ACTION
  },
  'gang-released': {
    number: 512,
    level: 'info',
    sentence: 'A gang could not be prepared whole, and every member was released.',
    fields: { attempt: 'attempt' },
    action: NO_ACTION
  },
  'gang-preparing': {
    number: 519,
    level: 'info',
    sentence: 'Every member of a gang was asked to hold its capacity.',
    fields: { attempt: 'attempt', members: 'backend servers chosen' },
    action: NO_ACTION
  },
  'gang-stopping': {
    number: 520,
    level: 'info',
    sentence: 'Every member of a gang was told to stop.',
    fields: { reason: 'why' },
    action: NO_ACTION
  },
  'server-suspected': {
    number: 521,
    level: 'warning',
    sentence: 'A backend server did not answer and gets no new work until it does.',
    fields: { server: 'backend server', code: 'why' },
    action: 'If it recurs, look at the network to this backend server.'
  },
  'execution-orphaned': {
    number: 522,
    level: 'warning',
    sentence: 'A backend server holds an execution that no request wants, and was told to end it.',
    fields: { server: 'backend server', attempt: 'attempt', state: 'where it stands' },
    action: 'Nothing, unless it recurs without a change of owners.'
  },
  'server-command-failed': {
    number: 523,
    level: 'warning',
    sentence: 'A command to a backend server failed.',
    fields: { server: 'backend server', command: 'command', failure: 'code and sentence' },
    action: 'If it recurs, look at the network to this backend server.'
  }
} as const satisfies CatalogueRows
