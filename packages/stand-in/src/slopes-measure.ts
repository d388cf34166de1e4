/**
 * Takes figures at several sizes of one driver, and fits a line to each figure.
 */
import { fitLine, median, type Fit, type Point } from './slopes-fit.js'

/** The figures measured at one size, by name. */
export type Figures = Readonly<Record<string, number>>

/** Measures how the cost of one mechanism grows with one driver. */
export interface Measure {
  readonly name: string
  /** The unit that `sizes` counts, in the singular, such as `running task`. */
  readonly driver: string
  readonly sizes: readonly number[]
  /** Unit of each figure. */
  readonly units: Readonly<Record<string, string>>
  /** How often each size is measured; the median is used. */
  readonly repeats: number
  readonly take: (size: number) => Promise<Figures>
}

/** The line fitted to one figure. */
export interface Slope extends Fit {
  /** `MEASURE/FIGURE`. */
  readonly name: string
  readonly driver: string
  readonly unit: string
  readonly points: readonly Point[]
}

/** Takes a measure at all its sizes, smallest first. Several rounds are preceded by a warm-up at the smallest size. */
export async function takeMeasure (measure: Measure): Promise<readonly Slope[]> {
  const rounds: (readonly Figures[])[] = []
  if (measure.repeats > 1) await measure.take(measure.sizes[0]!)
  for (let round = 0; round < measure.repeats; round++) rounds.push(await takeRound(measure))
  return slopesOf(measure, rounds)
}

/** Runs a measure once, at all its sizes concurrently; for measures whose sizes are separate processes. */
export async function takeMeasureAtOnce (measure: Measure): Promise<readonly Slope[]> {
  return slopesOf(measure, [await Promise.all(measure.sizes.map(size => measure.take(size)))])
}

async function takeRound (measure: Measure): Promise<readonly Figures[]> {
  const figures: Figures[] = []
  for (const size of measure.sizes) figures.push(await measure.take(size))
  return figures
}

function slopesOf (measure: Measure, rounds: readonly (readonly Figures[])[]): readonly Slope[] {
  return Object.entries(measure.units).map(([figure, unit]) => {
    const points = measure.sizes.map((size, index) => ({ size, value: median(rounds.map(round => round[index]![figure]!)) }))
    return { name: `${measure.name}/${figure}`, driver: measure.driver, unit, points, ...fitLine(points) }
  })
}
