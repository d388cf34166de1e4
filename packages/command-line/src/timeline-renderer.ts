/** Renders the events of the timeline as text or as a page, in causal order, by means of the package `telemetry`. */
import { cellName, vmName, type RequestId } from '@cornelgauge/model'
import { filterEvents, mergeEvents, renderPage, renderText, type TimelineEvent } from '@cornelgauge/telemetry'

/** Which events to render. */
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

function selectEvents (events: readonly TimelineEvent[], { request, cell, vm }: TimelineFilter): readonly TimelineEvent[] {
  return filterEvents(mergeEvents([events]), {
    request: request as RequestId | undefined,
    cell: cell === undefined ? undefined : cellName(cell),
    vm: vm === undefined ? undefined : vmName(vm)
  })
}

function titleOf ({ request, cell, vm }: TimelineFilter): string {
  const subjects = Object.entries({ request, cell, VM: vm }).flatMap(([noun, name]) => name === undefined ? [] : [`${noun} ${name}`])
  return subjects.length === 0 ? 'Timeline' : `Timeline of ${subjects.join(', ')}`
}

/** The renderer that the program uses. */
export const timelineRenderer: TimelineRenderer = {
  renderText: (events, filter) => renderText(selectEvents(events, filter)).join('\n'),
  renderHtml: (events, filter) => renderPage(selectEvents(events, filter), titleOf(filter))
}
