/** Events 9xx: policy and admission. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 9xx: policy and admission. */
export const POLICY_EVENTS = {
  'request-placed': {
    number: 900,
    level: 'debug',
    sentence: 'The policy has chosen where a request runs.',
    fields: { rule: 'rule that decided', servers: 'backend servers', waitedMilliseconds: 'time it was pending' },
    action: NO_ACTION
  },
  'admission-refused': {
    number: 901,
    level: 'info',
    sentence: 'A request was refused because it could not be answered in time.',
    fields: { kind: 'kind of work', estimateMilliseconds: 'estimated time to an answer', deadlineMilliseconds: 'time to its deadline' },
    action: NO_ACTION
  },
  'admission-limit-changed': {
    number: 902,
    level: 'info',
    sentence: 'The number of requests admitted at once was changed.',
    fields: { from: 'limit before', to: 'limit now' },
    action: NO_ACTION
  },
  'capacity-lent': {
    number: 903,
    level: 'info',
    sentence: 'Idle guaranteed capacity was lent.',
    fields: { lender: 'workspace that holds the guarantee', borrower: 'workspace that uses it' },
    action: NO_ACTION
  },
  'reclaim-started': {
    number: 904,
    level: 'info',
    sentence: 'A workspace claims its guaranteed shape, and borrowers are moved.',
    fields: { workspace: 'workspace that claims', tasks: 'tasks to be checkpointed or stopped' },
    action: NO_ACTION
  },
  'reclaim-finished': {
    number: 905,
    level: 'info',
    sentence: 'The guaranteed shape is free for its workspace.',
    fields: { workspace: 'workspace that claims', milliseconds: 'time it took', limitMilliseconds: 'stated bound' },
    action: 'If the time is over the bound, report it with the time line of the cell.'
  },
  'reclaim-late': {
    number: 906,
    level: 'error',
    sentence: 'A guaranteed shape was not free within its bound.',
    fields: { workspace: 'workspace that claims', milliseconds: 'time so far', limitMilliseconds: 'stated bound' },
    action: 'Check the backend servers that have not confirmed their stops.'
  },
  'task-preempted': {
    number: 907,
    level: 'info',
    sentence: 'A task was preempted.',
    fields: { by: 'workspace or request it yields to', lostMilliseconds: 'work lost' },
    action: NO_ACTION
  },
  'racks-reserved': {
    number: 908,
    level: 'info',
    sentence: 'Racks are kept free for a gang that waits for adjacent accelerators.',
    fields: { racks: 'racks', untilMilliseconds: 'latest expected start from now' },
    action: NO_ACTION
  },
  'request-impossible': {
    number: 909,
    level: 'info',
    sentence: 'A request can never run and was told so.',
    fields: { rule: 'rule that forbids it' },
    action: NO_ACTION
  },
  'straggler-found': {
    number: 910,
    level: 'info',
    sentence: 'A task runs far longer than predicted.',
    fields: { predictedMilliseconds: 'prediction', runMilliseconds: 'run time so far' },
    action: NO_ACTION
  },
  'task-hedged': {
    number: 911,
    level: 'info',
    sentence: 'A second attempt of an idempotent straggler was started.',
    fields: { attempt: 'attempt', budgetLeft: 'hedges left in the budget' },
    action: NO_ACTION
  },
  'retry-budget-spent': {
    number: 912,
    level: 'warning',
    sentence: 'No retry is left in the budget.',
    fields: { kind: 'kind of work', workspace: 'workspace' },
    action: 'Look for the fault behind the retries; new ones wait until the budget refills.'
  },
  'guarantee-unmet': {
    number: 913,
    level: 'error',
    sentence: 'The capacity alive can no longer meet a guarantee.',
    fields: { workspace: 'workspace that holds it', missing: 'what is missing' },
    action: 'Bring backend servers back or change the document.'
  },
  'quota-reached': {
    number: 914,
    level: 'info',
    sentence: 'A workspace is at its limit.',
    fields: { workspace: 'workspace', limit: 'limit' },
    action: NO_ACTION
  },
  'lanes-resized': {
    number: 915,
    level: 'debug',
    sentence: 'The number of slots kept for short work was changed.',
    fields: { from: 'slots before', to: 'slots now' },
    action: NO_ACTION
  }
} as const satisfies CatalogueRows
