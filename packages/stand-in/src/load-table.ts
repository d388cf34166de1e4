/**
 * Counts the outcomes that callers of the sample load received, by kind of work.
 */
import { build, type Histogram } from 'hdr-histogram-js'

/** The outcomes with a column of their own; every other one is a refusal, counted by error code. */
export const OUTCOMES = ['finished', 'failed', 'cancelled', 'not-run', 'unknown', 'pending', 'no-answer'] as const

/** The last response that a caller got: a state, `no-answer`, or `refused: CODE`. */
export type Outcome = typeof OUTCOMES[number] | `refused: ${string}`

/** The outcome of one request as its caller saw it. */
export interface CallerOutcome {
  readonly kind: string
  readonly outcome: Outcome
  /** False if a finished request's answer does not echo the request's own payload. */
  readonly ownAnswer: boolean
  readonly milliseconds: number
}

/** The figures of one kind of work. */
export interface LoadRow {
  readonly kind: string
  readonly asked: number
  readonly outcomes: Readonly<Record<string, number>>
  readonly wrongAnswers: number
  /** Of finished requests, like the 99th percentile. */
  readonly medianMilliseconds: number
  readonly percentile99Milliseconds: number
}

/** The counters of one kind of work. */
interface KindCounts {
  readonly outcomes: Map<string, number>
  readonly latencies: Histogram
  wrongAnswers: number
}

/**
 * Counts outcomes and records the latency of finished requests.
 *
 * @example
 * const table = new LoadTable(['shift-swap'])
 * table.record({ kind: 'shift-swap', outcome: 'finished', ownAnswer: true, milliseconds: 80 })
 */
export class LoadTable {
  readonly #kinds: ReadonlyMap<string, KindCounts>

  constructor (kinds: readonly string[]) {
    this.#kinds = new Map(kinds.map(kind => [kind, { outcomes: new Map(), latencies: build(), wrongAnswers: 0 }]))
  }

  record ({ kind, outcome, ownAnswer, milliseconds }: CallerOutcome): void {
    const counts = this.#kinds.get(kind)!
    counts.outcomes.set(outcome, (counts.outcomes.get(outcome) ?? 0) + 1)
    if (!ownAnswer) counts.wrongAnswers += 1
    if (outcome === 'finished') counts.latencies.recordValue(Math.max(1, Math.round(milliseconds)))
  }

  get rows (): readonly LoadRow[] {
    return [...this.#kinds].map(([kind, { outcomes, latencies, wrongAnswers }]) => ({
      kind,
      asked: [...outcomes.values()].reduce((sum, count) => sum + count, 0),
      outcomes: Object.fromEntries(outcomes),
      wrongAnswers,
      medianMilliseconds: latencies.getValueAtPercentile(50),
      percentile99Milliseconds: latencies.getValueAtPercentile(99)
    }))
  }
}

/**
 * Formats the rows as a text table, followed by one line per kind and refusal code.
 *
 * @example
 * console.log(formatLoad(table.rows))
 */
export function formatLoad (rows: readonly LoadRow[]): string {
  const header = ['kind', 'asked', ...OUTCOMES, 'refused', 'wrong answer', 'median ms', '99th ms']
  const lines = rows.map(row => [
    row.kind,
    row.asked,
    ...OUTCOMES.map(outcome => row.outcomes[outcome] ?? 0),
    refusalsOf(row).reduce((sum, [, count]) => sum + count, 0),
    row.wrongAnswers,
    row.medianMilliseconds,
    row.percentile99Milliseconds
  ].map(String))
  const refusals = rows.flatMap(row => refusalsOf(row).map(([outcome, count]) => `${row.kind}: ${count} ${outcome}`))
  return [...alignColumns([header, ...lines]), ...refusals].join('\n')
}

function refusalsOf (row: LoadRow): readonly (readonly [string, number])[] {
  return Object.entries(row.outcomes).filter(([outcome]) => outcome.startsWith('refused: '))
}

/** Pads each column to its widest cell; the first column is aligned left, the others right. */
function alignColumns (rows: readonly (readonly string[])[]): readonly string[] {
  const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)))
  const pad = (cell: string, column: number): string => column === 0 ? cell.padEnd(widths[0]!) : cell.padStart(widths[column]!)
  return rows.map(row => row.map(pad).join('  '))
}
