/** Time and size limits of the planner. */

/** Lowest rate at which a backend server's clock may run, relative to ours. */
export const MINIMUM_SERVER_CLOCK_RATE = 0.98
/** Consecutive failures after which a backend server is unhealthy; a single one may be the task's own fault. */
export const UNHEALTHY_AFTER_FAILURES = 2
/** How long a backend server that has left a start unanswered is avoided where others have room, in milliseconds. */
export const UNANSWERED_START_AVOIDANCE_MILLISECONDS = 4000
/** How long after a failure a backend server is avoided by tasks with few attempts left, in milliseconds: about one run time. */
export const FAILURE_AVOIDANCE_MILLISECONDS = 6000
/** How long after its last failure an unhealthy backend server gets no work, in milliseconds. Later starts test whether it has recovered. */
export const UNHEALTHY_MILLISECONDS = 8000
/** Runs lost with their backend servers from which on a task or gang may be the cause, and is isolated. */
export const SUSPECT_LOST_RUNS = 2
/** Crashes that only a task can explain from which on its job is given up, if no other backend server crashes. */
export const GIVE_UP_ATTRIBUTED_CRASHES = 3
/** Crashes under a task, all when it had just started, from which on its job is given up. */
export const GIVE_UP_CRASHES_AT_START = 4
/** Crashes under a task from which on its starts are counted, since users allow two more. */
export const COUNTED_AFTER_CRASHES = 3
/** Crashes and other ends of starts so counted from which on a task is given up. */
export const GIVE_UP_STARTS = 5
/** Crashes that are remembered for each task. */
export const REMEMBERED_CRASHES = 5
/** Time from a start to a crash up to which the starts of a task are bounded whatever the background is, in milliseconds. */
export const SHORT_EXPOSURE_MILLISECONDS = 5000
/** Crashes that are expected by coincidence in the time that a task was at work, from which on these explain those under it: if all came at about the same time after the start, and if not. */
export const MOST_COINCIDENCES_IF_ALIKE = 0.5
export const MOST_COINCIDENCES = 0.05
/** Range in which the times from start to crash are alike, in milliseconds: a poll, and its timeout. */
export const ALIKE_EXPOSURES_MILLISECONDS = 2000
/** Such crashes up to which each crash that only the task can explain counts in full. */
export const QUIET_COINCIDENCES = 0.01
/** Other backend servers that crash at the same time from which on a crash isn't counted against the tasks there: more than single crashes in close succession. */
export const MASS_OUTAGE_SERVERS = 3
/** Period over which the crash rate of other backend servers is measured, in milliseconds. */
export const BACKGROUND_MILLISECONDS = 30_000
/** How much longer than until an earlier crash a run has to work to refute it while it may still crash itself, in milliseconds: tasks don't crash at exactly the same time. */
export const REFUTATION_MARGIN_MILLISECONDS = 2000
/** Lost runs that are remembered for each task or gang. */
export const REMEMBERED_LOST_RUNS = 4
/** How long after a start an outage may be due to it, in milliseconds: a process that ends resets its connections at once. */
export const CRASH_AT_START_MILLISECONDS = 500
/** How long a job has nothing running in a mostly idle pool before that is logged, in milliseconds: above the users' limit of 3 s. */
export const IDLE_JOB_MILLISECONDS = 4000
/** Interval at which such jobs are looked for, in milliseconds. */
export const IDLE_JOB_CHECK_MILLISECONDS = 2000
/** When an owner first looks for them, in milliseconds after its first round: by then those backend servers have answered to which it has a connection. */
export const FIRST_IDLE_JOB_CHECK_MILLISECONDS = 1000
/** Such jobs that are logged each time. */
export const MAXIMUM_IDLE_JOBS_LOGGED = 20
/** How long a task or gang that is to be isolated waits for empty backend servers, in milliseconds: work that fits has to run within 3 s. */
export const MAXIMUM_ISOLATION_WAIT_MILLISECONDS = 2000
/** How long nothing else is started beside an isolated run, in milliseconds, so that long runs share their backend servers again. */
export const ISOLATION_MILLISECONDS = 10_000
/** Backend servers that become unreachable within this time may have failed together, in milliseconds: a poll, and its timeout. */
export const OUTAGE_MILLISECONDS = 2000
/** A run without progress for this long is stuck, in milliseconds: several polls. */
export const STUCK_MILLISECONDS = 4000
/** A run is stuck only after this many times its mean time per percent without progress, so that slow runs are not stopped. */
export const STUCK_PERCENT_TIME_FACTOR = 6
/** How long a claim waits for capacity to become free before runs without checkpoints are stopped for it, in milliseconds: less than the slack of urgent work, far less than the reclaim bound. */
export const MAXIMUM_RECLAIM_WAIT_MILLISECONDS = 350
/** A claim waits for capacity for this share of the time that it could lose and still end in time after the stops. */
export const RECLAIM_WAIT_SHARE = 0.25
/** A stop that takes longer than this is an exception, on a backend server that is slow or was unreachable, in milliseconds. */
export const LONGEST_STOP_MILLISECONDS = 1000
/** Weight with which a stop that was shorter lowers the longest recent one. */
export const STOP_TIME_DECAY = 0.01
/** How long a claim waits for a single rack, or for backend servers without recent failures, in milliseconds: leaves time within the reclaim bound for stops, starts and a slow call. */
export const MAXIMUM_CLAIM_PLACEMENT_WAIT_MILLISECONDS = 1400
/** Stop cost up to which a claim does not wait, in server-milliseconds of the most urgent work: one task that has just started. */
export const CHEAP_RECLAIM_SERVER_MILLISECONDS = 500
/** Price of discarded work, added to the weight of the work that has to be repeated. */
export const WASTE_WEIGHT = 0.2
/** Runs are preempted for work that is no claim only if it gains this many times the stop cost, since both estimates are rough. */
export const PREEMPTION_MARGIN = 2
/** Only a claim may discard more than this of one run, in milliseconds: above the time to resume from a checkpoint. */
export const MAXIMUM_PREEMPTION_LOSS_MILLISECONDS = 1000
/** Expected delay of work that does not preempt, in milliseconds: a fraction of a mean run. */
export const PREEMPTION_DELAY_MILLISECONDS = 1500
/** Maximum number of preemption plans per round; each one searches all backend servers of the pool. */
export const PREEMPTIONS_PER_ROUND = 4
/** Starts under way at a time, and stops, over all backend servers and for each: a call that waits for others would use up its time limit. */
export const MAXIMUM_CALLS_UNDER_WAY = 512
export const MAXIMUM_CALLS_PER_SERVER = 32
/** Starts under way to which the limit falls while starts aren't answered, and how often it is halved at most, in milliseconds: the time limit of a start. */
export const LEAST_STARTS_UNDER_WAY = 32
export const START_LIMIT_INTERVAL_MILLISECONDS = 600
/** Stops under way for a backend server that has missed polls, so that those for others don't wait for it. */
export const STOPS_PER_UNREACHABLE_SERVER = 2
/** Tasks of one step that may find no capacity in a round before it stops looking for any for the others: claims look on, since others may wait for a better placement or be isolated. */
export const MAXIMUM_BLOCKED_TASKS = 8
/** Tasks of one step for which one search frees capacity: more than the accelerators of a guarantee. */
export const MAXIMUM_RECLAIMED_TASKS = 2000
/** Examinations of backend servers with which a round places the tasks that it starts; the next round follows at once. It starts a number of tasks in any case. */
export const MAXIMUM_START_EXAMINATIONS_PER_ROUND = 40_000
export const LEAST_STARTS_PER_ROUND = 64
/** Examinations after which a round begins no further search for claims, or for reservations: a quarter of the 100 ms that a round may take on a present-day core, at a microsecond each. */
export const MAXIMUM_SEARCH_EXAMINATIONS_PER_ROUND = 25_000
/** Examinations after which a round places no further gang that may find no capacity: a tenth of what a round may examine. */
export const MAXIMUM_GANG_EXAMINATIONS_PER_ROUND = 10_000
/** Minimum share of the unclaimed guaranteed accelerators that is expected to be claimed before long work ends. */
export const MINIMUM_EXPECTED_CLAIM_SHARE = 0.5
/**
 * Progress, in percent, at which the work of a run counts as done although the run has not
 * ended. A gang member can stay at it until slower members finish, without counting as stuck.
 */
