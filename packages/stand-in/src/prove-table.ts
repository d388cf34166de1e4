/**
 * Runs the cases over their seeds, and makes the table of what they showed.
 */
import { CornelgaugeError, asFailure } from '@cornelgauge/model'
import type { CaseResult, ProveCase } from './prove-case.js'
import { operatorRace } from './prove-documents.js'
import { frozenAndBack, frozenOwner, frozenWhileTrimmed, killedAfterStart, killedBeforeStart, randomSchedule, rollingReplacement, twoOwners } from './prove-owners.js'
import { cancellationWave, gangMemberLost, gangMemberMissing, leavingServer, lostAnswers, startDuringOutage, tableOutage } from './prove-platform.js'
import { checkPromises, PROMISES } from './prove-rules.js'
import { interfacesWithout, type Mechanism } from './prove-without.js'

/** Every case by its name. */
export const CASES: Readonly<Record<string, ProveCase>> = {
  'random-schedule': randomSchedule,
  'owner-killed-between-intent-and-start': killedBeforeStart,
  'owner-killed-between-start-and-answer': killedAfterStart,
  'owner-frozen': frozenOwner,
  'owner-frozen-past-its-lease': frozenAndBack,
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

/** One break of a promise. */
export interface Violation {
  readonly promise: string
  readonly caseName: string
  readonly seed: number
  readonly line: string
}

/** A run that did not come to its end. */
export interface BrokenRun {
  readonly caseName: string
  readonly seed: number
  readonly code: string
  readonly detail: string
}

/** What all runs showed. */
export interface Proof {
  /** Runs that had something to say of a promise, by promise and case. */
  readonly checked: ReadonlyMap<string, ReadonlyMap<string, number>>
  readonly violations: readonly Violation[]
  readonly broken: readonly BrokenRun[]
}

/** Which runs to make: the seeds of each case. */
export type ProofPlan = ReadonlyMap<string, readonly number[]>

/**
 * Runs one case with one seed.
 *
 * @throws CornelgaugeError `not-found` where there is no such case
 */
export function runCase (name: string, seed: number, without?: Mechanism): Promise<CaseResult> {
  const proveCase = CASES[name]
  if (proveCase === undefined) throw new CornelgaugeError('not-found', { detail: `The cases are ${Object.keys(CASES).join(', ')}` })
  return proveCase(seed, interfacesWithout(without))
}

/** Gathers what the runs show. */
export class ProofTally implements Proof {
  readonly checked = new Map(Object.keys(PROMISES).map(name => [name, new Map<string, number>()] as const))
  readonly violations: Violation[] = []
  readonly broken: BrokenRun[] = []

  /** Makes one run and takes in what it shows, or that it failed. */
  async take (caseName: string, seed: number, run: () => Promise<ReadonlyMap<string, readonly string[]>>): Promise<void> {
    try {
      for (const [promise, lines] of await run()) this.#note(promise, caseName, seed, lines)
    } catch (thrown) {
      const { code, message } = asFailure(thrown)
      this.broken.push({ caseName, seed, code, detail: message })
    }
  }

  #note (promise: string, caseName: string, seed: number, lines: readonly string[]): void {
    const counts = this.checked.get(promise)!
    counts.set(caseName, (counts.get(caseName) ?? 0) + 1)
    this.violations.push(...lines.map(line => ({ promise, caseName, seed, line })))
  }
}

/**
 * Makes every run of the plan. Without a mechanism, a break counts only where the
 * same run keeps that promise with the mechanism in its place.
 */
export async function prove (plan: ProofPlan, without?: Mechanism): Promise<Proof> {
  const tally = new ProofTally()
  for (const [caseName, seed] of runsOf(plan)) await tally.take(caseName, seed, () => checkRun(caseName, seed, without))
  return tally
}

async function checkRun (caseName: string, seed: number, without: Mechanism | undefined): Promise<ReadonlyMap<string, readonly string[]>> {
  const checked = checkPromises((await runCase(caseName, seed, without)).evidence)
  const isClean = [...checked.values()].every(lines => lines.length === 0)
  if (without === undefined || isClean) return checked
  const whole = checkPromises((await runCase(caseName, seed)).evidence)
  return new Map([...checked].filter(([promise]) => whole.get(promise)?.length === 0))
}

/** The table: promise, cases, seeds, violations. */
export function proofLines ({ checked, violations }: Proof): readonly string[] {
  const rows = [...checked].map(([promise, counts]) => [
    promise,
    String(counts.size),
    String([...counts.values()].reduce((sum, count) => sum + count, 0)),
    String(violations.filter(violation => violation.promise === promise).length)
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
