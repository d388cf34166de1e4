/** The policy bench: `npm run bench:policy`. */
import { SCHEDULERS, type SchedulerName } from '@cornelgauge/policy'
import { defineCommand, runMain } from 'citty'
import { MEASURES, type Figures } from './policy-bench-measure.js'
import { tableLines, type Results } from './policy-bench-table.js'
import { WORKLOADS, type WorkloadName } from './policy-bench-workload.js'

const DEFAULT_SEEDS = 20

/** Runs every measure for these policies and seeds on one workload. */
export function runBench (workload: WorkloadName, policies: readonly SchedulerName[], seeds: readonly number[]): Results {
  return new Map(policies.map(policy => [policy, seeds.map(seed => measureAll(workload, policy, seed))]))
}

function measureAll (workload: WorkloadName, policy: SchedulerName, seed: number): Figures {
  return Object.assign({}, ...MEASURES.map(measure => measure(SCHEDULERS[policy], WORKLOADS[workload], seed)))
}

function chosen<Name extends string> (value: string | undefined, all: Readonly<Record<Name, unknown>>): readonly Name[] {
  const names = Object.keys(all) as Name[]
  if (value === undefined) return names
  return names.filter(name => name === value)
}

const command = defineCommand({
  meta: { name: 'bench:policy', description: 'Measures the policy alone, with seeded arrivals and a virtual clock' },
  args: {
    seed: { type: 'string', description: 'this seed only' },
    seeds: { type: 'string', description: 'how many seeds, from 1', default: String(DEFAULT_SEEDS) },
    workload: { type: 'string', description: Object.keys(WORKLOADS).join('|') },
    policy: { type: 'string', description: Object.keys(SCHEDULERS).join('|') }
  },
  run ({ args }) {
    const seeds = args.seed === undefined ? Array.from({ length: Number(args.seeds) }, (_, index) => index + 1) : [Number(args.seed)]
    for (const workload of chosen(args.workload, WORKLOADS)) {
      const results = runBench(workload, chosen(args.policy, SCHEDULERS), seeds)
      console.log(`${tableLines(`${workload}, ${seeds.length} seed(s)`, results).join('\n')}\n`)
    }
  }
})

if (process.argv[1]?.endsWith('policy-bench.js') === true) await runMain(command)
