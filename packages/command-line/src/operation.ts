/** What a command is to the rest of the package: settings in, an outcome out. */
import type { RequestKey } from '@cornelgauge/model'
import type { ExitName } from './exit-code.js'
import type { HttpPort } from './http.js'
import type { SettingDefinitions, SettingValues } from './settings.js'
import type { Style, Writer } from './terminal.js'
import type { TimelineRenderer } from './timeline-renderer.js'

/** Everything that a command does to the world goes through these. */
export interface Tools {
  readonly variables: Readonly<Record<string, string | undefined>>
  readonly output: Writer
  /** Where progress, hints and failures go. */
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

/** What a command ends with. */
export interface Outcome {
  readonly exit: ExitName
  /** What `--json` prints. */
  readonly value: unknown
  /** What is printed without it, with its line ends. */
  readonly render: (style: Style) => string
}

/** A command with its settings. */
export interface Operation<Definitions extends SettingDefinitions = SettingDefinitions> {
  readonly description: string
  readonly settings: Definitions
  /** Settings that this very call does without; these are not checked. */
  readonly unneeded?: (given: Readonly<Record<string, string | undefined>>) => readonly string[]
  /** Command lines for the help, each with what it does. */
  readonly examples: readonly OperationExample[]
  readonly run: (settings: SettingValues<Definitions>, tools: Tools) => Promise<Outcome>
}

/** A command line for the help. */
export interface OperationExample {
  readonly line: string
  readonly does: string
}

/** Gives an operation its type by the settings that it declares. */
export function defineOperation<const Definitions extends SettingDefinitions> (operation: Operation<Definitions>): Operation {
  return operation as unknown as Operation
}

/** Joins lines to text that ends with a line end. */
export function joinLines (lines: readonly string[]): string {
  return lines.map(line => `${line}\n`).join('')
}
