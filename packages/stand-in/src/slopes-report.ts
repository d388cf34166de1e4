/** The report of one run of the slope measures. */
import { availableParallelism } from 'node:os'
import type { Check } from './slopes-check.js'
import { takeMeasure, type Measure, type Slope } from './slopes-measure.js'

const DIGITS = 4

/** All figures of one run. */
export interface SlopesReport {
  readonly cores: number
  readonly node: string
  /** Resident bytes of a process that does nothing. */
  readonly bareProcessBytes: number
  /** Costs of one full-size cell, predicted and measured. */
  readonly checks: readonly Check[]
  readonly slopes: readonly Slope[]
}

/** Takes all measures, one after the other. */
export async function takeMeasures (measures: readonly Measure[]): Promise<readonly Slope[]> {
  const slopes: Slope[] = []
  for (const measure of measures) slopes.push(...await takeMeasure(measure))
  return slopes
}

/** Makes the report, with the slopes sorted by name. */
export function reportOf (slopes: readonly Slope[], checks: readonly Check[], bareProcessBytes: number): SlopesReport {
  const sorted = [...slopes].sort((first, second) => first.name < second.name ? -1 : 1)
  return { bareProcessBytes, checks, cores: availableParallelism(), node: process.version, slopes: sorted }
}

/** Renders the report as JSON, with four significant digits of each measured figure. */
export function reportText (report: SlopesReport): string {
  const round = (_: string, value: unknown): unknown => typeof value === 'number' && !Number.isInteger(value) ? Number(value.toPrecision(DIGITS)) : value
  return `${JSON.stringify(report, round, 2)}\n`
}

/** Renders the report as a table for the terminal. */
export function reportLines ({ slopes, checks, bareProcessBytes }: SlopesReport): readonly string[] {
  const rows = slopes.map(({ name, driver, unit, slope, standardError, intercept, residuals }) => [
    name, `${unit} per ${driver}`, slope.toPrecision(DIGITS), standardError.toPrecision(2), intercept.toPrecision(3), Math.max(...residuals.map(Math.abs)).toPrecision(2)
  ])
  const header = ['figure', 'unit', 'slope', 'standard error', 'intercept', 'largest residual']
  const widths = header.map((_, column) => Math.max(...[header, ...rows].map(row => row[column]!.length)))
  const line = (row: readonly string[]): string => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()
  const checked = checks.map(({ name, unit, predicted, measured }) => `one whole cell, ${name}: ${measured.toPrecision(DIGITS)} ${unit} measured, ${predicted?.toPrecision(DIGITS) ?? 'nothing'} predicted`)
  return [line(header), ...rows.map(line), `process that does nothing: ${bareProcessBytes} bytes resident`, ...checked]
}
