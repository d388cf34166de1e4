/**
 * Runs the cases over their seeds and renders the table of their results.
 */
import { CornelgaugeError, asFailure } from '@cornelgauge/model'
import type { CaseResult, ProveCase } from './prove-case.js'
import { operatorRace } from './prove-documents.js'
import { frozenPastLease, frozenOwner, frozenWhileTrimmed, killedAfterStart, killedBeforeStart, randomSchedule, rollingReplacement, twoOwners } from './prove-owners.js'
import { cancellationWave, gangMemberLost, gangMemberMissing, leavingServer, lostAnswers, startDuringOutage, tableOutage } from './prove-platform.js'
import { checkGuarantees, GUARANTEES } from './prove-rules.js'
import { interfacesWithout, type Mechanism } from './prove-without.js'

/** Every case by its name. */
export const CASES: Readonly<Record<string, ProveCase>> = {
  'random-schedule': randomSchedule,
  'owner-killed-between-intent-and-start': killedBeforeStart,
  'owner-killed-between-start-and-answer': killedAfterStart,
  'owner-frozen': frozenOwner,
  'owner-frozen-past-its-lease': frozenPastLease,
  'owner-frozen-while-its-journal-is-trimmed': frozenWhileTrimmed,
  'two-owners': twoOwners,
  'table-outage': tableOutage,
  'lost-answers': lostAnswers,
  'rolling-replacement': rollingReplacement,
  'operator-race': operatorRace,
  'cancellation-wave': cancellationWave,
  'start-during-outage': startDuringOutage,
  'leaving-server': leavingServer,
  'gang-member-lost': gangMemberLost,
  'gang-member-missing': gangMemberMissing
}

/** One violation of a guarantee. */
export interface Violation {
  readonly guarantee: string
  readonly caseName: string
  readonly seed: number
  readonly line: string
}

/** A run that failed before its guarantees could be checked. */
export interface FailedRun {
  readonly caseName: string
  readonly seed: number
  readonly code: string
  readonly detail: string
}

/** The results of all runs. */
export interface Proof {
  /** Number of runs that checked a guarantee, by guarantee and case. */
  readonly checked: ReadonlyMap<string, ReadonlyMap<string, number>>
  readonly violations: readonly Violation[]
  readonly failedRuns: readonly FailedRun[]
}

/** The runs to make: the seeds of each case. */
export type ProofPlan = ReadonlyMap<string, readonly number[]>

/**
 * Runs one case with one seed.
 *
 * @throws CornelgaugeError `not-found` if there is no such case
 */
export function runCase (name: string, seed: number, without?: Mechanism): Promise<CaseResult> {
  const proveCase = CASES[name]
  if (proveCase === undefined) throw new CornelgaugeError('not-found', { detail: `The cases are ${Object.keys(CASES).join(', ')}` })
  return proveCase(seed, interfacesWithout(without))
}

/** Collects the results of the runs. */
export class ProofTally implements Proof {
  readonly checked = new Map(Object.keys(GUARANTEES).map(name => [name, new Map<string, number>()] as const))
  readonly violations: Violation[] = []
  readonly failedRuns: FailedRun[] = []

  /** Makes one run and records its checks and violations, or that it failed. */
  async record (caseName: string, seed: number, run: () => Promise<ReadonlyMap<string, readonly string[]>>): Promise<void> {
    try {
      for (const [guarantee, lines] of await run()) this.#count(guarantee, caseName, seed, lines)
    } catch (thrown) {
      const { code, message } = asFailure(thrown)
      this.failedRuns.push({ caseName, seed, code, detail: message })
    }
  }

  #count (guarantee: string, caseName: string, seed: number, lines: readonly string[]): void {
    const counts = this.checked.get(guarantee)!
    counts.set(caseName, (counts.get(caseName) ?? 0) + 1)
    this.violations.push(...lines.map(line => ({ guarantee, caseName, seed, line })))
  }
}

/**
 * Makes every run of the plan. With a mechanism removed, a violation counts only if the
 * same run keeps the guarantee with the mechanism present.
 */
export async function prove (plan: ProofPlan, without?: Mechanism): Promise<Proof> {
  const tally = new ProofTally()
  for (const [caseName, seed] of runsOf(plan)) await tally.record(caseName, seed, () => checkRun(caseName, seed, without))
  return tally
}

async function checkRun (caseName: string, seed: number, without: Mechanism | undefined): Promise<ReadonlyMap<string, readonly string[]>> {
  const checked = checkGuarantees((await runCase(caseName, seed, without)).evidence)
  const isClean = [...checked.values()].every(lines => lines.length === 0)
  if (without === undefined || isClean) return checked
  const withMechanism = checkGuarantees((await runCase(caseName, seed)).evidence)
  return new Map([...checked].filter(([guarantee]) => withMechanism.get(guarantee)?.length === 0))
}

/** Renders the table: guarantee (labelled `promise`), cases, seeds, violations. */
export function proofLines ({ checked, violations }: Proof): readonly string[] {
  const rows = [...checked].map(([guarantee, counts]) => [
    guarantee,
    String(counts.size),
    String([...counts.values()].reduce((sum, count) => sum + count, 0)),
    String(violations.filter(violation => violation.guarantee === guarantee).length)
  ])
  return alignedLines([['promise', 'cases', 'seeds', 'violations'], ...rows])
}

function runsOf (plan: ProofPlan): readonly (readonly [string, number])[] {
  return [...plan].flatMap(([name, seeds]) => seeds.map(seed => [name, seed] as const))
}

function alignedLines (rows: readonly (readonly string[])[]): readonly string[] {
  const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)))
  return rows.map(row => row.map((cell, column) => column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join('  '))
}
