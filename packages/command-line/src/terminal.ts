/** Text output: tables and colours on a terminal, plain lines elsewhere. */
import { styleText } from 'node:util'

/** A destination for text output. */
export interface Writer {
  /** Colours and tables are written to a terminal only. */
  readonly isTerminal: boolean
  write (text: string): void
}

/** Kinds of emphasis, each of which has a colour. */
export type Emphasis = 'good' | 'bad' | 'waiting' | 'heading'

/** The formatting that a writer supports. */
export interface Style {
  readonly tables: boolean
  readonly colours: boolean
  emphasize (emphasis: Emphasis, text: string): string
}

type Colour = Parameters<typeof styleText>[0]

const COLOURS: Readonly<Record<Emphasis, Colour>> = { good: 'green', bad: 'red', waiting: 'yellow', heading: 'bold' }

/** Whether the variable `NO_COLOR` is set to any value (no-color.org). */
function refusesColour (variables: Readonly<Record<string, string | undefined>>): boolean {
  return (variables.NO_COLOR ?? '') !== ''
}

/**
 * Returns the style for a writer; colours are disabled by `NO_COLOR`.
 *
 * @example
 * styleFor({ isTerminal: false, write () {} }, {}).emphasize('bad', 'failed') // 'failed'
 */
export function styleFor (writer: Writer, variables: Readonly<Record<string, string | undefined>>): Style {
  const colours = writer.isTerminal && !refusesColour(variables)
  return {
    tables: writer.isTerminal,
    colours,
    emphasize: (emphasis, text) => colours ? styleText(COLOURS[emphasis], text, { validateStream: false }) : text
  }
}

/** A column of a table. */
export interface Column<Row> {
  readonly title: string
  readonly text: (row: Row) => string
}

// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTERS = /[\u0000-\u0009\u000b-\u001f\u007f-\u009f\u2028\u2029\u202a-\u202e\u2066-\u2069]/g

/**
 * Escapes all control characters except line ends: text from a caller's key or payload
 * must not be able to control the reader's terminal.
 *
 * @example
 * escapeControls('a\u001B[2J') // 'a\\u001b[2J'
 */
export function escapeControls (text: string): string {
  return text.replace(CONTROL_CHARACTERS, character => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`)
}

function alignedLine (cells: readonly string[], widths: readonly number[]): string {
  return cells.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd()
}

/**
 * Renders a table as lines: columns are aligned on a terminal, separated by tabs elsewhere.
 *
 * @example
 * renderTable([{ title: 'CELL', text: row => row.cell }], [{ cell: 'praha' }], style) // ['CELL', 'praha']
 */
export function renderTable<Row> (columns: readonly Column<Row>[], rows: readonly Row[], style: Style): readonly string[] {
  const titles = columns.map(column => column.title)
  const cells = rows.map(row => columns.map(column => escapeControls(column.text(row))))
  if (!style.tables) return [titles, ...cells].map(line => line.join('\t'))
  const widths = titles.map((title, index) => Math.max(title.length, ...cells.map(line => line[index]?.length ?? 0)))
  return [style.emphasize('heading', alignedLine(titles, widths)), ...cells.map(line => alignedLine(line, widths))]
}

/** A label and its value. */
export type Labelled = readonly [label: string, value: string]

/**
 * Renders labels and their values, one pair on each line.
 *
 * @example
 * renderLabelled([['version', '3']], style) // ['version\t3']
 */
export function renderLabelled (items: readonly Labelled[], style: Style): readonly string[] {
  const escaped = items.map(([label, value]) => [label, escapeControls(value)] as const)
  if (!style.tables) return escaped.map(item => item.join('\t'))
  const width = Math.max(...escaped.map(([label]) => label.length))
  return escaped.map(([label, value]) => `${label.padEnd(width)}  ${value}`)
}
