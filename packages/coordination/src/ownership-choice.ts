/**
 * Which cells to claim, renew or hand over: a pure choice from what this VM has
 * seen. The lists of live and leaving VMs are hints for when to try; who owns a
 * cell is settled by the owner row alone.
 *
 * Preference for a cell: a VM in the cell's failure domain, then the rendezvous
 * hash of cell and VM. The preferred VM claims a free cell at once; the others
 * wait their turn, so that a dead VM that is still listed costs one turn, and not
 * all write at once.
 */
import { digestOf, type CellName, type FailureDomainName, type VmName } from '@cornelgauge/model'
import { freeAt, isBlind, isRenewalDue, type HeldLease, type RowWatch } from './lease.js'

/** How long a VM waits for each one that goes before it in the order of preference. */
export const CLAIM_TURN_MILLISECONDS = 200
/** Longest such wait. */
export const LONGEST_CLAIM_DELAY_MILLISECONDS = 2000
/** How long a better placed VM has to be live without a break before it is handed a cell. */
export const HANDOVER_STABILITY_MILLISECONDS = 30_000

/** A cell and where its capacity is. */
export interface CellPlace {
  readonly cell: CellName
  readonly failureDomain: FailureDomainName
}

/** An entry VM as the lists and heartbeats show it. */
export interface Candidate {
  readonly vm: VmName
  readonly failureDomain: FailureDomainName
  readonly leaving: boolean
  /** Since when it has been live without a break, in monotonic milliseconds of this VM's clock. */
  readonly liveSince: number
}

/** All that a choice is made from. */
export interface OwnershipView {
  readonly vm: VmName
  readonly failureDomain: FailureDomainName
  /** True once this VM has begun a planned stop. */
  readonly leaving: boolean
  readonly cells: readonly CellPlace[]
  readonly watches: ReadonlyMap<CellName, RowWatch>
  /** Other entry VMs; this one may be among them and is left out. */
  readonly candidates: readonly Candidate[]
  /** Cells that this VM owns. */
  readonly held: ReadonlyMap<CellName, HeldLease>
  /** Cells that this VM is claiming, recovering or handing over. They are renewed all the same. */
  readonly busy: ReadonlySet<CellName>
}

/** What to do about a cell. */
export type OwnershipAction =
  | { readonly type: 'claim', readonly cell: CellName, readonly watch: RowWatch }
  | { readonly type: 'renew', readonly cell: CellName }
  /** Drain, release, and tell `to`, where there is one, that the cell is free. */
  | { readonly type: 'hand-over', readonly cell: CellName, readonly to: VmName | null }

/**
 * Chooses the actions that are due now, at most one a cell. A renewal comes first and
 * whatever else is under way, since a recovery or a drain may outlast the lease; its
 * performer notes it by `tryRenewal` at once, and does not count it as busy.
 *
 * @example
 * for (const action of chooseActions(view, clock.now())) perform(action)
 */
export function chooseActions (view: OwnershipView, now: number): readonly OwnershipAction[] {
  return view.cells.flatMap(place => chooseAction(view, place, now) ?? [])
}

/**
 * The VMs of a list in order of preference for a cell, those that leave left out.
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
  if (view.leaving || watch === undefined || isBlind(watch, now) || now < freeAt(watch)) return undefined
  const delay = Math.min(LONGEST_CLAIM_DELAY_MILLISECONDS, rankOfSelf(view, place) * CLAIM_TURN_MILLISECONDS)
  return now < freeAt(watch) + delay ? undefined : { type: 'claim', cell: place.cell, watch }
}

function chooseHandover (view: OwnershipView, place: CellPlace, now: number): OwnershipAction | undefined {
  const { cell } = place
  if (view.leaving) return { type: 'hand-over', cell, to: rankCandidates(place, others(view))[0]?.vm ?? null }
  const to = betterPlaced(view, place, now)
  return to === undefined ? undefined : { type: 'hand-over', cell, to }
}

/** Being nearer is worth a handover; the hash alone is not. */
function betterPlaced (view: OwnershipView, place: CellPlace, now: number): VmName | undefined {
  if (distance(place, view) === 0) return undefined
  const stable = others(view).filter(candidate => now - candidate.liveSince >= HANDOVER_STABILITY_MILLISECONDS)
  const best = rankCandidates(place, stable)[0]
  return best !== undefined && distance(place, best) === 0 ? best.vm : undefined
}

function rankOfSelf (view: OwnershipView, place: CellPlace): number {
  const self: Candidate = { vm: view.vm, failureDomain: view.failureDomain, leaving: false, liveSince: 0 }
  const ranked = rankCandidates(place, [...others(view), self])
  return ranked.indexOf(self)
}

function others (view: OwnershipView): readonly Candidate[] {
  return view.candidates.filter(candidate => candidate.vm !== view.vm)
}

function distance (place: CellPlace, vm: { readonly failureDomain: FailureDomainName }): number {
  return vm.failureDomain === place.failureDomain ? 0 : 1
}
