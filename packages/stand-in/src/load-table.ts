/**
 * What callers were told, counted by kind of work.
 */
import { build, type Histogram } from 'hdr-histogram-js'

/** The outcomes that have a column; anything else is a refusal, counted by its code. */
export const OUTCOMES = ['finished', 'failed', 'cancelled', 'not-run', 'unknown', 'pending', 'no-answer'] as const

/** What a caller was told last: a state, `no-answer`, or `refused: CODE`. */
export type Outcome = typeof OUTCOMES[number] | `refused: ${string}`

/** One request's end as its caller saw it. */
export interface ToldOutcome {
  readonly kind: string
  readonly outcome: Outcome
  /** False where the answer differs from the request's own echo. */
  readonly ownAnswer: boolean
  readonly milliseconds: number
}

/** What callers of one kind were told. */
export interface LoadRow {
  readonly kind: string
  readonly asked: number
  readonly outcomes: Readonly<Record<string, number>>
  readonly wrongAnswers: number
  /** Of finished ones. */
  readonly medianMilliseconds: number
  readonly percentile99Milliseconds: number
}

/** The counts of one kind. */
interface KindCounts {
  readonly outcomes: Map<string, number>
  readonly latency: Histogram
  wrongAnswers: number
}

/**
 * Counts what callers were told.
 *
 * @example
 * const table = new LoadTable(['shift-swap'])
 * table.record({ kind: 'shift-swap', outcome: 'finished', ownAnswer: true, milliseconds: 80 })
 */
export class LoadTable {
  readonly #kinds: ReadonlyMap<string, KindCounts>

  constructor (kinds: readonly string[]) {
    this.#kinds = new Map(kinds.map(kind => [kind, { outcomes: new Map(), latency: build(), wrongAnswers: 0 }]))
  }

  record ({ kind, outcome, ownAnswer, milliseconds }: ToldOutcome): void {
    const counts = this.#kinds.get(kind)!
    counts.outcomes.set(outcome, (counts.outcomes.get(outcome) ?? 0) + 1)
    if (!ownAnswer) counts.wrongAnswers += 1
    if (outcome === 'finished') counts.latency.recordValue(Math.max(1, Math.round(milliseconds)))
  }

  get rows (): readonly LoadRow[] {
    return [...this.#kinds].map(([kind, { outcomes, latency, wrongAnswers }]) => ({
      kind,
      asked: [...outcomes.values()].reduce((sum, count) => sum + count, 0),
      outcomes: Object.fromEntries(outcomes),
      wrongAnswers,
      medianMilliseconds: latency.getValueAtPercentile(50),
      percentile99Milliseconds: latency.getValueAtPercentile(99)
    }))
  }
}

/**
 * The rows as text in columns. Refusals stand below, by code.
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

/** Pads each column to its widest cell; the first one to the left, the others to the right. */
function alignColumns (rows: readonly (readonly string[])[]): readonly string[] {
  const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)))
  const pad = (cell: string, column: number): string => column === 0 ? cell.padEnd(widths[0]!) : cell.padStart(widths[column]!)
  return rows.map(row => row.map(pad).join('  '))
}
