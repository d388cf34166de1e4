/**
 * Sizes and delays of the two example deployments, and the sample load that drives them.
 */

/** One kind of work in the sample load. */
export interface KindLoad {
  readonly kind: string
  readonly perSecond: number
  /** Bounds of a task's actual run time. */
  readonly shortestMilliseconds: number
  readonly longestMilliseconds: number
  readonly deadlineMilliseconds: number
}

/** Size, delays and work of one deployment. */
export interface DeploymentSizes {
  readonly name: string
  readonly failureDomains: readonly string[]
  readonly entryVmsPerDomain: number
  readonly backendServersPerDomain: number
  readonly serversPerRack: number
  readonly slots: number
  readonly accelerators: number
  /** One-way propagation delay between failure domains. */
  readonly oneWayMilliseconds: number
  /** One-way propagation delay between callers and entry VMs. */
  readonly clientOneWayMilliseconds: number
  readonly workspaces: readonly string[]
  readonly kinds: readonly KindLoad[]
}

/** What both deployments have today. */
const COMMON_SIZES = {
  entryVmsPerDomain: 3,
  backendServersPerDomain: 10,
  serversPerRack: 8,
  slots: 8,
  accelerators: 8
} as const

const HLIDKA: DeploymentSizes = {
  ...COMMON_SIZES,
  name: 'hlidka',
  failureDomains: ['praha', 'plzen', 'liberec'],
  oneWayMilliseconds: 3,
  clientOneWayMilliseconds: 3,
  workspaces: ['pobocky-praha', 'pobocky-plzen', 'pobocky-liberec', 'ustredi'],
  kinds: [
    { kind: 'shift-swap', perSecond: 10, shortestMilliseconds: 20, longestMilliseconds: 150, deadlineMilliseconds: 3000 },
    { kind: 'term-rota', perSecond: 0.4, shortestMilliseconds: 2000, longestMilliseconds: 6000, deadlineMilliseconds: 120_000 },
    { kind: 'availability-check', perSecond: 5, shortestMilliseconds: 50, longestMilliseconds: 400, deadlineMilliseconds: 30_000 }
  ]
}

const SILVER_FARE: DeploymentSizes = {
  ...COMMON_SIZES,
  name: 'silver-fare',
  failureDomains: ['tas-hobart', 'tas-launceston', 'tas-burnie'],
  oneWayMilliseconds: 5,
  clientOneWayMilliseconds: 1,
  workspaces: ['hall-volunteers', 'library-counters', 'phone-line', 'night-batch'],
  kinds: [
    { kind: 'renewal', perSecond: 8, shortestMilliseconds: 30, longestMilliseconds: 200, deadlineMilliseconds: 3000 },
    { kind: 'eligibility-check', perSecond: 6, shortestMilliseconds: 10, longestMilliseconds: 100, deadlineMilliseconds: 3000 },
    { kind: 'pass-reprint', perSecond: 2, shortestMilliseconds: 50, longestMilliseconds: 300, deadlineMilliseconds: 10_000 },
    { kind: 'proof-of-age-check', perSecond: 4, shortestMilliseconds: 100, longestMilliseconds: 1000, deadlineMilliseconds: 60_000 }
  ]
}

/** The deployments by name. */
export const DEPLOYMENTS: Readonly<Record<string, DeploymentSizes>> = { hlidka: HLIDKA, 'silver-fare': SILVER_FARE }
