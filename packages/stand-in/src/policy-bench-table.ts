/** The table of the policy bench: each figure with its target, the median and the worst seed of each policy. */
import type { PolicyName } from '@cornelgauge/policy'
import { quantile, type Figures } from './policy-bench-measure.js'

/** How a figure is evaluated. */
export interface Target {
  readonly betterWhen: 'lower' | 'higher'
  readonly text: string
  /** Whether a value meets the target; absent if it has none. */
  readonly isMet?: (value: number) => boolean
}

/** The targets by the name of the figure. */
export const TARGETS: Readonly<Record<string, Target>> = {
  'head-of-line ratio': { betterWhen: 'lower', text: '<= 1.2', isMet: value => value <= 1.2 },
  'urgent wait, 99th percentile (ms)': { betterWhen: 'lower', text: '' },
  'urgent in time in a 4x crest': { betterWhen: 'higher', text: '>= 0.999', isMet: value => value >= 0.999 },
  'work in time at 2x, share of capacity': { betterWhen: 'higher', text: '>= 0.95', isMet: value => value >= 0.95 },
  'urgent in time after 2x': { betterWhen: 'higher', text: '>= 0.999', isMet: value => value >= 0.999 },
  'work in time at 4x, share of capacity': { betterWhen: 'higher', text: '>= 0.95', isMet: value => value >= 0.95 },
  'urgent in time after 4x': { betterWhen: 'higher', text: '>= 0.999', isMet: value => value >= 0.999 },
  'guarantee there within its bound': { betterWhen: 'higher', text: '1', isMet: value => value === 1 },
  'longest wait for a guarantee (ms)': { betterWhen: 'lower', text: '<= 5000', isMet: value => value <= 5000 },
  'fragmentation at 85% load': { betterWhen: 'lower', text: '< half of first-fit' },
  'mean wait of gangs at 85% load (s)': { betterWhen: 'lower', text: '' },
  'mean completion over the oracle\'s': { betterWhen: 'lower', text: '<= 1.3', isMet: value => value <= 1.3 },
  'mean completion of the long kind (s)': { betterWhen: 'lower', text: '' },
  'longest wait of the lowest kind (ms)': { betterWhen: 'lower', text: 'bounded' },
  'requests spoiled by a black hole, share': { betterWhen: 'lower', text: '< 0.01', isMet: value => value < 0.01 },
  'attempts failed by a black hole': { betterWhen: 'lower', text: '' }
}

/** The figures of each policy, one set per seed. */
export type Results = ReadonlyMap<PolicyName, readonly Figures[]>

/** The values of a figure over the seeds, with their median and worst. */
export interface Summary {
  readonly median: number
  readonly worst: number
  readonly values: readonly number[]
}

/** Summarizes a figure over the seeds. */
export function summarize (name: string, figures: readonly Figures[]): Summary {
  const values = figures.map(seedFigures => seedFigures[name] ?? NaN)
  const isHigherBetter = TARGETS[name]?.betterWhen === 'higher'
  return { median: quantile(values, 0.5), worst: isHigherBetter ? Math.min(...values) : Math.max(...values), values }
}

/** Formats a figure with four significant digits and no exponent. */
export function formatFigure (value: number): string {
  if (Number.isInteger(value)) return String(value)
  return value >= 1000 ? value.toFixed(0) : String(Number(value.toPrecision(4)))
}

/** Renders the table as lines of text. */
export function tableLines (title: string, results: Results): readonly string[] {
  const policies = [...results.keys()]
  const header = ['measure', 'target', ...policies.map(policy => `${policy}: median / worst`), 'met']
  const rows = Object.entries(TARGETS).map(([name, target]) => {
    const cells = policies.map(policy => {
      const { median, worst } = summarize(name, results.get(policy) ?? [])
      return `${formatFigure(median)} / ${formatFigure(worst)}`
    })
    return [name, target.text, ...cells, verdict(name, results)]
  })
  const widths = header.map((_, column) => Math.max(...[header, ...rows].map(row => (row[column] as string).length)))
  const line = (row: readonly string[]): string => row.map((cell, column) => cell.padEnd(widths[column] as number)).join('  ').trimEnd()
  return [title, line(header), ...rows.map(line)]
}

/** Whether cornelgauge's policy meets a target in its worst seed; its median fragmentation is compared with that of first-fit. */
export function verdict (name: string, results: Results): string {
  const ownFigures = results.get('cornelgauge')
  if (ownFigures === undefined) return ''
  const { median, worst } = summarize(name, ownFigures)
  const firstFit = results.get('first-fit')
  if (name === 'fragmentation at 85% load') {
    return firstFit === undefined ? '' : yesOrNo(median < summarize(name, firstFit).median / 2)
  }
  const isMet = TARGETS[name]?.isMet
  return isMet === undefined ? '' : yesOrNo(isMet(worst))
}

function yesOrNo (isMet: boolean): string {
  return isMet ? 'yes' : 'NO'
}
