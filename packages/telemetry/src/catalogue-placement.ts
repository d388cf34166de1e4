/** Events 1056 to 1059: for whom the planner frees capacity. */
import { NO_ACTION, type CatalogueRows } from './catalogue-entry.js'

/** Events 1056 to 1059: for whom the planner frees capacity. */
export const PLACEMENT_EVENTS = {
  'runs-reclaimed': {
    number: 1056,
    level: 'info',
    sentence: 'The planner has runs stopped so that a waiting job gets their capacity; a task-stopped line with the reason reclaimed follows for each.',
    fields: { job: 'id of the job that gets the capacity', step: 'its step', kind: 'why it may have others stopped: claim: its workspace\'s guarantee holds it; weight: it gains more than they lose', isGang: 'true if its tasks start all together or not at all', tasks: 'number of tasks for which capacity is held from now on', accelerators: 'accelerators that these need', runs: 'number of runs that are stopped', servers: 'number of their backend servers', freed: 'accelerators that they hold', waitedMilliseconds: 'how long the job had waited' },
    action: NO_ACTION
  }
} as const satisfies CatalogueRows
