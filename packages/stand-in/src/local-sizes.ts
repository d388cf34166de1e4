/**
 * The sizes and delays of the two deployments, and the sample of work that drives them.
 */

/** One kind of work in the sample load. */
export interface KindLoad {
  readonly kind: string
  readonly perSecond: number
  /** Bounds of how long a task truly runs, in milliseconds. */
  readonly shortestMilliseconds: number
  readonly longestMilliseconds: number
  readonly deadlineMilliseconds: number
}

/** A deployment as its users have it today. */
export interface DeploymentSizes {
  readonly name: string
  readonly failureDomains: readonly string[]
  readonly entryVmsPerDomain: number
  readonly backendServersPerDomain: number
  readonly serversPerRack: number
  readonly slots: number
  readonly accelerators: number
  /** One way between failure domains. */
  readonly oneWayMilliseconds: number
  /** One way between callers and entry VMs. */
  readonly clientOneWayMilliseconds: number
  readonly workspaces: readonly string[]
  readonly kinds: readonly KindLoad[]
}

const TODAY = {
  entryVmsPerDomain: 3,
  backendServersPerDomain: 10,
  serversPerRack: 8,
  slots: 8,
  accelerators: 8
} as const

const HLIDKA: DeploymentSizes = {
  ...TODAY,
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
  ...TODAY,
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

/** Each deployment by its name. */
export const DEPLOYMENTS: Readonly<Record<string, DeploymentSizes>> = { hlidka: HLIDKA, 'silver-fare': SILVER_FARE }
