/**
 * Fits a straight line to measured points by least squares.
 */
import { CornelgaugeError } from '@cornelgauge/model'

/** One measured point. */
export interface Point {
  readonly size: number
  readonly value: number
}

/** A fitted line with its standard error and residuals. */
export interface Fit {
  readonly intercept: number
  readonly slope: number
  /** Standard error of the slope. */
  readonly standardError: number
  /** Measured less fitted value, point by point. */
  readonly residuals: readonly number[]
}

const MINIMUM_POINTS = 3

/**
 * Fits `value = intercept + slope * size`. Fails with `invalid-settings` if there are
 * fewer than three points, or all have the same size.
 *
 * @example
 * fitLine([{ size: 1, value: 3 }, { size: 2, value: 5 }, { size: 3, value: 7 }]).slope // 2
 */
export function fitLine (points: readonly Point[]): Fit {
  const meanSize = mean(points.map(point => point.size))
  const meanValue = mean(points.map(point => point.value))
  const spread = sum(points.map(point => (point.size - meanSize) ** 2))
  if (points.length < MINIMUM_POINTS || spread === 0) {
    throw new CornelgaugeError('invalid-settings', { detail: 'A fit needs at least three points of different sizes' })
  }
  const slope = sum(points.map(point => (point.size - meanSize) * (point.value - meanValue))) / spread
  const intercept = meanValue - slope * meanSize
  const residuals = points.map(point => point.value - intercept - slope * point.size)
  const variance = sum(residuals.map(residual => residual ** 2)) / (points.length - 2)
  return { intercept, slope, standardError: Math.sqrt(variance / spread), residuals }
}

/**
 * The median of the values.
 *
 * @example
 * median([3, 1, 2]) // 2
 */
export function median (values: readonly number[]): number {
  const sorted = [...values].sort((first, second) => first - second)
  const middle = Math.floor(sorted.length / 2)
  return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function mean (values: readonly number[]): number {
  return sum(values) / values.length
}
