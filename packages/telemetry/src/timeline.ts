/**
 * The timeline of all processes. Events are ordered by logical time alone, so an event
 * always precedes those that it may have caused. Wall clocks differ between VMs: their
 * times are displayed, never sorted by, and each VM's clock offset is estimated only to
 * make the displayed times comparable.
 */
import type { CellName, RequestId, VmName } from '@cornelgauge/model'
import type { TimelineEvent } from './event.js'

/** Which events to select; a member that is not set selects all. */
export interface TimelineFilter {
  readonly request?: RequestId
  readonly cell?: CellName
  readonly vm?: VmName
}

/** Estimated milliseconds by which each VM's clock is ahead of that of the reference VM. */
export type ClockOffsets = ReadonlyMap<VmName, number>

/**
 * Merges the events of all processes into one causal order: by logical time, then VM,
 * then index. Duplicates of an event that occurs in several lists are removed.
 *
 * @example
 * mergeEvents([eventsOfOneVm, eventsOfAnother])
 */
export function mergeEvents (lists: ReadonlyArray<readonly TimelineEvent[]>): readonly TimelineEvent[] {
  const byIdentity = new Map(lists.flat().map(event => [identityOf(event), event]))
  return [...byIdentity.values()].sort(compareEvents)
}

/** The key by which duplicates are found; the index alone is not unique, as a restarted process counts from 1 again. */
function identityOf (event: TimelineEvent): string {
  return JSON.stringify([event.vm, event.index, event.logicalTime, event.at, event.event])
}

function compareEvents (first: TimelineEvent, second: TimelineEvent): number {
  return first.logicalTime - second.logicalTime || compareText(first.vm, second.vm) || first.index - second.index
}

function compareText (first: string, second: string): number {
  return first < second ? -1 : Number(first > second)
}

/**
 * Returns the events that match a filter.
 *
 * @example
 * filterEvents(events, { request: requestId(workspace, key) })
 */
export function filterEvents (events: readonly TimelineEvent[], filter: TimelineFilter): readonly TimelineEvent[] {
  const members = Object.entries(filter).filter(([, value]) => value !== undefined) as Array<[keyof TimelineFilter, string]>
  return events.filter(event => members.every(([member, value]) => event[member] === value))
}

/**
 * Returns the last `limit` of the events with a higher logical time, in the given order.
 *
 * @example
 * newestEvents(mergeEvents(lists), 0, 1000)
 */
export function newestEvents (events: readonly TimelineEvent[], logicalTime: number, limit: number): readonly TimelineEvent[] {
  const later = events.filter(event => event.logicalTime > logicalTime)
  return later.slice(Math.max(0, later.length - limit))
}

/**
 * Estimates how far each VM's clock is ahead of the reference VM, which is the one with
 * the most events. The estimate is the median, over the VM's events, of the difference
 * to the reference clock at about the same logical time.
 *
 * @example
 * estimateOffsets(events).get(vmName('vm-2')) // 41
 */
export function estimateOffsets (events: readonly TimelineEvent[]): ClockOffsets {
  const byVm = groupByVm(events)
  const reference = [...byVm.values()].sort((first, second) => second.length - first.length)[0] ?? []
  return new Map([...byVm].map(([vm, ownEvents]) => [vm, medianOf(ownEvents.map(event => event.at - timeAt(reference, event.logicalTime)))]))
}

/** Returns the VMs of a timeline, sorted by name. */
export function vmsOf (events: readonly TimelineEvent[]): readonly VmName[] {
  return [...new Set(events.map(event => event.vm))].sort()
}

function groupByVm (events: readonly TimelineEvent[]): Map<VmName, TimelineEvent[]> {
  const groups = new Map<VmName, TimelineEvent[]>()
  for (const event of mergeEvents([events])) {
    const group = groups.get(event.vm) ?? []
    group.push(event)
    groups.set(event.vm, group)
  }
  return groups
}

/** The reference clock at a logical time, interpolated linearly between the two events around it. */
function timeAt (reference: readonly TimelineEvent[], logicalTime: number): number {
  const next = firstAtOrAfter(reference, logicalTime)
  const later = reference[Math.min(next, reference.length - 1)]!
  const earlier = reference[Math.max(next - 1, 0)]!
  const span = later.logicalTime - earlier.logicalTime
  const fraction = span <= 0 ? 0 : (logicalTime - earlier.logicalTime) / span
  return earlier.at + fraction * (later.at - earlier.at)
}

/** Binary search for the index of the first event with at least the given logical time. */
function firstAtOrAfter (events: readonly TimelineEvent[], logicalTime: number): number {
  let low = 0
  let high = events.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (events[middle]!.logicalTime < logicalTime) low = middle + 1
    else high = middle
  }
  return low
}

function medianOf (values: readonly number[]): number {
  const sorted = [...values].sort((first, second) => first - second)
  const middle = sorted.length >> 1
  return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2
}
