/**
 * Claims: capacity that is assigned to a waiting job while the jobs that still run
 * there are being preempted. No other job is started on the capacity that they free.
 */
import { addAmount, coversAmount, NO_AMOUNT, type Amount } from './amount.js'
import { addAllocation, compareNames, findServer, isOpen } from './capacity.js'
import { hasHeadroom } from './headroom.js'
import { movedSites, moveGuarantee } from './move.js'
import { freeAmount } from './room.js'
import { dropReservation, markStopping, startJob, type Site } from './running.js'
import type { Decision, Job } from './interface.js'
import { claimableSites } from './site.js'
import type { Claim, ScheduleState } from './state.js'
import { chooseVictims, type Victims } from './victim.js'

/** A new state, and the decisions that led to it. */
export interface Step {
  readonly state: ScheduleState
  readonly decisions: readonly Decision[]
}

/** Opens a claim and decides the preemptions that it needs. */
export function openClaim (state: ScheduleState, job: Job, site: Site, victims: Victims, rule: string, now: number): Step {
  const claimed: ScheduleState = {
    ...state,
    capacity: addAllocation(state.capacity, 'claimed', site.members, 1),
    claims: state.claims.set(job.id, { job, members: site.members, guarantee: site.guarantee, claimedAt: now })
  }
  return {
    state: victims.ids.reduce(markStopping, claimed),
    decisions: victims.ids.map(id => ({ type: 'preempt', id, rule }))
  }
}

/**
 * Claims a guarantee that is lent to other workspaces, on its present members or
 * moved to others, whichever loses less work by preemption.
 */
export function claimGuarantee (state: ScheduleState, job: Job, now: number): Step | undefined {
  const currentSites = claimableSites(state, job).map(site => ({ site, isMoved: false }))
  const movableSites = currentSites.flatMap(({ site }) => movedSites(state, job, site, now)).map(site => ({ site, isMoved: true }))
  let best: { readonly site: Site, readonly isMoved: boolean, readonly victims: Victims } | undefined
  for (const candidate of [...currentSites, ...movableSites]) {
    const victims = chooseVictims(state, candidate.site.members, () => true, now)
    if (victims === undefined || (candidate.isMoved && !leavesHeadroom(moveGuarantee(state, candidate.site), candidate.site, now))) continue
    if (best === undefined || victims.lostWork < best.victims.lostWork) best = { ...candidate, victims }
  }
  if (best === undefined) return undefined
  const withoutReservation = dropReservation(state, job.id)
  const prepared = best.isMoved ? moveGuarantee(withoutReservation, best.site) : withoutReservation
  return openClaim(prepared, job, best.site, best.victims, 'the guarantee is claimed by its workspace', now)
}

/** True if the headroom remains after a guarantee has moved to this site and is claimed there. */
function leavesHeadroom (state: ScheduleState, site: Site, now: number): boolean {
  return hasHeadroom({ ...state, capacity: addAllocation(state.capacity, 'claimed', site.members, 1) }, now)
}

/**
 * Starts the job of each claim whose members are all free. On the same backend server,
 * an earlier claim is served before a later one.
 */
export function fulfilClaims (state: ScheduleState, now: number): Step {
  if (state.claims.size === 0) return { state, decisions: [] }
  const decisions: Decision[] = []
  const claimedEarlier = new Map<string, Amount>()
  let current = state
  for (const claim of [...state.claims.values()].sort(compareClaims)) {
    if (isFree(current, claim, claimedEarlier)) {
      current = startJob(current, claim.job, claim, now)
      decisions.push({ type: 'start', id: claim.job.id, members: claim.members })
      continue
    }
    for (const member of claim.members) claimedEarlier.set(member.server, addAmount(claimedEarlier.get(member.server) ?? NO_AMOUNT, member))
  }
  return { state: current, decisions }
}

function compareClaims (first: Claim, second: Claim): number {
  return first.claimedAt - second.claimedAt || compareNames(first.job.id, second.job.id)
}

function isFree (state: ScheduleState, claim: Claim, claimedEarlier: ReadonlyMap<string, Amount>): boolean {
  return claim.members.every(member => {
    const server = findServer(state.capacity, member.server)
    if (server === undefined || !isOpen(server)) return false
    return coversAmount(addAmount(freeAmount(server), claimedEarlier.get(member.server) ?? NO_AMOUNT, -1), member)
  })
}
