/** The interface of a command: it receives its settings and returns an outcome. */
import type { RequestKey } from '@cornelgauge/model'
import type { ExitName } from './exit-code.js'
import type { HttpPort } from './http.js'
import type { SettingDefinitions, SettingValues } from './settings.js'
import type { Style, Writer } from './terminal.js'
import type { TimelineRenderer } from './timeline-renderer.js'

/** The input and output of a command, collected here so that tests can replace them. */
export interface Tools {
  readonly variables: Readonly<Record<string, string | undefined>>
  readonly output: Writer
  /** The writer for progress, hints and failures. */
  readonly diagnostics: Writer
  readonly http: HttpPort
  readonly timeline: TimelineRenderer
  /** Milliseconds since 1970. */
  now (): number
  pause (milliseconds: number): Promise<void>
  createKey (): RequestKey
  readFile (path: string): Promise<string>
  writeFile (path: string, text: string): Promise<void>
}

/** The outcome of a command. */
export interface Outcome {
  readonly exit: ExitName
  /** The value that is printed with `--json`. */
  readonly value: unknown
  /** Renders the text that is printed without `--json`, including line ends. */
  readonly render: (style: Style) => string
}

/** A command with its settings. */
export interface Operation<Definitions extends SettingDefinitions = SettingDefinitions> {
  readonly description: string
  readonly settings: Definitions
  /** Names of the settings that a call with the given values does not use; these are not checked. */
  readonly unusedSettings?: (given: Readonly<Record<string, string | undefined>>) => readonly string[]
  /** Example command lines for the help. */
  readonly examples: readonly OperationExample[]
  readonly run: (settings: SettingValues<Definitions>, tools: Tools) => Promise<Outcome>
}

/** An example command line for the help, with a description of what it does. */
export interface OperationExample {
  readonly line: string
  readonly does: string
}

/** Defines an operation; the types of the settings passed to `run` are inferred from `settings`. */
export function defineOperation<const Definitions extends SettingDefinitions> (operation: Operation<Definitions>): Operation {
  return operation as unknown as Operation
}

/** Joins lines, each terminated by a line end. */
export function joinLines (lines: readonly string[]): string {
  return lines.map(line => `${line}\n`).join('')
}
