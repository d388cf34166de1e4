/**
 * The time line of all processes. Order comes from logical times alone: an event
 * that another can know of always stands before it. Wall clocks differ from VM to
 * VM and are shown, never sorted by; each VM's offset is only estimated, so that
 * the times shown can be compared.
 */
import type { CellName, RequestId, VmName } from '@cornelgauge/model'
import type { TimelineEvent } from './event.js'

/** Which events to keep; a member that is not set keeps all. */
export interface TimelineFilter {
  readonly request?: RequestId
  readonly cell?: CellName
  readonly vm?: VmName
}

/** Milliseconds by which each VM's clock is ahead of the reference VM's, as estimated. */
export type ClockOffsets = ReadonlyMap<VmName, number>

/**
 * Puts the events of all processes into one causal order: by logical time, then
 * VM, then index. An event that is in two lists is kept once.
 *
 * @example
 * mergeEvents([eventsOfOneVm, eventsOfAnother])
 */
export function mergeEvents (lists: ReadonlyArray<readonly TimelineEvent[]>): readonly TimelineEvent[] {
  const byIdentity = new Map(lists.flat().map(event => [identityOf(event), event]))
  return [...byIdentity.values()].sort(compareEvents)
}

/** A restarted process counts from 1 again, so the index alone does not tell events apart. */
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
 * The events that a filter keeps.
 *
 * @example
 * filterEvents(events, { request: requestId(workspace, key) })
 */
export function filterEvents (events: readonly TimelineEvent[], filter: TimelineFilter): readonly TimelineEvent[] {
  const members = Object.entries(filter).filter(([, value]) => value !== undefined) as Array<[keyof TimelineFilter, string]>
  return events.filter(event => members.every(([member, value]) => event[member] === value))
}

/**
 * The last `limit` of the events with a higher logical time, in the order given.
 *
 * @example
 * newestEvents(mergeEvents(lists), 0, 1000)
 */
export function newestEvents (events: readonly TimelineEvent[], logicalTime: number, limit: number): readonly TimelineEvent[] {
  const later = events.filter(event => event.logicalTime > logicalTime)
  return later.slice(Math.max(0, later.length - limit))
}

/**
 * Estimates how far each VM's clock is ahead of the VM with the most events: the
 * median, over its events, of the difference to the reference's clock at about the
 * same logical time.
 *
 * @example
 * estimateOffsets(events).get(vmName('vm-2')) // 41
 */
export function estimateOffsets (events: readonly TimelineEvent[]): ClockOffsets {
  const byVm = groupByVm(events)
  const reference = [...byVm.values()].sort((first, second) => second.length - first.length)[0] ?? []
  return new Map([...byVm].map(([vm, own]) => [vm, medianOf(own.map(event => event.at - timeAt(reference, event.logicalTime)))]))
}

/** The VMs of a time line, in order of their names. */
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

/** The reference's clock at a logical time, between the two events around it. */
function timeAt (reference: readonly TimelineEvent[], logicalTime: number): number {
  const next = firstAtOrAfter(reference, logicalTime)
  const later = reference[Math.min(next, reference.length - 1)]!
  const earlier = reference[Math.max(next - 1, 0)]!
  const span = later.logicalTime - earlier.logicalTime
  const share = span <= 0 ? 0 : (logicalTime - earlier.logicalTime) / span
  return earlier.at + share * (later.at - earlier.at)
}

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
