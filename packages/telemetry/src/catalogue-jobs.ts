/** Events 10xx: jobs, and the VM that plans them. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 10xx: jobs, and the VM that plans them. */
export const JOB_EVENTS = {
  'planner-claimed': {
    number: 1000,
    level: 'info',
    sentence: 'This VM has become the owner of the planner.',
    fields: { epoch: 'fencing epoch', reason: 'why it claimed', previous: 'VM that owned it before', silent: 'milliseconds since that was last heard of', milliseconds: 'time the claim took' },
    action: NO_ACTION
  },
  'planner-claim-failed': {
    number: 1001,
    level: 'warning',
    sentence: 'A claim to the planner had no result; it is tried again.',
    fields: { failure: 'code', reason: 'why it claimed' },
    action: 'If it recurs, check that the VM reaches the store.'
  },
  'planner-started': {
    number: 1002,
    level: 'info',
    sentence: 'The planner has read what is stored and begins to look at backend servers.',
    fields: { epoch: 'fencing epoch', jobs: 'jobs stored', damaged: 'records that can\'t be read', servers: 'rows of the registry', milliseconds: 'time it took' },
    action: NO_ACTION
  },
  'planner-first-start': {
    number: 1003,
    level: 'info',
    sentence: 'A new owner has ordered its first start; the time since the last start of the owner before is the gap of the takeover.',
    fields: { epoch: 'fencing epoch', task: 'task' },
    action: NO_ACTION
  },
  'planner-fenced': {
    number: 1004,
    level: 'warning',
    sentence: 'A newer owner exists; this VM stops planning.',
    fields: { epoch: 'epoch of this VM' },
    action: NO_ACTION
  },
  'planner-handed-over': {
    number: 1005,
    level: 'info',
    sentence: 'The planner was handed over.',
    fields: { to: 'VM that was asked to claim', epoch: 'fencing epoch of this VM' },
    action: NO_ACTION
  },
  'planner-failed': {
    number: 1006,
    level: 'error',
    sentence: 'The planner met a fault of the program and gives way to another VM.',
    fields: { failure: 'sentence' },
    action: 'Report it, with the lines of this VM.'
  },
  'owner-not-read': {
    number: 1007,
    level: 'warning',
    sentence: 'What is stored of the planner could not be read; it is tried again.',
    fields: { failure: 'code' },
    action: 'If it recurs, check that the VM reaches the store.'
  },
  'peer-call-failed': {
    number: 1008,
    level: 'warning',
    sentence: 'A call between entry VMs failed.',
    fields: { address: 'address of the peer', kind: 'kind of the call', failure: 'code' },
    action: 'If it recurs, check the network between the VMs.'
  },
  'entry-failed': {
    number: 1009,
    level: 'error',
    sentence: 'The entry VM met a fault of the program and ends.',
    fields: { failure: 'sentence' },
    action: 'Report it, with the lines of this VM.'
  },
  'configuration-in-force': {
    number: 1010,
    level: 'info',
    sentence: 'A configuration has come into force on this VM.',
    fields: { version: 'its version', queues: 'number of queues' },
    action: NO_ACTION
  },
  'feed-failed': {
    number: 1011,
    level: 'warning',
    sentence: 'A table of the store could not be followed for a moment; it is tried again.',
    fields: { table: 'table', failure: 'code; conflict means that the history was gone and the table is read anew' },
    action: 'If it recurs, check that the VM reaches the store.'
  },
  'record-unreadable': {
    number: 1012,
    level: 'error',
    sentence: 'A stored record can\'t be read; it is left as it is.',
    fields: { record: 'key and reason' },
    action: 'Read the row; it was written by another release or another writer.'
  },
  'job-planned': {
    number: 1020,
    level: 'info',
    sentence: 'The planner has taken a job.',
    fields: { job: 'id', queue: 'queue', workspace: 'workspace', age: 'milliseconds since it was accepted' },
    action: NO_ACTION
  },
  'task-started': {
    number: 1021,
    level: 'info',
    sentence: 'A start was ordered and answered.',
    fields: { task: 'task', run: 'run number', server: 'backend server', epoch: 'fencing epoch', outcome: 'answer', resumed: 'from a checkpoint' },
    action: NO_ACTION
  },
  'task-stopped': {
    number: 1022,
    level: 'info',
    sentence: 'A stop was ordered and answered.',
    fields: { task: 'task', run: 'run number', server: 'backend server', reason: 'why', outcome: 'answer' },
    action: NO_ACTION
  },
  'look-missed': {
    number: 1023,
    level: 'warning',
    sentence: 'A backend server did not answer a look.',
    fields: { server: 'backend server', failure: 'code' },
    action: 'If it recurs for one backend server, check it.'
  },
  'progress-not-stored': {
    number: 1024,
    level: 'warning',
    sentence: 'The progress of jobs could not be stored; it is tried again.',
    fields: { failure: 'code', waiting: 'jobs that wait for it' },
    action: 'If it recurs, check that the VM reaches the store.'
  },
  'progress-stored-late': {
    number: 1025,
    level: 'info',
    sentence: 'The progress of jobs was stored late.',
    fields: { milliseconds: 'time it took' },
    action: NO_ACTION
  },
  'advice-taken': {
    number: 1026,
    level: 'info',
    sentence: 'The advice service has said where a step may run.',
    fields: { step: 'step', asked: 'backend servers named', allowed: 'of these allowed' },
    action: NO_ACTION
  },
  'advice-failed': {
    number: 1027,
    level: 'warning',
    sentence: 'The advice service did not answer; it is asked again.',
    fields: { step: 'step', failure: 'code' },
    action: 'If it recurs, check the service: tasks of its queues can\'t start without it.'
  },
  'task-ended': {
    number: 1028,
    level: 'info',
    sentence: 'A run has ended, or is known to be gone.',
    fields: { task: 'task', run: 'run number', server: 'backend server', how: 'as the backend server lists it; gone where it is not listed any more or its lease has lapsed' },
    action: NO_ACTION
  },
  'job-ended': {
    number: 1029,
    level: 'info',
    sentence: 'A job has got its final phase; callers are told once it is stored.',
    fields: { job: 'id', phase: 'final phase', milliseconds: 'time since it was accepted' },
    action: NO_ACTION
  },
  'job-request-answered': {
    number: 1030,
    level: 'info',
    sentence: 'A caller\'s request about a job was answered.',
    fields: { request: 'what was asked', job: 'id', queue: 'queue', workspace: 'workspace', status: 'status told', reason: 'why it was refused', version: 'version of the configuration', age: 'milliseconds since the store confirmed that version', milliseconds: 'time it took' },
    action: NO_ACTION
  },
  'settings-reloaded': {
    number: 1031,
    level: 'info',
    sentence: 'The settings were read again.',
    fields: { store: 'address of the store' },
    action: NO_ACTION
  },
  'settings-refused': {
    number: 1032,
    level: 'warning',
    sentence: 'The settings have faults; those read at the start stay in force.',
    fields: { failure: 'sentence that names each fault' },
    action: 'Correct the settings and send SIGHUP again.'
  }
} as const satisfies CatalogueRows
