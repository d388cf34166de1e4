/**
 * Claims: a waiting job that knows its members, and for which running jobs are
 * being stopped. Nobody else gets the capacity that comes free.
 */
import { addAmount, holdsAmount, NO_AMOUNT, type Amount } from './amount.js'
import { compareNames, enter, findServer, isOpen } from './capacity.js'
import { hasHeadroom } from './headroom.js'
import { moveHold, movedSites } from './move.js'
import { freeAmount } from './room.js'
import { dropReservation, markStopping, startJob, type Site } from './running.js'
import type { Decision, Job } from './scheduler.js'
import { claimableSites } from './site.js'
import type { Claim, ScheduleState } from './state.js'
import { chooseVictims, type Victims } from './victim.js'

/** A state and the decisions that led to it. */
export interface Step {
  readonly state: ScheduleState
  readonly decisions: readonly Decision[]
}

/** Makes a claim and decides the preemptions that it needs. */
export function openClaim (state: ScheduleState, job: Job, site: Site, victims: Victims, rule: string, now: number): Step {
  const claimed: ScheduleState = {
    ...state,
    capacity: enter(state.capacity, 'claimed', site.members, 1),
    claims: state.claims.set(job.id, { job, members: site.members, hold: site.hold, at: now })
  }
  return {
    state: victims.ids.reduce(markStopping, claimed),
    decisions: victims.ids.map(id => ({ type: 'preempt', id, rule }))
  }
}

/** Claims a guarantee that others borrow, there or moved to where the borrowers lose the least work. */
export function claimGuarantee (state: ScheduleState, job: Job, now: number): Step | undefined {
  const homes = claimableSites(state, job).map(site => ({ site, isMoved: false }))
  const moved = homes.flatMap(({ site }) => movedSites(state, job, site, now)).map(site => ({ site, isMoved: true }))
  let best: { readonly site: Site, readonly isMoved: boolean, readonly victims: Victims } | undefined
  for (const candidate of [...homes, ...moved]) {
    const victims = chooseVictims(state, candidate.site.members, () => true, now)
    if (victims === undefined || (candidate.isMoved && !leavesHeadroom(moveHold(state, candidate.site), candidate.site, now))) continue
    if (best === undefined || victims.lostWork < best.victims.lostWork) best = { ...candidate, victims }
  }
  if (best === undefined) return undefined
  const free = dropReservation(state, job.id)
  const settled = best.isMoved ? moveHold(free, best.site) : free
  return openClaim(settled, job, best.site, best.victims, 'the guarantee is claimed by its workspace', now)
}

/** A guarantee does not move onto what is kept free for urgent work. */
function leavesHeadroom (state: ScheduleState, site: Site, now: number): boolean {
  return hasHeadroom({ ...state, capacity: enter(state.capacity, 'claimed', site.members, 1) }, now)
}

/** Starts each claim whose members are all free; an earlier claim goes before a later one on the same backend server. */
export function fulfilClaims (state: ScheduleState, now: number): Step {
  if (state.claims.size === 0) return { state, decisions: [] }
  const decisions: Decision[] = []
  const awaited = new Map<string, Amount>()
  let current = state
  for (const claim of [...state.claims.values()].sort(compareClaims)) {
    if (isFree(current, claim, awaited)) {
      current = startJob(current, claim.job, claim, now)
      decisions.push({ type: 'start', id: claim.job.id, members: claim.members })
      continue
    }
    for (const member of claim.members) awaited.set(member.server, addAmount(awaited.get(member.server) ?? NO_AMOUNT, member))
  }
  return { state: current, decisions }
}

function compareClaims (first: Claim, second: Claim): number {
  return first.at - second.at || compareNames(first.job.id, second.job.id)
}

function isFree (state: ScheduleState, claim: Claim, awaited: ReadonlyMap<string, Amount>): boolean {
  return claim.members.every(member => {
    const server = findServer(state.capacity, member.server)
    if (server === undefined || !isOpen(server)) return false
    return holdsAmount(addAmount(freeAmount(server), awaited.get(member.server) ?? NO_AMOUNT, -1), member)
  })
}
