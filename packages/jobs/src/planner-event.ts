/** The events of the planner, for the log. */
import type { Epoch } from '@cornelgauge/model'
import type { RunOrigin } from './duplicate-runs.js'
import type { EvacuationEvent } from './evacuations.js'
import type { JobId, PoolName, RunNumber, ServerId, StepName, TaskName } from './ids.js'
import type { IdleReason } from './idle-jobs.js'
import type { JobPhase } from './job.js'
import type { ReclaimKind } from './reclaim-record.js'
import type { RunEnd } from './server.js'

/** Why a run that no list has as ended is known to be gone: a complete list lacks it, or its backend server has restarted, was replaced, or was unreachable until all leases had expired. */
export type GoneCause = 'unlisted' | 'restarted' | 'replaced' | 'expired'

/** What has shown a restart: the entry in the registry, or an answer to a poll. */
export type RestartSource = 'registry' | 'report'

/** An event of a task, a job or a backend server, for the log. */
export type PlannerEvent =
  | { readonly type: 'task-ended', readonly task: TaskName, readonly run: RunNumber, readonly server: ServerId, readonly how: RunEnd | 'gone', readonly cause?: GoneCause }
  | { readonly type: 'server-restarted', readonly server: ServerId, readonly source: RestartSource, readonly earlier: number, readonly incarnation: number, readonly missedPolls: number, readonly sinceAnswer: number, readonly dropped: number, readonly kept: number, readonly youngest?: number }
  | { readonly type: 'server-leases-expired', readonly server: ServerId, readonly missedPolls: number, readonly sinceAnswer: number, readonly runs: number, readonly unconfirmed: number }
  | { readonly type: 'duplicate-run', readonly task: TaskName, readonly run: RunNumber, readonly server: ServerId, readonly known: RunOrigin, readonly keptRun: RunNumber, readonly keptServer: ServerId, readonly keptKnown: RunOrigin, readonly members: number }
  | { readonly type: 'run-lost-with-server', readonly task: TaskName, readonly run: RunNumber, readonly server: ServerId, readonly lostRuns: number, readonly alone: boolean }
  | { readonly type: 'crash-attributed', readonly task: TaskName, readonly run: RunNumber, readonly server: ServerId, readonly crashes: number, readonly exposureMilliseconds?: number, readonly background: number }
  | { readonly type: 'crashes-refuted', readonly task: TaskName, readonly run: RunNumber, readonly server: ServerId, readonly discarded: number, readonly workedMilliseconds: number }
  | { readonly type: 'runs-reclaimed', readonly job: JobId, readonly step: StepName, readonly kind: ReclaimKind, readonly isGang: boolean, readonly tasks: number, readonly accelerators: number, readonly runs: number, readonly servers: number, readonly freed: number, readonly waitedMilliseconds: number }
  | { readonly type: 'job-given-up', readonly job: JobId, readonly task: TaskName, readonly lostRuns: number }
  | { readonly type: 'job-idle', readonly job: JobId, readonly task: TaskName, readonly reason: IdleReason, readonly server?: ServerId, readonly servers?: number, readonly waitMilliseconds?: number, readonly epoch: Epoch, readonly milliseconds: number, readonly age: number }
  | { readonly type: 'progress-refused', readonly job: JobId }
  | { readonly type: 'job-ended', readonly job: JobId, readonly phase: JobPhase, readonly milliseconds: number }
  | EvacuationEvent
  | { readonly type: 'server-speeds', readonly pool: PoolName, readonly known: number, readonly tooSlow: number, readonly stretch: number, readonly slow: string }
  | { readonly type: 'server-pool-unknown', readonly server: ServerId, readonly pool: PoolName }
