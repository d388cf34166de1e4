/** Times and bounds of the planner. */

/** Slowest that a backend server's clock may run against ours. */
export const SERVER_CLOCK_SLOWEST = 0.98
/** Failures in a row after which a backend server counts as unsound; one may be the task's own fault. */
export const UNSOUND_AFTER_FAILURES = 2
/** How long one failure keeps urgent gangs with few attempts away, in milliseconds: about one run time. */
export const FAILURE_MEMORY_MILLISECONDS = 6000
/** How long an unsound backend server gets no work but trials, in milliseconds. */
export const UNSOUND_MILLISECONDS = 8000
/** Runs that make no progress for this long are taken for stuck, in milliseconds: several looks. */
export const STUCK_MILLISECONDS = 4000
/** A run is stuck only if its progress stands still this many times as long as one percent of it took so far. */
export const STUCK_PERCENTS = 6
/** How long a claim waits for room to come by itself before work that isn't saved is stopped for it, in milliseconds: less than the slack of urgent work, far less than the reclaim bound. */
export const RECLAIM_PATIENCE_MILLISECONDS = 350
/** How long a claim waits for one rack before it is spread, in milliseconds: what is left of the reclaim bound then takes stops, starts and a slow call. */
export const CLAIM_RACK_PATIENCE_MILLISECONDS = 1400
/** What may be lost by stops without that wait, in milliseconds of whole backend servers of the most urgent work: one young task. */
export const CHEAP_RECLAIM = 500
/** What the price of work thrown away adds to the weight of the work that is done again. */
export const WASTE_WEIGHT = 0.2
/** Work is stopped for what isn't a claim only if that earns this many times what it loses: the estimates of both are rough. */
export const PREEMPTION_MARGIN = 2
/** Only a claim throws away more than this of one run, in milliseconds: above what going on from a checkpoint takes. */
export const MOST_LOST_MILLISECONDS = 1000
/** How much later work is expected to find room without that, in milliseconds: a part of a mean run. */
export const PREEMPTION_DELAY_MILLISECONDS = 1500
/** Plans for such stops in one round: each costs a search through the pool. */
export const PREEMPTIONS_PER_ROUND = 4
/** Of the guaranteed accelerators that nobody claims, this share is expected to be claimed before long work ends. */
export const LEAST_EXPECTED_SHARE = 0.5
/** A run at this percentage has done its work; a member of a gang waits there for the slower ones. */
export const WORK_DONE_PERCENT = 99
/** Gangs for which room is kept at the same time: each one idles what it waits for. */
export const RESERVED_GANGS = 2
/** Claims are expected to come back to their last peak, which fades in about this time, in milliseconds: a wave of demand. */
export const CLAIM_MEMORY_MILLISECONDS = 10_000
/** A run number is the owner's epoch times this, and a count: an owner makes fewer starts. */
export const RUNS_PER_EPOCH = 1_000_000
/** How long a final state is told, in milliseconds; the platform asks for 120 s. */
export const RETENTION_MILLISECONDS = 180_000
/** Lease of everything that runs, in milliseconds: outlasts a restart of all VMs, and bounds how long lost work holds its task. */
export const LEASE_MILLISECONDS = 6000
/** How long an owner that lost touch may go on renewing leases, in milliseconds; see `ownership` in the entry package. */
export const LOST_OWNER_MILLISECONDS = 3000
/** Time after which a stop without an answer is sent again, in milliseconds: longer than a call takes. */
export const STOP_AGAIN_MILLISECONDS = 800
/** A leaving backend server is emptied when it may be gone in this time, in milliseconds: a stop, its answer and a look. */
export const EVACUATION_MILLISECONDS = 1200
/** Guess of a run time before any was measured, in milliseconds. */
export const FIRST_RUN_GUESS_MILLISECONDS = 4000
/** Weight of the newest run time in the mean of a queue. */
export const RUN_TIME_WEIGHT = 0.1
/** How long a task waits for the rack of its data before it runs elsewhere, in milliseconds: less than it loses there. */
export const DATA_RACK_PATIENCE_MILLISECONDS = 2000
/** How long work waits for a better place while most of the pool is idle, in milliseconds: work with room for it is to run within 3 s. */
export const IDLE_POOL_PATIENCE_MILLISECONDS = 2500
/** A ticket is used for starts that arrive before it expires: a call's time, in milliseconds. */
export const TICKET_RESERVE_MILLISECONDS = 300
/** Time after which advice that had no answer is asked for again, in milliseconds. */
export const ADVICE_AGAIN_MILLISECONDS = 1500
/** Backend servers named in one call for advice beyond those needed: some are not allowed, and each one costs time. */
export const ADVICE_SPARE_SERVERS = 6
/** The most that one call for advice may name. */
export const ADVICE_MOST_SERVERS = 100
