/**
 * Renders the timeline as one HTML page with a lane for each VM. The page contains no
 * script and loads no resources; all text in it is escaped.
 */
import type { TimelineEvent } from './event.js'
import { detailsText, displaySeconds, formatSeconds, levelOf, sentenceOf } from './timeline-text.js'
import { vmsOf } from './timeline.js'

const STYLE = `
body { font: 14px/1.4 system-ui, sans-serif; margin: 1rem; color: #1c1c1c; background: #fff }
table { border-collapse: collapse }
th, td { text-align: left; vertical-align: top; padding: .15rem .6rem; border-left: 1px solid #d0d0d0 }
thead th { position: sticky; top: 0; background: #f2f2f2 }
td.lane { min-width: 14rem }
td.time { white-space: nowrap; font-variant-numeric: tabular-nums; text-align: right; color: #555 }
tr:nth-child(even) { background: #fafafa }
.error { color: #a00000 } .warning { color: #8a5200 } .debug { color: #777 }
small { color: #555; overflow-wrap: anywhere }`

const ENTITIES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;' }

/**
 * Escapes text for HTML content and quoted attributes.
 *
 * @example
 * escapeHtml('<a title="b">') // '&lt;a title=&quot;b&quot;&gt;'
 */
export function escapeHtml (text: string): string {
  return text.replace(/[&<>"']/g, character => ENTITIES[character]!)
}

/**
 * Returns the page as HTML.
 *
 * @example
 * renderPage(mergeEvents(lists), 'Cell praha')
 */
export function renderPage (events: readonly TimelineEvent[], title: string): string {
  const vms = vmsOf(events)
  const secondsOf = displaySeconds(events)
  const headings = ['Logical time', 'Seconds', ...vms].map(heading => `<th scope="col">${escapeHtml(heading)}</th>`)
  const rows = events.map(event => rowOf(event, vms, secondsOf(event)))
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<title>${escapeHtml(title)}</title>
<style>${STYLE}
</style>
</head>
<body>
<h1>${escapeHtml(title)}</h1>
<p>${events.length} events in causal order. Seconds are by the clocks of the VMs, minus their estimated offsets.</p>
<table>
<thead><tr>${headings.join('')}</tr></thead>
<tbody>
${rows.join('\n')}
</tbody>
</table>
</body>
</html>
`
}

function rowOf (event: TimelineEvent, vms: readonly string[], seconds: number): string {
  const lanes = vms.map(vm => vm === event.vm ? `<td class="lane">${contentOf(event)}</td>` : '<td class="lane"></td>')
  return `<tr><td class="time">${event.logicalTime}</td><td class="time">${formatSeconds(seconds)}</td>${lanes.join('')}</tr>`
}

function contentOf (event: TimelineEvent): string {
  const subjects = [event.cell, event.request, detailsText(event)].filter(text => text !== undefined && text !== '')
  const subjectLine = subjects.length === 0 ? '' : `<br><small>${escapeHtml(subjects.join(' · '))}</small>`
  return `<span class="${levelOf(event)}" title="${escapeHtml(sentenceOf(event))}">${Number(event.event)} ${escapeHtml(event.name)}</span>${subjectLine}`
}
