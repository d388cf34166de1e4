/** The deployment size that the capacity page is calculated for. */

/** Quantities of the complete deployment that drive the costs. */
export const SIZE = {
  workers: 19_000,
  accelerators: 34_000,
  jobsPerDay: 37_000,
  tasks: 170_000,
  gangMembers: 1024,
  teams: 180,
  failureDomains: 21,
  documentChangesPerDay: 28_000,
  vmFailuresPerDay: 290,
  vmRestartsPerDay: 5800
} as const

/** What the control plane may use on one node: milliseconds of processor time a second, bytes sent and received a second, bytes of memory. */
export const NODE_BUDGET = { processor: 13, bytes: 29_000, memory: 32_000_000 } as const
/** Writes and reads that the table service handles a second. */
export const TABLE_BUDGET = { writes: 400, reads: 2000 } as const
/** Budgets of time, in milliseconds. */
export const TIME_BUDGET = { urgentStart: 8700, documentInForce: 9000 } as const

/** Assumptions that the deployment size does not determine. */
export const ASSUMED = { waitingShareOfDay: 0.1, retentionDays: 1 } as const

const perDomain = (count: number): number => Math.round(count / SIZE.failureDomains)

/** The size of one cell, which is one failure domain. */
export const CELL = {
  servers: perDomain(SIZE.workers),
  accelerators: perDomain(SIZE.accelerators),
  tasks: perDomain(SIZE.tasks),
  waiting: perDomain(SIZE.jobsPerDay * ASSUMED.waitingShareOfDay),
  kept: perDomain(SIZE.jobsPerDay * ASSUMED.retentionDays),
  workspaces: SIZE.teams
} as const
