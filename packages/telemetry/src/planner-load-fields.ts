/** Fields of the planner's load, which several events have. */

/** Fields of the planner's load. */
export const LOAD_FIELDS = {
  jobsQueued: 'jobs of which no task has started',
  jobsRunning: 'jobs that have started',
  plannedLoad: 'planning load of the open jobs that the owner has, in units of an ordinary job; it has at most 4,000 of jobs of which nothing runs, and 10,000 in all',
  jobsWaiting: 'accepted jobs that wait in the store since the owner has as many as it may',
  heapMegabytes: 'heap in use',
  heapLimitMegabytes: 'heap with which the process ends',
  jobsRecovering: 'jobs of earlier owners that wait until all of their runs are known',
  runs: 'runs that may be alive',
  runsUnresolved: 'runs that are being stopped, or whose start or stop isn\'t confirmed',
  serversUnanswered: 'backend servers that haven\'t answered this owner yet',
  serversUsable: 'backend servers that may get work',
  servers: 'backend servers',
  serversTimed: 'backend servers whose speed is known from their runs',
  serversSlow: 'those that are too slow for the queue with the lowest stretch in their pool',
  acceleratorsFree: 'free accelerators of the usable ones',
  domainsEvacuated: 'evacuated failure domains',
  runsEvacuated: 'runs that are left there'
} as const
