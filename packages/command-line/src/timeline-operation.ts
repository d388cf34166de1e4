/** The command `timeline`. */
import type { TimelineEvent } from '@cornelgauge/telemetry'
import { ServiceClient } from './client.js'
import { writeTextFile } from './files.js'
import { defineOperation, type Outcome, type Tools } from './operation.js'
import { optionalText, SERVICE_SETTINGS, wholeNumber } from './setting-types.js'
import type { TimelineFilter } from './timeline-renderer.js'

function withLineEnd (text: string): string {
  return text === '' || text.endsWith('\n') ? text : `${text}\n`
}

async function pageOutcome (path: string, events: readonly TimelineEvent[], filter: TimelineFilter, tools: Tools): Promise<Outcome> {
  await writeTextFile(path, tools.timeline.renderHtml(events, filter), tools)
  return { exit: 'done', value: { html: path, events: events.length }, render: () => `${events.length} events written to ${path}\n` }
}

/** The operation that shows the events of all VMs. */
export const timelineOperation = defineOperation({
  description: 'Show the events of all VMs in causal order',
  settings: {
    request: { description: 'Only events of this request', place: 'flag', hint: 'workspace/key', schema: optionalText },
    cell: { description: 'Only events of this cell', place: 'flag', hint: 'name', schema: optionalText },
    vm: { description: 'Only events of this VM', place: 'flag', hint: 'name', schema: optionalText },
    after: { description: 'Only events after this logical time', place: 'flag', hint: 'number', schema: wholeNumber(0, undefined) },
    limit: { description: 'Only the newest events, this many', place: 'flag', hint: 'count', schema: wholeNumber(1, undefined) },
    html: { description: 'Write one self-contained page, with a lane for each VM, to this file', place: 'flag', hint: 'file', schema: optionalText },
    ...SERVICE_SETTINGS
  },
  examples: [
    { line: 'timeline --request ustredi/rota-2027-spring', does: 'show the events of one request' },
    { line: 'timeline --cell praha --html praha.html', does: 'write the events of one cell to a page' }
  ],
  async run ({ request, cell, vm, after, limit, html, address, token }, tools) {
    const filter = { request, cell, vm }
    const events = await new ServiceClient(address, token, tools.http).events({ ...filter, after, limit })
    if (html !== undefined) return await pageOutcome(html, events, filter, tools)
    return { exit: 'done', value: { events }, render: () => withLineEnd(tools.timeline.renderText(events, filter)) }
  }
})
