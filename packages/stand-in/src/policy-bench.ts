/** The policy bench: `npm run bench:policy`. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { dirname } from 'node:path'
import { CornelgaugeError } from '@cornelgauge/model'
import { POLICIES, type PolicyName } from '@cornelgauge/policy'
import { defineCommand, runMain } from 'citty'
import { MEASURES, type Figures } from './policy-bench-measure.js'
import { reportPage } from './policy-bench-report.js'
import { tableLines, type Results } from './policy-bench-table.js'
import { timeDecisions, timingLines } from './policy-bench-timing.js'
import { WORKLOADS, type WorkloadName } from './policy-bench-workload.js'

const DEFAULT_SEEDS = 20
const DEFAULT_REPORT = 'report/policy-bench.html'

/** Runs every measure for these policies and seeds on one workload. */
export function runBench (workload: WorkloadName, policies: readonly PolicyName[], seeds: readonly number[]): Results {
  return new Map(policies.map(policy => [policy, seeds.map(seed => measureAll(workload, policy, seed))]))
}

function measureAll (workload: WorkloadName, policy: PolicyName, seed: number): Figures {
  return Object.assign({}, ...MEASURES.map(measure => measure(POLICIES[policy], WORKLOADS[workload], seed)))
}

function selectNames<Name extends string> (value: string | undefined, all: Readonly<Record<Name, unknown>>): readonly Name[] {
  const names = Object.keys(all) as Name[]
  if (value === undefined) return names
  if (!names.includes(value as Name)) throw new CornelgaugeError('invalid-settings', { detail: `${value} is not one of ${names.join(', ')}` })
  return [value as Name]
}

function selectSeeds (seed: string | undefined, count: string): readonly number[] {
  const seeds = seed === undefined ? Array.from({ length: Number(count) }, (_, index) => index + 1) : [Number(seed)]
  if (seeds.length > 0 && seeds.every(Number.isInteger)) return seeds
  throw new CornelgaugeError('invalid-settings', { detail: 'seeds must be integers' })
}

const command = defineCommand({
  meta: { name: 'bench:policy', description: 'Measures the policy alone, with seeded arrivals and a virtual clock' },
  args: {
    seed: { type: 'string', description: 'runs this seed only' },
    seeds: { type: 'string', description: 'number of seeds, starting at 1', default: String(DEFAULT_SEEDS) },
    workload: { type: 'string', description: Object.keys(WORKLOADS).join('|') },
    policy: { type: 'string', description: Object.keys(POLICIES).join('|') },
    timing: { type: 'boolean', description: 'also measures the wall-clock time of decisions', default: false },
    report: { type: 'string', description: 'path of the HTML report', default: DEFAULT_REPORT }
  },
  run ({ args }) {
    const seeds = selectSeeds(args.seed, args.seeds)
    const policies = selectNames(args.policy, POLICIES)
    const workloads = new Map<string, Results>()
    for (const workload of selectNames(args.workload, WORKLOADS)) {
      const results = runBench(workload, policies, seeds)
      workloads.set(workload, results)
      console.log(`${tableLines(`${workload}, ${seeds.length} seed(s)`, results).join('\n')}\n`)
    }
    const timings = args.timing ? timeDecisions() : []
    if (args.timing) console.log(timingLines(timings).join('\n'))
    mkdirSync(dirname(args.report), { recursive: true })
    writeFileSync(args.report, reportPage(workloads, timings))
    console.log(`report: ${args.report}`)
  }
})

if (process.argv[1]?.endsWith('policy-bench.js') === true) await runMain(command)
