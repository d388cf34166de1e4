/** Tables of the entry VMs in the store. */

/** The owner of the planner. */
export const OWNER_TABLE = 'owner'
export const OWNER_KEY = 'planner'
/** Until when all starts are recorded: one more row of the same table. */
export const RECORDED_PERIOD_KEY = 'recorded'
/** Accepted jobs by id; written once, by the entry VM that accepts the job. */
export const JOBS_TABLE = 'jobs'
/** Cancellations by job id; written once, by the entry VM that received the cancel request. */
export const CANCELS_TABLE = 'cancels'
/** Progress of jobs by id; written only by the owner, on condition that the owner row is unchanged. */
export const PROGRESS_TABLE = 'progress'
/** Backend servers that may have runs, in a fixed number of rows; written only by the owner, as progress is. */
export const SERVERS_TABLE = 'run-servers'
/** Speeds of the backend servers, in one row; written only by the owner, as progress is. */
export const SPEEDS_TABLE = 'server-speeds'
export const SPEEDS_KEY = 'all'
