/** Time limits and bounds of an entry VM, in milliseconds unless stated otherwise. */

/** How long the store holds a request for changes open if there are none; far below the 2 s within which a change has to take effect. */
export const FEED_WAIT_MILLISECONDS = 700
/** Slack on top of that wait before a request for changes times out; it is then repeated on another connection. */
export const FEED_SLACK_MILLISECONDS = 400
/** Pause between two reads of the registry's changes: backend servers report every 1.5 s and announce their departure 2 s ahead. */
export const REGISTRY_PAUSE_MILLISECONDS = 250
/** Pause after a failed call to the store. */
export const STORE_RETRY_MILLISECONDS = 100
/** Time limit of one call to the store: many times its usual 4 ms, so that a slow store doesn't count as a failed one. */
export const STORE_TIMEOUT_MILLISECONDS = 800

/** Aimed length of a page of a table: a heartbeat that waits behind it on a link of 2 Mbit/s is still answered in time. */
export const PAGE_BYTES = 32_768
/** Rows in the first page of a table, whose length isn't known yet, and most rows in any. */
export const FIRST_PAGE_ROWS = 16
export const MAXIMUM_PAGE_ROWS = 500

/** Interval of heartbeats to the owner. Together with the silence below it bounds how long the planner has no owner; urgent work is due within about 3 s. */
export const HEARTBEAT_MILLISECONDS = 200
/** Time after which an unanswered heartbeat is repeated, and time limit of calls to members: far above a round trip between failure domains. */
export const HEARTBEAT_TIMEOUT_MILLISECONDS = 300
/** Pause before an unanswered heartbeat is repeated. */
export const HEARTBEAT_RETRY_MILLISECONDS = 40
/** Consecutive refused heartbeats after which the owner is assumed to be down. */
export const MISSED_HEARTBEATS = 2
/** Time without any reply of the owner after which it is assumed to be down; a reply counts for half of it after its heartbeat. */
export const OWNER_SILENCE_MILLISECONDS = 1000
/** Upper limit of that time while takeovers follow each other. */
export const LONGEST_SILENCE_MILLISECONDS = 3000
/** An owner that owns the planner for this long ends a chain of takeovers; before that it loads, and polls all backend servers at once. */
export const SETTLED_TENURE_MILLISECONDS = 5000
/** Delay per rank in the order of succession, so that the candidates don't all claim at the same time. */
export const SUCCESSION_STEP_MILLISECONDS = 120
/** Upper limit of that delay: beyond it the conditional write alone decides. */
export const LONGEST_TURN_MILLISECONDS = 2500
/** How long after its last heartbeat a VM keeps its position in the order of succession; a failed VM there delays each one behind it by a step. */
export const SUCCESSION_MEMORY_MILLISECONDS = 30_000
/** How far apart VMs start that are started together. */
export const START_SPREAD_MILLISECONDS = 300
/** How long a VM that has just started waits for heartbeats of VMs that started with it before it claims ownership. */
export const STARTUP_MILLISECONDS = START_SPREAD_MILLISECONDS + HEARTBEAT_MILLISECONDS
/** Time since its last contact with the owner after which a VM that reaches no other VM claims ownership: the others may all be down. */
export const ISOLATED_TAKEOVER_MILLISECONDS = 2500
/** An owner that neither the store nor a majority of its peers has confirmed for this long stops scheduling. */
export const OWNER_CONFIRMATION_LIMIT_MILLISECONDS = 2500
/** Share of the bound on evacuations for which an owner starts work by orders that it has read before: several calls to the store; the rest is for the call of the start. */
export const EVACUATION_READING_SHARE = 0.6
/** How long a start waits for its record, in milliseconds: several writes to a slow store, and far less than its lease. */
export const START_RECORD_MILLISECONDS = 1500
/**
 * How long an owner records all its starts after it could last store so. It covers the time until the next owner's claim, so
 * that a change of owners doesn't look like an outage of the store; in an outage nothing starts for so long.
 */
