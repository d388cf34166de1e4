/** Which jobs may claim accelerators that their workspace is guaranteed. */
import { acceleratorsOf } from './job.js'
import type { JobState } from './job-state.js'
import type { PlannerState } from './state.js'

/**
 * The urgent jobs that fit into their workspaces' guarantees, the earliest first.
 *
 * @example
 * claimsOf(state).has(job)
 */
export function claimsOf (state: PlannerState): ReadonlySet<JobState> {
  const left = new Map(state.configuration?.workspaces.map(workspace => [workspace.name, workspace.guaranteedAccelerators]))
  const claims = new Set<JobState>()
  for (const job of state.jobs.values()) {
    if (!job.isOpen || state.queueOf(job)?.priority !== 0) continue
    const need = Math.max(...job.job.steps.map(acceleratorsOf))
    const free = left.get(job.job.workspace) ?? 0
    if (need > free) continue
    left.set(job.job.workspace, free - need)
    claims.add(job)
  }
  return claims
}
