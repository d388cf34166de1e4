/** Command-line program, run by `npm run bench:jobs`. */
import { CornelgaugeError } from '@cornelgauge/model'
import { PLACEMENT_RULES } from '@cornelgauge/jobs'
import { defineCommand, runMain } from 'citty'
import { earnedShare, type Account, type ValueSummary } from './account.js'
import { PATTERNS, scaled, type LoadPattern } from './pattern.js'
import { replay } from './replay.js'

function patternsOf (name: string | undefined, load: string): readonly LoadPattern[] {
  const factor = Number(load)
  if (!(factor > 0)) throw new CornelgaugeError('invalid-settings', { detail: `--load is ${load}, but must be a number above 0` })
  const chosen = name === undefined ? Object.values(PATTERNS) : [PATTERNS[name]]
  return chosen.map(pattern => {
    if (pattern === undefined) throw new CornelgaugeError('invalid-settings', { detail: `--pattern ${name} is unknown; known patterns: ${Object.keys(PATTERNS).join(', ')}` })
    return scaled(pattern, factor)
  })
}

function parsePositiveInteger (name: string, text: string): number {
  const value = Number(text)
  if (!Number.isInteger(value) || value < 1) throw new CornelgaugeError('invalid-settings', { detail: `--${name} is ${text}, but must be an integer above 0` })
  return value
}

function mean (values: readonly number[]): string {
  return (values.reduce((sum, value) => sum + value, 0) / values.length).toFixed(3)
}

/** Formats the mean and its standard error. */
function meanWithError (values: readonly number[]): string {
  const average = values.reduce((sum, value) => sum + value, 0) / values.length
  const variance = values.reduce((sum, value) => sum + (value - average) ** 2, 0) / Math.max(1, values.length - 1)
  return `${average.toFixed(3)} (+-${Math.sqrt(variance / values.length).toFixed(3)})`
}

function kindLine (name: string, shares: readonly ValueSummary[], widest: readonly ValueSummary[]): string {
  const shareOfJobs = (of: (share: ValueSummary) => number): string => mean(shares.map(share => share.jobs === 0 ? 1 : of(share) / share.jobs))
  return `  ${name.padEnd(20)} earned ${mean(shares.map(earnedShare))}  in time ${shareOfJobs(share => share.inTime)}  late ${shareOfJobs(share => share.late)}  widest tenth ${mean(widest.map(earnedShare))}`
}

function totalLine (name: string, accounts: readonly Account[]): string {
  const meanOf = (read: (account: Account) => number): string => mean(accounts.map(read))
  return `${name}: total ${meanWithError(accounts.map(account => account.total))}, earned ${meanOf(account => earnedShare(account.overall))}, worst windows ${meanOf(account => account.worstWindows)}, waste ${meanOf(account => account.waste)}, stops ${meanOf(account => account.stops)}`
}

function report (pattern: LoadPattern, accounts: readonly Account[]): readonly string[] {
  const present = (shares: readonly (ValueSummary | undefined)[]): readonly ValueSummary[] => shares.filter(share => share !== undefined)
  return [
    totalLine(`${pattern.name}, ${accounts.length} seeds`, accounts),
    ...pattern.kinds.map(({ name }) => kindLine(name, present(accounts.map(account => account.byKind.get(name))), present(accounts.map(account => account.widestTenth.get(name)))))
  ]
}

/** Replays the same seeds with each placement rule disabled in turn. */
function comparison (pattern: LoadPattern, seeds: readonly number[]): readonly string[] {
  return PLACEMENT_RULES.map(rule => {
    const others = PLACEMENT_RULES.filter(other => other !== rule)
    return totalLine(`  without ${rule}`, seeds.map(seed => replay(pattern, seed, others)))
  })
}

const command = defineCommand({
  meta: { name: 'bench:jobs', description: 'Replays seeded workloads against the planner on a virtual clock' },
  args: {
    seeds: { type: 'string', description: 'number of seeds', default: '10' },
    first: { type: 'string', description: 'first seed', default: '1' },
    pattern: { type: 'string', description: Object.keys(PATTERNS).join('|') },
    load: { type: 'string', description: 'arrival rate, relative to a busy day', default: '1' },
    compare: { type: 'boolean', description: 'also replay with each placement rule disabled in turn', default: false }
  },
  run ({ args }) {
    const seeds = Array.from({ length: parsePositiveInteger('seeds', args.seeds) }, (_, index) => parsePositiveInteger('first', args.first) + index)
    for (const pattern of patternsOf(args.pattern, args.load)) {
      console.log(report(pattern, seeds.map(seed => replay(pattern, seed))).join('\n'))
      if (args.compare) console.log(comparison(pattern, seeds).join('\n'))
    }
  }
})

await runMain(command)
