/**
 * Decides which cells to claim, renew or hand over: a pure function of what this VM
 * has observed. The lists of live and leaving VMs only determine when to try; the
 * owner row alone decides who owns a cell.
 *
 * VMs are ranked for a cell by failure domain, those in the cell's own first, and
 * then by the rendezvous hash of cell and VM. The first VM claims a free cell at
 * once; each next one waits a fixed delay longer, so that not all write at the same
 * time, and a dead VM that is still listed costs one such delay.
 */
import { digestOf, type CellName, type FailureDomainName, type VmName } from '@cornelgauge/model'
import { claimableFrom, isOutOfDate, isRenewalDue, type HeldLease, type LeaseWatch } from './lease.js'

/** Delay of a VM's claim for each VM that ranks before it. */
export const CLAIM_DELAY_PER_RANK_MILLISECONDS = 200
/** Maximum delay of a claim. */
export const LONGEST_CLAIM_DELAY_MILLISECONDS = 2000
/** How long a VM in the cell's failure domain has to be continuously live before the cell is handed over to it. */
export const HANDOVER_STABILITY_MILLISECONDS = 30_000

/** A cell and the failure domain of its capacity. */
export interface CellPlace {
  readonly cell: CellName
  readonly failureDomain: FailureDomainName
}

/** An entry VM, as known from the VM list and heartbeats. */
export interface Candidate {
  readonly vm: VmName
  readonly failureDomain: FailureDomainName
  readonly leaving: boolean
  /** Since when it has been continuously live, in monotonic milliseconds of this VM's clock. */
  readonly liveSince: number
}

/** The input of the decision: what this VM knows about itself, other VMs and the cells. */
export interface OwnershipView {
  readonly vm: VmName
  readonly failureDomain: FailureDomainName
  /** True once this VM has begun a planned shutdown. */
  readonly leaving: boolean
  readonly cells: readonly CellPlace[]
  readonly watches: ReadonlyMap<CellName, LeaseWatch>
  /** The entry VMs; this VM is ignored if it is among them. */
  readonly candidates: readonly Candidate[]
  /** Cells that this VM owns. */
  readonly held: ReadonlyMap<CellName, HeldLease>
  /** Cells that this VM is claiming, recovering or handing over. Their leases are still renewed. */
  readonly busy: ReadonlySet<CellName>
}

/** An action on a cell that is due. */
export type OwnershipAction =
  | { readonly type: 'claim', readonly cell: CellName, readonly watch: LeaseWatch }
  | { readonly type: 'renew', readonly cell: CellName }
  /** Drain and release the cell, and notify `to`, if it is not null, that the cell is free. */
  | { readonly type: 'hand-over', readonly cell: CellName, readonly to: VmName | null }

/**
 * Returns the actions that are due now, at most one for each cell. A renewal takes
 * precedence and is due even for a busy cell, since a recovery or a drain may last
 * longer than the lease. The caller records a renewal with `recordRenewalSent` when it sends
 * it, and does not mark the cell as busy for it.
 *
 * @example
 * for (const action of chooseActions(view, clock.now())) perform(action)
 */
export function chooseActions (view: OwnershipView, now: number): readonly OwnershipAction[] {
  return view.cells.flatMap(place => chooseAction(view, place, now) ?? [])
}

/**
 * Returns the VMs that are not leaving, in order of preference for a cell.
 *
 * @example
 * rankCandidates(place, candidates)[0]?.vm // the preferred one
 */
export function rankCandidates (place: CellPlace, candidates: readonly Candidate[]): readonly Candidate[] {
  const scored = candidates
    .filter(candidate => !candidate.leaving)
    .map(candidate => ({ candidate, distance: distance(place, candidate), score: digestOf(`${place.cell}\n${candidate.vm}`) }))
  scored.sort((one, other) => one.distance - other.distance || (one.score < other.score ? -1 : 1))
  return scored.map(({ candidate }) => candidate)
}

function chooseAction (view: OwnershipView, place: CellPlace, now: number): OwnershipAction | undefined {
  const { cell } = place
  const lease = view.held.get(cell)
  if (lease !== undefined && isRenewalDue(lease, now)) return { type: 'renew', cell }
  if (view.busy.has(cell)) return undefined
  return lease === undefined ? chooseClaim(view, place, now) : chooseHandover(view, place, now)
}

function chooseClaim (view: OwnershipView, place: CellPlace, now: number): OwnershipAction | undefined {
  const watch = view.watches.get(place.cell)
  if (view.leaving || watch === undefined || isOutOfDate(watch, now) || now < claimableFrom(watch)) return undefined
  const delay = Math.min(LONGEST_CLAIM_DELAY_MILLISECONDS, rankOfSelf(view, place) * CLAIM_DELAY_PER_RANK_MILLISECONDS)
  return now < claimableFrom(watch) + delay ? undefined : { type: 'claim', cell: place.cell, watch }
}

function chooseHandover (view: OwnershipView, place: CellPlace, now: number): OwnershipAction | undefined {
  const { cell } = place
  if (view.leaving) return { type: 'hand-over', cell, to: rankCandidates(place, otherVms(view))[0]?.vm ?? null }
  const receiver = findVmInDomain(view, place, now)
  return receiver === undefined ? undefined : { type: 'hand-over', cell, to: receiver }
}

/** A VM in the cell's failure domain, if this VM is outside it. A better hash alone does not justify a handover. */
function findVmInDomain (view: OwnershipView, place: CellPlace, now: number): VmName | undefined {
  if (distance(place, view) === 0) return undefined
  const stable = otherVms(view).filter(candidate => now - candidate.liveSince >= HANDOVER_STABILITY_MILLISECONDS)
  const best = rankCandidates(place, stable)[0]
  return best !== undefined && distance(place, best) === 0 ? best.vm : undefined
}

function rankOfSelf (view: OwnershipView, place: CellPlace): number {
  const self: Candidate = { vm: view.vm, failureDomain: view.failureDomain, leaving: false, liveSince: 0 }
  const ranked = rankCandidates(place, [...otherVms(view), self])
  return ranked.indexOf(self)
}

function otherVms (view: OwnershipView): readonly Candidate[] {
  return view.candidates.filter(candidate => candidate.vm !== view.vm)
}

function distance (place: CellPlace, vm: { readonly failureDomain: FailureDomainName }): number {
  return vm.failureDomain === place.failureDomain ? 0 : 1
}
