/** Timeouts, intervals and size limits of the cell owner. */

/** Longest time that a call waits for a commit. */
export const COMMIT_TIMEOUT_MILLISECONDS = 10_000
/** Maximum number of transitions in one journal row. */
export const MAXIMUM_ROW_TRANSITIONS = 1000
/** Number of journal rows between two snapshots. */
export const SNAPSHOT_ROWS = 400
/** Longest time that a backend server holds a watch open until there is a change to report. */
export const WATCH_WAIT_MILLISECONDS = 1000
/** Delay before a failed watch is retried. */
export const WATCH_RETRY_MILLISECONDS = 250
/** Time without an answered watch after which a backend server counts as lost. */
export const SERVER_LOST_MILLISECONDS = 10_000
/** Longest time that a new owner waits for the first reports of all backend servers before it runs the policy. */
export const RECOVERY_TIMEOUT_MILLISECONDS = 1000
/** Delay before a request whose attempt did not start or was returned is queued again. */
export const RETRY_BACKOFF_MILLISECONDS = 200
/** Minimum time between two inquiries about one run. */
export const INQUIRY_INTERVAL_MILLISECONDS = 500
/** Maximum time between two ticks. */
export const TICK_MILLISECONDS = 250
/** Maximum number of requests in the ledger of a cell, including ended ones. */
export const MAXIMUM_REQUESTS = 200_000
/** Maximum size of an answer. */
export const MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024
/** Maximum size of an answer that is stored in the journal itself; larger ones go to the object store. */
export const MAXIMUM_INLINE_ANSWER_BYTES = 4096
