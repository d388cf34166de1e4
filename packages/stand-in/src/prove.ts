/** Checks the guarantees over random schedules and failure cases: `npm run prove`. */
import { defineCommand, runMain } from 'citty'
import { MECHANISMS, type Mechanism } from './prove-without.js'
import { PROCESS_CASES, proveOnProcesses } from './prove-processes.js'
import { checkGuarantees } from './prove-rules.js'
import { CASES, prove, proofLines, runCase, type Proof, type ProofPlan } from './prove-table.js'
import type { RecordedEvent } from './rig.js'

const SCHEDULE_RUNS = 200
const CASE_RUNS = 10
const SHOWN_VIOLATIONS = 20
const EXIT_INVALID_FLAGS = 2

/** Flags as given on the command line. */
export interface ProveFlags {
  readonly seed?: string
  readonly case?: string
  readonly runs?: string
  readonly without?: string
  readonly processes?: boolean
}

function planOf (flags: ProveFlags): ProofPlan {
  const first = Number(flags.seed ?? 1)
  const names = flags.case === undefined ? Object.keys(CASES) : [flags.case]
  const runsOf = (name: string): number => Number(flags.runs ?? (name === 'random-schedule' ? SCHEDULE_RUNS : CASE_RUNS))
  return new Map(names.map(name => [name, Array.from({ length: runsOf(name) }, (_, index) => first + index)]))
}

function printProof (proof: Proof, without: Mechanism | undefined): void {
  console.log(proofLines(proof).join('\n'))
  const command = `npm run prove --${without === undefined ? '' : ` --without ${without}`}`
  for (const { guarantee, caseName, seed, line } of proof.violations.slice(0, SHOWN_VIOLATIONS)) {
    console.log(`${guarantee}: ${line}\n  ${command} --case ${caseName} --seed ${seed}`)
  }
  if (proof.violations.length > SHOWN_VIOLATIONS) console.log(`and ${proof.violations.length - SHOWN_VIOLATIONS} more`)
  for (const { caseName, seed, code, detail } of proof.failedRuns) {
    console.log(`run failed: ${code} ${detail}\n  ${command} --case ${caseName} --seed ${seed}`)
  }
}

function timelineLines (events: readonly RecordedEvent[]): readonly string[] {
  const start = events[0]?.at ?? 0
  return events.map(({ vm, name, at, cell, request, details }) =>
    [`${String(at - start).padStart(8)} ms`, vm, name, cell, request, details === undefined ? undefined : JSON.stringify(details)]
      .filter(part => part !== undefined).join('  '))
}

/** Replays one run and prints its timeline; returns the number of violations. */
async function replay (name: string, seed: number, without: Mechanism | undefined): Promise<number> {
  const { evidence, events } = await runCase(name, seed, without)
  console.log(timelineLines(events).join('\n'))
  const violations = [...checkGuarantees(evidence)].flatMap(([guarantee, lines]) => lines.map(line => `${guarantee}: ${line}`))
  violations.forEach(line => { console.log(line) })
  return violations.length
}

function proofOf (flags: ProveFlags, without: Mechanism | undefined): Promise<Proof> {
  if (flags.processes !== true) return prove(planOf(flags), without)
  const names = Object.keys(PROCESS_CASES).filter(name => flags.case === undefined || flags.case === name)
  return proveOnProcesses(names, Number(flags.seed ?? 1), line => { console.log(line) })
}

async function proveAll (flags: ProveFlags, without: Mechanism | undefined): Promise<{ violations: number, failedRuns: number }> {
  const proof = await proofOf(flags, without)
  printProof(proof, without)
  return { violations: proof.violations.length, failedRuns: proof.failedRuns.length }
}

/** Returns the errors in the flags; a run that checks nothing must not pass. */
export function flagErrors (flags: ProveFlags): readonly string[] {
  const names = Object.keys(flags.processes === true ? PROCESS_CASES : CASES)
  const isCount = (text: string | undefined, least: number): boolean => text === undefined || (/^\d+$/.test(text) && Number(text) >= least)
  return [
    ...(flags.case === undefined || names.includes(flags.case) ? [] : [`--case takes one of ${names.join(', ')}`]),
    ...(flags.without === undefined || MECHANISMS.some(mechanism => mechanism === flags.without) ? [] : [`--without takes one of ${MECHANISMS.join(', ')}`]),
    ...(isCount(flags.seed, 0) ? [] : ['--seed must be a whole number of 0 or more']),
    ...(isCount(flags.runs, 1) ? [] : ['--runs must be a whole number of 1 or more'])
  ]
}

async function run (flags: ProveFlags): Promise<boolean> {
  const without = MECHANISMS.find(mechanism => mechanism === flags.without)
  const isReplay = flags.case !== undefined && flags.seed !== undefined && flags.runs === undefined && flags.processes !== true
  const { violations, failedRuns } = isReplay
    ? { violations: await replay(flags.case!, Number(flags.seed), without), failedRuns: 0 }
    : await proveAll(flags, without)
  if (failedRuns > 0) console.log(`${failedRuns} runs failed before they could be checked`)
  console.log(`${violations} violations`)
  return without === undefined ? violations === 0 && failedRuns === 0 : violations > 0
}

const command = defineCommand({
  meta: { name: 'prove', description: 'Checks the guarantees over random schedules and named failure cases' },
  args: {
    seed: { type: 'string', description: 'first seed; with --case and without --runs, replays the run with this seed' },
    case: { type: 'string', description: Object.keys(CASES).join('|') },
    runs: { type: 'string', description: 'number of seeds for each case' },
    processes: { type: 'boolean', description: 'runs the cases on real processes instead' },
    without: { type: 'string', description: MECHANISMS.join('|') }
  },
  async run ({ args }) {
    const errors = flagErrors(args)
    errors.forEach(error => { console.error(error) })
    process.exitCode = errors.length > 0 ? EXIT_INVALID_FLAGS : await run(args) ? 0 : 1
  }
})

if (process.argv[1]?.endsWith('prove.js') === true) await runMain(command)