export const RECORDED_PERIOD_MILLISECONDS = 5000
/** An owner that a majority of its peers has not confirmed for this long sends no start that isn't recorded. */
export const UNRECORDED_START_CONFIRMATION_MILLISECONDS = 1000
/** How long after it was replaced an owner may send such a start at most: the time above, and that of a call. */
export const REPLACED_OWNER_START_MILLISECONDS = 1500
/** Interval at which the owner confirms its ownership with the store: several times within the limit above. */
export const CONFIRM_INTERVAL_MILLISECONDS = 500
/**
 * An owner that can't reach the store for this long hands over to a peer that can. The owner calls
 * the store every 0.5 s, and a peer gets an answer to its request for changes every 0.7 s.
 */
export const STORE_LOST_MILLISECONDS = 1000
/** How long after its last heartbeat a peer still counts as a member. */
export const MEMBER_EXPIRY_MILLISECONDS = 3000

/** How long a backend server with running tasks, and an idle one, holds a poll open at most until a task ends. */
export const BUSY_POLL_WAIT_MILLISECONDS = 1200
export const IDLE_POLL_WAIT_MILLISECONDS = 2000
/** Time limit of a poll on top of its wait; also the time limit of a start or a stop. */
export const CALL_SLACK_MILLISECONDS = 600
/** Pause after a failed poll. */
export const POLL_RETRY_MILLISECONDS = 250
/**
 * Pause between polls of a backend server for each of its runs and each backend server that is polled, so that reading all reports takes a
 * bounded share of the event loop's time; and its upper limit, far below the lease that a poll renews.
 */
export const POLL_PAUSE_PER_RUN_MILLISECONDS = 0.006
export const LONGEST_POLL_PAUSE_MILLISECONDS = 500
/** Pause between polls while reported task ends haven't been stored yet. */
export const UNSTORED_POLL_PAUSE_MILLISECONDS = 300
/** Delay of a scheduling round after an event, so that events close together are handled in one round. */
export const ROUND_DELAY_MILLISECONDS = 4
/** Longest interval between two scheduling rounds, for conditions that depend on time alone. */
export const ROUND_INTERVAL_MILLISECONDS = 150
/** A round that blocks the event loop for longer is logged; heartbeats time out after `HEARTBEAT_TIMEOUT_MILLISECONDS`. */
export const SLOW_ROUND_MILLISECONDS = 100
/** Lines for single starts, stops, ends and lost runs in an interval, and its length; further ones share lines of at most so many runs. */
export const RUN_LINES_PER_INTERVAL = 100
export const RUN_LOG_INTERVAL_MILLISECONDS = 1000
export const RUNS_PER_LINE = 1000
/** Length of the list of tasks in such a line, unless those on one backend server alone take more; the log cuts texts of over 2000 characters. */
export const RUN_LINE_CHARACTERS = 1800
/** Interval at which the owner logs its planner's load and rounds. */
export const PLANNER_SUMMARY_INTERVAL_MILLISECONDS = 2000
/** Writes of progress under way at a time: a start waits for its record. */
export const CONCURRENT_PROGRESS_WRITES = 3
/** How long progress that the store has refused for good isn't written, in milliseconds: a later form of it may be shorter. */
export const REFUSED_PROGRESS_MILLISECONDS = 5000
/** Bytes that the epoch in the row of a job may take. */
export const EPOCH_BYTES = 16
/** Progress records per transaction; the store accepts 100 entries, and each record takes two. */
export const PROGRESS_BATCH = 45
/** Characters of progress in one transaction, unless one record alone has more; the store accepts 1 MB, of which base64 takes a third more. */
export const PROGRESS_BATCH_CHARACTERS = 500_000
/**
 * Rows that share the ids of backend servers. All of them fit one transaction of 100 entries, of which each takes
 * two, and one row holds the ids of 600 backend servers, each of up to 100 bytes.
 */
