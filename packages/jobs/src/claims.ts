/** Selects the jobs that claim their workspace's guaranteed accelerators. */
import { acceleratorsOf } from './job.js'
import type { JobState } from './job-state.js'
import type { PlannerState } from './state.js'

/**
 * Selects jobs of priority 0 that fit into their workspaces' guarantees, the earliest received first.
 *
 * @example
 * claimsOf(state).has(job)
 */
export function claimsOf (state: PlannerState): ReadonlySet<JobState> {
  const remaining = new Map(state.configuration?.workspaces.map(workspace => [workspace.name, workspace.guaranteedAccelerators]))
  const claims = new Set<JobState>()
  for (const job of state.openJobs) {
    state.work.add(1)
    if (state.termsOf(job)?.priority !== 0) continue
    const need = Math.max(...job.job.steps.map(acceleratorsOf))
    const free = remaining.get(job.job.workspace) ?? 0
    if (need > free) continue
    remaining.set(job.job.workspace, free - need)
    claims.add(job)
  }
  return claims
}
