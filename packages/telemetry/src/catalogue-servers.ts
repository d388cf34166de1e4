/** Events 5xx: backend servers and gangs. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 5xx: backend servers and gangs. */
export const SERVER_EVENTS = {
  'server-joined': {
    number: 500,
    level: 'info',
    sentence: 'A backend server has joined and is available for work.',
    fields: { server: 'backend server', rack: 'its rack', slots: 'number of its slots', accelerators: 'number of its accelerators' },
    action: NO_ACTION
  },
  'server-leaving': {
    number: 501,
    level: 'info',
    sentence: 'A backend server is leaving and is assigned no new work.',
    fields: { server: 'backend server' },
    action: NO_ACTION
  },
  'server-lost': {
    number: 502,
    level: 'warning',
    sentence: 'A backend server has not answered for too long and is considered lost.',
    fields: { server: 'backend server' },
    action: 'Check the backend server; its idempotent tasks are started elsewhere, the others become unknown.'
  },
  'gang-prepared': {
    number: 510,
    level: 'info',
    sentence: 'Every member of a gang has reserved its capacity; nothing runs yet.',
    fields: { attempt: 'number of the attempt' },
    action: NO_ACTION
  },
  'gang-released': {
    number: 512,
    level: 'info',
    sentence: 'Not every member of a gang could be prepared; all reservations were released.',
    fields: { attempt: 'number of the attempt' },
    action: NO_ACTION
  },
  'gang-preparing': {
    number: 519,
    level: 'info',
    sentence: 'The reservation of capacity was requested from every member of a gang.',
    fields: { attempt: 'number of the attempt', members: 'backend servers chosen' },
    action: NO_ACTION
  },
  'gang-stopping': {
    number: 520,
    level: 'info',
    sentence: 'A stop command was issued to every member of a gang.',
    fields: { reason: 'reason for the stop' },
    action: NO_ACTION
  },
  'server-suspected': {
    number: 521,
    level: 'warning',
    sentence: 'A call to a backend server failed; it is assigned no new work until it answers again.',
    fields: { server: 'backend server', code: 'error code' },
    action: 'If it recurs, check the network between this VM and the backend server.'
  },
  'execution-orphaned': {
    number: 522,
    level: 'warning',
    sentence: 'A backend server reported an execution that belongs to no current attempt of a request; it is being stopped.',
    fields: { server: 'backend server', attempt: 'number of the attempt', state: 'reported state of the execution' },
    action: 'Nothing, unless it recurs without a change of owners.'
  },
  'server-command-failed': {
    number: 523,
    level: 'warning',
    sentence: 'A command to a backend server failed.',
    fields: { server: 'backend server', command: 'name of the command', failure: 'error code and message' },
    action: 'If it recurs, check the network between this VM and the backend server.'
  }
} as const satisfies CatalogueRows