export const WORK_DONE_PERCENT = 99
/** Gangs that hold a reservation at the same time: reserved capacity idles until the gang starts. */
export const MAXIMUM_RESERVED_GANGS = 2
/** Time constant with which the peak of claims decays, in milliseconds: about one wave of demand. */
export const CLAIM_PEAK_DECAY_MILLISECONDS = 10_000
/** A run number is the owner's epoch times this, plus a count; an owner starts fewer runs than this. */
export const RUNS_PER_EPOCH = 1_000_000
/** How long a final phase can be queried, in milliseconds; the platform requires 120 s. */
export const RETENTION_MILLISECONDS = 180_000
/** Lease of every run, in milliseconds: outlasts a restart of all VMs, and bounds how long an unreachable run blocks its task. */
export const LEASE_MILLISECONDS = 6000
/**
 * Longest lease that a backend server grants, in milliseconds. A start that a new incarnation carries out gets it: its
 * lease was meant for the clock of the earlier one, which had run for longer.
 */
export const LONGEST_LEASE_MILLISECONDS = 10_000
/** How long a disconnected owner may keep renewing leases, in milliseconds; see the limits of the entry package. */
export const DISCONNECTED_OWNER_MILLISECONDS = 3000
/** How long a start without an answer waits for a poll that shows whether the run exists, in milliseconds: several polls, and less than members of a gang wait for each other. */
export const START_SETTLEMENT_MILLISECONDS = 1000
/** How long after it was sent a start without an answer may still be carried out, in milliseconds. */
export const LATE_START_MILLISECONDS = 15_000
/** Time after which an unanswered stop is sent again, in milliseconds: longer than a call takes. */
export const STOP_RETRY_MILLISECONDS = 800
/** A draining backend server is evacuated once it may shut down within this time, in milliseconds: enough for a stop, its answer and a poll. */
export const EVACUATION_MILLISECONDS = 1200
/** How long an order to evacuate a failure domain holds before work is moved, in milliseconds: one that was given by mistake is withdrawn at once. */
export const EVACUATION_MOVE_DELAY_MILLISECONDS = 1000
/** Interval between two searches for work to move, in milliseconds: the time of a stop and a start. */
export const EVACUATION_MOVE_INTERVAL_MILLISECONDS = 500
/** Runs, or gangs, that are moved at a time. */
export const EVACUATION_MOVES = 8
/** Runs, or gangs, for which room is searched among all backend servers each time. */
export const EVACUATION_SEARCHES = 32
/** Work is moved only if it still takes this many times what its stop costs, since both estimates are rough. */
export const EVACUATION_MOVE_MARGIN = 8
/** Share of the accelerators and processors elsewhere that moved work leaves free for work that arrives. */
export const EVACUATION_FREE_SHARE = 0.25
/** Assumed run time in a queue without completed runs, in milliseconds. */
export const INITIAL_RUN_TIME_ESTIMATE_MILLISECONDS = 4000
/** Weight of the newest value in a queue's moving averages of run time and work. */
export const MOVING_AVERAGE_WEIGHT = 0.1
/** How long a task waits for the rack of its data before it runs elsewhere, in milliseconds: less than the slower run costs. */
export const MAXIMUM_DATA_RACK_WAIT_MILLISECONDS = 2000
/** How long work waits for a better placement while most of the pool is idle, in milliseconds: work that fits has to run within 3 s. */
export const MAXIMUM_IDLE_POOL_WAIT_MILLISECONDS = 2500
/** Remaining validity that a ticket needs for a start, in milliseconds: the time of the call. */
export const TICKET_RESERVE_MILLISECONDS = 300
/** Time after which an unanswered request for advice is repeated, in milliseconds. */
export const ADVICE_RETRY_MILLISECONDS = 1500
/** Backend servers in a request for advice beyond those needed: some are refused, and each one adds to the decision time. */
export const ADVICE_SPARE_SERVERS = 6
/** Maximum number of backend servers in one request for advice. */
export const MAXIMUM_ADVICE_SERVERS = 100
/**
 * Age of the registry up to which backend servers that accept every start get any, in milliseconds. A smaller
 * capacity counts 3 s after its server has reported it; the rest of that is for reading it and for the start's call.
 */
