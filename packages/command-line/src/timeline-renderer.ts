/** How the events of the time line become text and a page. */
import type { TimelineEvent } from '@cornelgauge/telemetry'

/** Which events are wanted. */
export interface TimelineFilter {
  readonly request?: string
  readonly cell?: string
  readonly vm?: string
}

/** Renders events in causal order. */
export interface TimelineRenderer {
  readonly renderText: (events: readonly TimelineEvent[], filter: TimelineFilter) => string
  /** One self-contained HTML page. */
  readonly renderHtml: (events: readonly TimelineEvent[], filter: TimelineFilter) => string
}

function isWanted (event: TimelineEvent, filter: TimelineFilter): boolean {
  return (filter.request === undefined || event.request === filter.request) &&
    (filter.cell === undefined || event.cell === filter.cell) &&
    (filter.vm === undefined || event.vm === filter.vm)
}

function byLogicalTime (left: TimelineEvent, right: TimelineEvent): number {
  return left.logicalTime - right.logicalTime || left.vm.localeCompare(right.vm) || left.index - right.index
}

function eventLine (event: TimelineEvent): string {
  const details = event.details === undefined ? '' : JSON.stringify(event.details)
  const members = [event.logicalTime, new Date(event.at).toISOString(), event.vm, event.event, event.name, event.cell ?? '-', event.request ?? '-', details]
  return members.join(' ').trimEnd()
}

function renderText (events: readonly TimelineEvent[], filter: TimelineFilter): string {
  return events.filter(event => isWanted(event, filter)).toSorted(byLogicalTime).map(event => `${eventLine(event)}\n`).join('')
}

function escapeHtml (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;')
}

/** One line for each event, in the order of logical time. */
export const timelineRenderer: TimelineRenderer = {
  renderText,
  renderHtml: (events, filter) => `<!doctype html>\n<meta charset="utf-8">\n<title>Time line</title>\n<pre>${escapeHtml(renderText(events, filter))}</pre>\n`
}
