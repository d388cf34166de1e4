/** How the events of the time line become text and a page: by the package `telemetry`, in causal order. */
import { cellName, vmName, type RequestId } from '@cornelgauge/model'
import { filterEvents, mergeEvents, renderPage, renderText, type TimelineEvent } from '@cornelgauge/telemetry'

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

function wantedEvents (events: readonly TimelineEvent[], { request, cell, vm }: TimelineFilter): readonly TimelineEvent[] {
  return filterEvents(mergeEvents([events]), {
    request: request as RequestId | undefined,
    cell: cell === undefined ? undefined : cellName(cell),
    vm: vm === undefined ? undefined : vmName(vm)
  })
}

function titleOf ({ request, cell, vm }: TimelineFilter): string {
  const subjects = Object.entries({ request, cell, VM: vm }).flatMap(([noun, name]) => name === undefined ? [] : [`${noun} ${name}`])
  return subjects.length === 0 ? 'Time line' : `Time line of ${subjects.join(', ')}`
}

/** The renderer of the binary. */
export const timelineRenderer: TimelineRenderer = {
  renderText: (events, filter) => renderText(wantedEvents(events, filter)).join('\n'),
  renderHtml: (events, filter) => renderPage(wantedEvents(events, filter), titleOf(filter))
}
