/** Renders the timeline as lines of text for a terminal. */
import type { CatalogueEntry, EventLevel } from './catalogue-entry.js'
import { entryOf, isEventName } from './catalogue.js'
import type { TimelineEvent } from './event.js'
import { estimateOffsets, vmsOf } from './timeline.js'

// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTERS = /[\u0000-\u001f\u007f-\u009f\u2028\u2029\u202a-\u202e\u2066-\u2069]/g

/** The catalogue entry of an event; undefined for an event of a release with another catalogue. */
function catalogueEntryOf (event: TimelineEvent): CatalogueEntry | undefined {
  return isEventName(event.name) ? entryOf(event.name) : undefined
}

/**
 * Returns the sentence that describes an event; its name if it is not in the catalogue.
 *
 * @example
 * sentenceOf(event) // 'The request was refused and will not run.'
 */
export function sentenceOf (event: TimelineEvent): string {
  return catalogueEntryOf(event)?.sentence ?? event.name
}

/**
 * Returns the level of an event; `info` if it is not in the catalogue.
 *
 * @example
 * levelOf(event) // 'warning'
 */
export function levelOf (event: TimelineEvent): EventLevel {
  return catalogueEntryOf(event)?.level ?? 'info'
}

/**
 * Returns the details of an event as `field=value` pairs.
 *
 * @example
 * detailsText(event) // 'attempt=1 servers=["worker-3"]'
 */
export function detailsText (event: TimelineEvent): string {
  return Object.entries(event.details ?? {})
    .map(([field, value]) => `${field}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ')
}

/**
 * Returns a function that gives the seconds from the first event to an event, by the
 * estimated clock of the reference VM.
 *
 * @example
 * displaySeconds(events)(events[0]) // 0
 */
export function displaySeconds (events: readonly TimelineEvent[]): (event: TimelineEvent) => number {
  const offsets = estimateOffsets(events)
  const timeOf = (event: TimelineEvent): number => event.at - (offsets.get(event.vm) ?? 0)
  const start = events[0] === undefined ? 0 : timeOf(events[0])
  return event => (timeOf(event) - start) / 1000
}

/**
 * Renders one line for each event, in the given order. Control characters, which may
 * come from a caller's key, are escaped.
 *
 * @example
 * renderText(filterEvents(mergeEvents(lists), { cell })).join('\n')
 */
export function renderText (events: readonly TimelineEvent[]): readonly string[] {
  const secondsOf = displaySeconds(events)
  const timeWidth = Math.max(0, ...events.slice(-1).map(event => String(event.logicalTime).length))
  const vmWidth = Math.max(0, ...vmsOf(events).map(vm => vm.length))
  return events.map(event => {
    const columns = [
      String(event.logicalTime).padStart(timeWidth),
      `${formatSeconds(secondsOf(event))} s`,
      event.vm.padEnd(vmWidth),
      `${event.event} ${event.name}`,
      ...[event.cell, event.request].filter(subject => subject !== undefined),
      detailsText(event)
    ]
    return escapeControl(columns.join('  ').trimEnd())
  })
}

/**
 * Formats seconds with a sign and three decimals.
 *
 * @example
 * formatSeconds(1.5) // '+1.500'
 */
export function formatSeconds (seconds: number): string {
  return `${seconds < 0 ? '-' : '+'}${Math.abs(seconds).toFixed(3)}`
}

function escapeControl (text: string): string {
  return text.replace(CONTROL_CHARACTERS, character => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`)
}
