/** Times and bounds of an entry VM, in milliseconds where not said otherwise. */

/** A feed answers within this time, with or without a change: far below the 2 s in which a change is to be in force. */
export const FEED_WAIT_MILLISECONDS = 700
/** A feed that is silent for this much longer is asked anew on another connection. */
export const FEED_SLACK_MILLISECONDS = 400
/** Pause between two reads of the registry's changes: backend servers report every 1.5 s and leave with 2 s notice. */
export const REGISTRY_PAUSE_MILLISECONDS = 250
/** Pause after a failed call to the store. */
export const STORE_RETRY_MILLISECONDS = 100
/** Time limit of one call to the store: many times its usual 4 ms, so that a slow store is waited for. */
export const STORE_TIMEOUT_MILLISECONDS = 800

/** Time between two heartbeats to the owner: with two that are missed it bounds how long urgent work, due in about 3 s, has no owner. */
export const HEARTBEAT_MILLISECONDS = 200
/** Time limit of a heartbeat: far above a round trip between failure domains and a pause of a busy VM. */
export const HEARTBEAT_TIMEOUT_MILLISECONDS = 300
/** Heartbeats without an answer after which the owner is taken for gone. */
export const MISSED_HEARTBEATS = 2
/** Each VM waits this much longer than the one before it in the order of succession. */
export const SUCCESSION_STEP_MILLISECONDS = 120
/** An isolated VM takes over only after this: all others may really be gone. */
export const ISOLATED_MILLISECONDS = 2500
/** An owner without the store's or most peers' word for this long stops deciding. */
export const OWNER_DOUBT_MILLISECONDS = 2500
/** Time between two questions of an owner whether it still is: several within the time after which it doubts. */
export const CONFIRM_INTERVAL_MILLISECONDS = 500
/** An owner cut off from the store for this long hands over, if a peer still reaches it: its calls come every 0.5 s, a peer's feed answers every 0.7 s. */
export const STORE_LOST_MILLISECONDS = 1000
/** A peer counts as a member for this long after its last heartbeat. */
export const MEMBER_MILLISECONDS = 3000

/** How long a look waits at a busy backend server for an end, and at an idle one. */
export const BUSY_LOOK_MILLISECONDS = 1200
export const IDLE_LOOK_MILLISECONDS = 2000
/** What a look may take beyond its wait; a start or stop may take as long. */
export const CALL_SLACK_MILLISECONDS = 600
/** Pause after a failed look. */
export const LOOK_RETRY_MILLISECONDS = 250
/** Pause between looks while ends are known that can't be stored yet. */
export const UNSTORED_LOOK_MILLISECONDS = 300
/** Events that come within this time are decided on together. */
export const ROUND_DELAY_MILLISECONDS = 4
/** A round is held at least this often, for what only time brings. */
export const ROUND_INTERVAL_MILLISECONDS = 150
/** Progress records in one transaction; the store takes 100 entries. */
export const PROGRESS_BATCH = 45

/** Time limit of a call to the owner about a job. */
export const OWNER_CALL_MILLISECONDS = 500
/** Part of a revocation's bound kept back for what happens between the check and the answer. */
export const REVOCATION_RESERVE_MILLISECONDS = 600
/** How long a write that the store refuses is tried, before another VM is asked or the caller is told. */
export const REFUSED_PATIENCE_MILLISECONDS = 250
/** A store that hasn't answered for this long is silent: a feed answers every 0.7 s in any case. */
export const STORE_SILENT_MILLISECONDS = 1100
/** Time limit of a job that is handed to another VM to be stored: several writes of a calm store. */
export const RELAY_MILLISECONDS = 800
/** What callers are told to wait before they come again, in seconds. */
export const RETRY_AFTER_SECONDS = 1
