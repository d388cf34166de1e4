/** Events 1053 to 1059: what placement rests on, for whom the planner frees capacity, and which jobs it leaves out. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 1053 to 1059: what placement rests on, for whom the planner frees capacity, and which jobs it leaves out. */
export const PLACEMENT_EVENTS = {
  'server-speeds': {
    number: 1053,
    level: 'info',
    sentence: 'The backend servers of a pool that are believed too slow for its queue with the lowest stretch have changed. Work of that queue avoids them, and other work gets them first. At most once in 5 s for each pool.',
    fields: { pool: 'pool', known: 'number of backend servers whose speed is known from their runs', tooSlow: 'number of those that are too slow', stretch: 'lowest stretch of the queues of the pool', slow: 'each of them, with how many times as long as usual a task takes there' },
    action: NO_ACTION
  },
  'progress-refused': {
    number: 1055,
    level: 'error',
    sentence: 'The store takes no such progress of a job as there is. The progress of others is stored without it; nothing of this job is started until a later form is stored.',
    fields: { job: 'id of the job' },
    action: 'Compare the length that the store takes with platform.row_bytes in the settings; then report it.'
  },
  'runs-reclaimed': {
    number: 1056,
    level: 'info',
    sentence: 'The planner has runs stopped so that a waiting job gets their capacity; a task-stopped line with the reason reclaimed follows for each.',
    fields: { job: 'id of the job that gets the capacity', step: 'its step', kind: 'why it may have others stopped: claim: its workspace\'s guarantee holds it; weight: it gains more than they lose', isGang: 'true if its tasks start all together or not at all', tasks: 'number of tasks for which capacity is held from now on', accelerators: 'accelerators that these need', runs: 'number of runs that are stopped', servers: 'number of their backend servers', freed: 'accelerators that they hold', waitedMilliseconds: 'how long the job had waited' },
    action: NO_ACTION
  }
} as const satisfies CatalogueRows