export const SERVER_RECORD_ROWS = 32
/** Pause before the record of backend servers is written again for one that waits for it, in milliseconds. */
export const SERVER_RECORD_PAUSE_MILLISECONDS = 100
/** Pause between two deletions of jobs whose retention time has passed. */
export const DELETION_INTERVAL_MILLISECONDS = 1000
/** Jobs per deletion; the store accepts 100 entries, of which each job takes four and the owner's row one. */
export const DELETION_BATCH = 24
/** Cancellations of unknown ids per deletion; each takes two of the 100 entries, and the owner's row one. */
export const CANCELLATION_DELETION_BATCH = 45
/** Cancellations of unknown ids that a VM stores within the retention time; the owner keeps those of all VMs in memory. */
export const UNKNOWN_CANCELLATIONS = 300
/** How long the id of a deleted job stays known, so that an earlier read of its row doesn't plan it anew. */
export const DELETED_ID_MILLISECONDS = 180_000

/** Characters of the progress of open jobs that a new owner keeps while it loads: an eighth of its heap once it is decoded. */
export const LOADED_PROGRESS_CHARACTERS = 8_000_000
/** Jobs that wait in the store and are read at a time. */
export const INTAKE_BATCH = 16
/** How long a planned job of which nothing starts keeps others waiting in the store, in milliseconds; how often such jobs give way, and how many of a pool each time. */
export const TURN_MILLISECONDS = 3000
export const TURN_INTERVAL_MILLISECONDS = 1000
export const TURN_JOBS = 200
/** Jobs that wait in the store at which no VM accepts further ones: as many as the target has in half a day. Each takes some 200 bytes of the owner. */
export const MAXIMUM_WAITING_JOBS = 20_000
/** How old the owner's count of waiting jobs may be, in milliseconds; without a recent one a VM accepts jobs. */
export const WAITING_COUNT_AGE_MILLISECONDS = 3000
/** The `Retry-After` for a job that was refused since too many wait, in seconds. */
export const WAITING_RETRY_AFTER_SECONDS = 10
/** Time limit of a call to the owner about a job. */
export const OWNER_CALL_TIMEOUT_MILLISECONDS = 500
/** Pause before a call to the owner is repeated at the new one. */
export const OWNER_RETRY_MILLISECONDS = 100
/** How long a count waits for an owner that answers: a new one loads for about half a second. */
export const COUNT_WAIT_MILLISECONDS = 1500
/** Age of the configuration at which a VM requests a smaller one from others: it is reached only if two requests for changes end without an answer. */
export const CONFIGURATION_STALE_MILLISECONDS = 2 * FEED_WAIT_MILLISECONDS
/** Part of the bound on a revocation that is reserved for the time between the check and the answer. */
export const REVOCATION_RESERVE_MILLISECONDS = 600
/** How long a write that the store refuses is retried before it is relayed to another VM or reported to the caller. */
export const REFUSED_WRITE_RETRY_MILLISECONDS = 250
/** A store that hasn't answered for this long counts as unreachable: a request for changes is answered every 0.7 s in any case. */
export const STORE_SILENT_MILLISECONDS = 1100
/** Calls to the store that failed one after another, without an answer in between, and the time since its last answer, after which it counts as away. */
export const STORE_AWAY_FAILURES = 3
export const STORE_AWAY_MILLISECONDS = 300
/** Time before a caller's deadline after which its write isn't attempted any more: several round trips within the region. */
export const LAST_ATTEMPT_MILLISECONDS = 100
/** How long a write without an answer may still be carried out, and for how many such writes a VM remembers that. */
export const UNSETTLED_WRITE_MILLISECONDS = 30_000
export const UNSETTLED_WRITES = 2000
/** Time limit for relaying a job to another VM that stores it: several writes to a store without load. */
export const RELAY_TIMEOUT_MILLISECONDS = 800
/** The `Retry-After` that callers get, in seconds. */
export const RETRY_AFTER_SECONDS = 1
/** Interval at which changed speeds of backend servers are stored, in milliseconds: a new owner learns as much within a few polls. */
export const SPEED_RECORD_INTERVAL_MILLISECONDS = 5000
/** Backend servers whose speeds one row of the store holds. */
export const SPEED_RECORD_SERVERS = 1000
