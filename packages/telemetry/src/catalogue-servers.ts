/** Events 5xx: backend servers and gangs. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 5xx: backend servers and gangs. */
export const SERVER_EVENTS = {
  'server-joined': {
    number: 500,
    level: 'info',
    sentence: 'A backend server is known and may get work.',
    fields: { server: 'backend server', rack: 'its rack', slots: 'its slots', accelerators: 'its accelerators' },
    action: NO_ACTION
  },
  'server-leaving': {
    number: 501,
    level: 'info',
    sentence: 'A backend server is leaving and gets no new work.',
    fields: { server: 'backend server', running: 'tasks that still run on it' },
    action: NO_ACTION
  },
  'server-lost': {
    number: 502,
    level: 'warning',
    sentence: 'A backend server no longer answers.',
    fields: { server: 'backend server', running: 'tasks it had' },
    action: 'Check the worker; its idempotent tasks are started elsewhere, the others become unknown.'
  },
  'server-back': {
    number: 503,
    level: 'info',
    sentence: 'A lost backend server answers again.',
    fields: { server: 'backend server', milliseconds: 'time it was away' },
    action: NO_ACTION
  },
  'server-ejected': {
    number: 504,
    level: 'warning',
    sentence: 'A backend server fails too much of its work and gets none.',
    fields: { server: 'backend server', failureShare: 'share of tasks that failed', ejectedShare: 'share of all servers now ejected' },
    action: 'Check the worker; probes decide when it may come back.'
  },
  'server-probed': {
    number: 505,
    level: 'info',
    sentence: 'An ejected backend server was tried with idempotent work.',
    fields: { server: 'backend server', success: 'true if the probe succeeded' },
    action: NO_ACTION
  },
  'server-readmitted': {
    number: 506,
    level: 'info',
    sentence: 'An ejected backend server gets work again.',
    fields: { server: 'backend server' },
    action: NO_ACTION
  },
  'start-sent': {
    number: 507,
    level: 'debug',
    sentence: 'A start was sent to a backend server.',
    fields: { server: 'backend server', attempt: 'attempt', epoch: 'fencing epoch' },
    action: NO_ACTION
  },
  'start-refused': {
    number: 508,
    level: 'info',
    sentence: 'A backend server refused a start.',
    fields: { server: 'backend server', code: 'why' },
    action: NO_ACTION
  },
  'stale-epoch-refused': {
    number: 509,
    level: 'warning',
    sentence: 'A backend server has seen a newer owner of the cell.',
    fields: { server: 'backend server', epoch: 'epoch sent', newerEpoch: 'epoch it knows' },
    action: 'Nothing; this VM steps down.'
  },
  'gang-prepared': {
    number: 510,
    level: 'info',
    sentence: 'Every member of a gang holds its capacity; nothing runs yet.',
    fields: { servers: 'backend servers', milliseconds: 'time it took' },
    action: NO_ACTION
  },
  'gang-started': {
    number: 511,
    level: 'info',
    sentence: 'Every member of a gang was told to go.',
    fields: { servers: 'backend servers' },
    action: NO_ACTION
  },
  'gang-released': {
    number: 512,
    level: 'info',
    sentence: 'A gang could not be prepared whole, and every member was released.',
    fields: { missing: 'members that did not prepare', retryMilliseconds: 'time to the next try' },
    action: NO_ACTION
  },
  'gang-member-lost': {
    number: 513,
    level: 'warning',
    sentence: 'A member of a running gang was lost; the whole gang is stopped.',
    fields: { server: 'backend server lost', checkpoint: 'checkpoint it resumes from' },
    action: NO_ACTION
  },
  'gang-stopped': {
    number: 514,
    level: 'info',
    sentence: 'Every member of a gang has stopped.',
    fields: { milliseconds: 'time since the loss of the first' },
    action: 'If the time is over the stated bound, report it.'
  },
  'task-checkpointed': {
    number: 515,
    level: 'info',
    sentence: 'A task was checkpointed.',
    fields: { server: 'backend server', checkpoint: 'where' },
    action: NO_ACTION
  },
  'task-throttled': {
    number: 516,
    level: 'info',
    sentence: 'A task was throttled.',
    fields: { server: 'backend server', share: 'share of its capacity left to it' },
    action: NO_ACTION
  },
  'task-stopped': {
    number: 517,
    level: 'info',
    sentence: 'A task was stopped.',
    fields: { server: 'backend server', reason: 'why' },
    action: NO_ACTION
  },
  'task-lease-lapsed': {
    number: 518,
    level: 'warning',
    sentence: 'The lease of a task ended without renewal.',
    fields: { server: 'backend server', attempt: 'attempt' },
    action: 'If it recurs, look at the network to this backend server.'
  }
} as const satisfies CatalogueRows