export const MAXIMUM_REGISTRY_AGE_MILLISECONDS = 2000
/** How long after its start an owner waits for backend servers whose rows it can't read, in milliseconds: a row that another writer has overwritten comes back with the next heartbeat. */
export const OVERWRITTEN_ROW_MILLISECONDS = 2000
/** Entries up to which completed tasks, and placements, are stored as lists; a row of the store has 65,536 bytes, of which completed tasks as bits take 17 kB. */
export const MAXIMUM_LISTED_ENTRIES = 5000
/** Share of the placements that didn't fit from which on they are listed again: without it a job changes its form with each start. */
export const LISTED_AGAIN_SHARE = 15 / 16
/** Characters of one entry at most, and of the names and quotes around the id and the address in a placement. */
export const ENTRY_CHARACTERS = 6
export const PLACEMENT_CHARACTERS = 30
/** Characters that failed runs, and those lost with backend servers, take in a job's progress at most, beside lists of up to 30,000 and the bits of completed tasks. */
export const FAILURE_CHARACTERS = 12_000
/** Entries that the key and the braces of a step take. */
export const STEP_ENTRIES = 6
/** Bytes of a row of the store, where the platform doesn't say how many it has. */
export const MAXIMUM_ROW_BYTES = 65_536
/** Those that are left free beside a job's progress in its row, for the time since when nothing of it runs. */
export const PROGRESS_RESERVE_BYTES = 536
/** Steps of a job's occurrences with waiting tasks at which no further occurrence is activated, however many are due: each step that is activated takes memory. */
export const MAXIMUM_OPEN_STEPS = 256
/** Planning load of all open jobs that an owner plans at most: a quarter of its heap, and rounds of a present-day core below 50 ms. What exceeds it waits in the store. */
export const MAXIMUM_PLANNED_LOAD = 4000
/** Planning load of jobs with runs that is planned beside that: they can't give way to others, and cost a round little. */
export const MAXIMUM_RUNNING_LOAD = 6000
/** Steps of a job's activated occurrences at which no further one is activated, whether they wait or not; steps that last don't count, since they don't end. */
export const MAXIMUM_ACTIVE_STEPS = 1024
/** Steps of activated occurrences beside the first of each job, over all jobs, at which no job activates a further one: each takes 2 to 3 kB of the heap. */
export const MAXIMUM_OVERLAPPING_STEPS = 20_000
/** Members of a gang at most, and those that an owner starts in a second. */
export const MAXIMUM_GANG_MEMBERS = 2048
export const GANG_STARTS_PER_SECOND = 500
/** Maximum number of tasks of a job over all steps and occurrences; it limits the bits that are kept for them, and the work of finding those that wait. */
export const MAXIMUM_TASKS_PER_JOB = 100_000
