/** The report of the policy bench: one HTML page with inline plots. */
import type { Timing } from './policy-bench-timing.js'
import { formatFigure, summarize, TARGETS, verdict, type Results } from './policy-bench-table.js'

const WIDTH = 640
const ROW_HEIGHT = 22
const LABEL_WIDTH = 110
const PLOT_HEIGHT = 240
const DOT_RADIUS = 3

function escape (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}

/** Plots the values of every seed, one row per policy, on a logarithmic axis if they differ by more than a factor of 50. */
function dotPlot (name: string, results: Results): string {
  const rows = [...results].map(([policy, figures]) => ({ policy, values: summarize(name, figures).values }))
  const all = rows.flatMap(row => row.values)
  const isWide = Math.min(...all) > 0 && Math.max(...all) / Math.min(...all) > 50
  const scale = isWide ? Math.log10 : (value: number) => value
  const low = Math.min(...all.map(scale))
  const span = Math.max(...all.map(scale)) - low || 1
  const x = (value: number): number => LABEL_WIDTH + 10 + (scale(value) - low) / span * (WIDTH - LABEL_WIDTH - 30)
  const lines = rows.map(({ policy, values }, index) => {
    const y = ROW_HEIGHT * (index + 0.5)
    const dots = values.map(value => `<circle cx="${x(value).toFixed(1)}" cy="${y}" r="${DOT_RADIUS}"/>`).join('')
    return `<text x="0" y="${y + 4}">${policy}</text><line x1="${LABEL_WIDTH}" x2="${WIDTH}" y1="${y}" y2="${y}"/>${dots}`
  })
  const bottom = ROW_HEIGHT * rows.length + 12
  const axis = `<text x="${LABEL_WIDTH}" y="${bottom}">${formatFigure(Math.min(...all))}</text>` +
    `<text x="${WIDTH}" y="${bottom}" text-anchor="end">${formatFigure(Math.max(...all))}${isWide ? ' (logarithmic)' : ''}</text>`
  return `<svg role="img" viewBox="0 0 ${WIDTH} ${bottom + 6}" width="${WIDTH}">${lines.join('')}${axis}</svg>`
}

function figureSection (name: string, results: Results): string {
  const cells = [...results].map(([policy, figures]) => {
    const { median, worst } = summarize(name, figures)
    return `<td>${policy}: ${formatFigure(median)} / ${formatFigure(worst)}</td>`
  })
  const target = escape(TARGETS[name]?.text ?? '')
  return `<h3>${escape(name)}</h3><table><tr><td>target ${target === '' ? 'none' : target}</td>${cells.join('')}<td>${verdict(name, results)}</td></tr></table>${dotPlot(name, results)}`
}

/** Plots median decision times on logarithmic axes, with an n log n curve through the first point. */
function timingPlot (timings: readonly Timing[]): string {
  const first = timings[0]
  const last = timings.at(-1)
  if (first === undefined || last === undefined) return ''
  const growth = (size: number): number => first.median * size * Math.log2(size) / (first.accelerators * Math.log2(first.accelerators))
  const highest = Math.log10(Math.max(growth(last.accelerators), ...timings.map(timing => timing.median)) * 1.2)
  const lowest = Math.log10(Math.min(...timings.map(timing => timing.median)) / 1.2)
  const x = (size: number): number => LABEL_WIDTH + Math.log(size / first.accelerators) / Math.log(last.accelerators / first.accelerators) * (WIDTH - LABEL_WIDTH - 40)
  const y = (milliseconds: number): number => (highest - Math.log10(milliseconds)) / (highest - lowest) * (PLOT_HEIGHT - 30)
  const path = (value: (timing: Timing) => number): string => timings.map(timing => `${x(timing.accelerators).toFixed(1)},${y(value(timing)).toFixed(1)}`).join(' ')
  const marks = timings.map(({ accelerators, median }) =>
    `<circle cx="${x(accelerators).toFixed(1)}" cy="${y(median).toFixed(1)}" r="${DOT_RADIUS}"/>` +
    `<text x="${x(accelerators).toFixed(1)}" y="${PLOT_HEIGHT - 8}" text-anchor="middle">${accelerators}</text>` +
    `<text x="${x(accelerators).toFixed(1)}" y="${(y(median) - 8).toFixed(1)}" text-anchor="middle">${median.toFixed(2)} ms</text>`)
  return `<h2>One decision</h2><p>Median time by number of accelerators; the dashed line grows as n log n.</p>
<svg role="img" viewBox="0 0 ${WIDTH} ${PLOT_HEIGHT}" width="${WIDTH}"><polyline points="${path(timing => timing.median)}"/>
<polyline stroke-dasharray="4" points="${path(timing => growth(timing.accelerators))}"/>${marks.join('')}</svg>`
}

/** Renders the report. */
export function reportPage (workloads: ReadonlyMap<string, Results>, timings: readonly Timing[]): string {
  const sections = [...workloads].map(([workload, results]) =>
    `<h2>${escape(workload)}</h2>${Object.keys(TARGETS).map(name => figureSection(name, results)).join('\n')}`)
  return `<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Policy bench</title>
<style>body{font:14px sans-serif;max-width:60em;margin:2em auto}td{padding:0 1em 0 0}svg{font-size:12px}
circle{fill:#1668a8;fill-opacity:.55}line{stroke:#ccc}polyline{fill:none;stroke:#1668a8}</style>
<h1>Policy bench</h1><p>Median / worst over the seeds; a dot for each seed.</p>
${sections.join('\n')}
${timingPlot(timings)}
</html>
`
}
