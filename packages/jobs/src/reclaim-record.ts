/** Records for whose sake runs are stopped, so that a log leads from a run that was taken back to the job that it was stopped for. */
import type { Candidate } from './order.js'
import type { VictimGroup } from './reclaim.js'
import type { StartUnit } from './start-unit.js'
import type { PlannerState } from './state.js'

/** Why a job may have runs of others stopped: it claims its workspace's guarantee, or it gains more than they lose. */
export type ReclaimKind = 'claim' | 'weight'

/**
 * Records a decision to stop runs, for the log.
 *
 * @example
 * noteReclaimed(state, plan.victims, unit, candidate)
 */
export function noteReclaimed (state: PlannerState, victims: readonly VictimGroup[], { step, count }: StartUnit, { isClaim, waitedMilliseconds }: Candidate): void {
  const runs = victims.flatMap(group => group.members.map(({ run }) => run))
  state.recordEvent({
    type: 'runs-reclaimed',
    job: step.job.job.id,
    step: step.name,
    kind: isClaim ? 'claim' : 'weight',
    isGang: step.specification.isGang,
    tasks: count,
    accelerators: count * step.specification.need.accelerators,
    runs: runs.length,
    servers: new Set(runs.map(run => run.server)).size,
    freed: runs.reduce((sum, { need }) => sum + need.accelerators, 0),
    waitedMilliseconds
  })
}
