/** Times and sizes of the cell owner. */

/** How long a submission waits for its commit before it is given up, at the most. */
export const COMMIT_PATIENCE_MILLISECONDS = 10_000
/** Most transitions in one journal row. */
export const MAXIMUM_ROW_TRANSITIONS = 1000
/** Rows between two snapshots. */
export const SNAPSHOT_ROWS = 400
/** How long a watch waits for a change. */
export const WATCH_WAIT_MILLISECONDS = 1000
/** Pause before a failed watch is tried again. */
export const WATCH_RETRY_MILLISECONDS = 250
/** Silence after which a backend server counts as lost. */
export const SERVER_LOST_MILLISECONDS = 10_000
/** How long a new owner waits for all backend servers before it decides without them. */
export const RECOVERY_PATIENCE_MILLISECONDS = 1000
/** Pause before an attempt that did not start is tried again. */
export const RETRY_PAUSE_MILLISECONDS = 200
/** Least time between two inquiries about one run. */
export const INQUIRY_INTERVAL_MILLISECONDS = 500
/** Longest time between two ticks. */
export const TICK_MILLISECONDS = 250
/** Most requests that a cell keeps, ended ones included. */
export const MAXIMUM_REQUESTS = 200_000
/** Largest answer. */
export const MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024
/** Largest answer that is kept in the journal itself. */
export const MAXIMUM_INLINE_ANSWER_BYTES = 4096
