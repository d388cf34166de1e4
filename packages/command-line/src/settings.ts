/**
 * Settings of a command: flags, each with its environment variable, and positional
 * arguments. All are checked before the command runs, and all faults are reported at
 * once, without the values, as one may be a secret.
 */
import { CornelgaugeError } from '@cornelgauge/model'
import { z } from 'zod'

/** One setting of a command. */
export interface SettingDefinition<Value> {
  readonly description: string
  /** Parses the text of the setting, which is undefined if the setting is not given. */
  readonly schema: z.ZodType<Value, string | undefined>
  readonly place: 'flag' | 'switch' | 'positional'
  /** Placeholder for the value in the help. */
  readonly hint?: string
}

/** The settings of a command by their names in camel case. */
export type SettingDefinitions = Readonly<Record<string, SettingDefinition<unknown>>>

/** The parsed values of the defined settings. */
export type SettingValues<Definitions extends SettingDefinitions> = {
  readonly [Name in keyof Definitions]: z.output<Definitions[Name]['schema']>
}

/** One fault of the settings. */
export interface SettingFault {
  /** The flag or positional argument, as written on the command line. */
  readonly setting: string
  /** The environment variable of the flag. */
  readonly variable?: string
  readonly detail: string
}

/** The settings that a command was called with, as text. */
export interface GivenSettings {
  /** Values from the command line, by the setting's name in camel case. */
  readonly values: Readonly<Record<string, string | undefined>>
  /** Environment variables by name. */
  readonly variables: Readonly<Record<string, string | undefined>>
}

const VARIABLE_PREFIX = 'CORNELGAUGE'

function kebabCase (name: string): string {
  return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}

/**
 * Returns the name of a flag as written on the command line, without the leading dashes.
 *
 * @example
 * flagName('waitMilliseconds') // 'wait-milliseconds'
 */
export function flagName (name: string): string {
  return kebabCase(name)
}

/**
 * Returns the name of a flag's environment variable.
 *
 * @example
 * variableName('waitMilliseconds') // 'CORNELGAUGE_WAIT_MILLISECONDS'
 */
export function variableName (name: string): string {
  return `${VARIABLE_PREFIX}_${kebabCase(name).replaceAll('-', '_').toUpperCase()}`
}

function describeSetting (name: string, definition: SettingDefinition<unknown> | undefined): Pick<SettingFault, 'setting' | 'variable'> {
  if (definition?.place === 'positional') return { setting: name.toUpperCase() }
  return { setting: `--${flagName(name)}`, variable: variableName(name) }
}

/** The text given for a setting. A flag takes precedence over its variable, and an empty variable counts as not set. */
function givenText (name: string, definition: SettingDefinition<unknown>, given: GivenSettings): string | undefined {
  if (given.values[name] !== undefined || definition.place === 'positional') return given.values[name]
  const variable = given.variables[variableName(name)]
  return variable === '' ? undefined : variable
}

/**
 * Returns the failure `invalid-settings` with all faults in the member `faults`.
 *
 * @example
 * throw invalidSettings([{ setting: '--token', variable: 'CORNELGAUGE_TOKEN', detail: 'This setting is required.' }])
 */
export function invalidSettings (faults: readonly SettingFault[]): CornelgaugeError {
  const noun = faults.length === 1 ? 'fault' : 'faults'
  return new CornelgaugeError('invalid-settings', { detail: `The settings have ${faults.length} ${noun}`, members: { faults } })
}

/**
 * Parses and checks all settings of a command.
 *
 * @param usageFaults - faults found while the command line was parsed, which are reported together with the rest
 * @throws CornelgaugeError `invalid-settings` with every fault in the member `faults`
 * @example
 * readSettings({ address: SHARED_SETTINGS.address }, { values: {}, variables: process.env }).address
 */
export function readSettings<Definitions extends SettingDefinitions> (
  definitions: Definitions,
  given: GivenSettings,
  usageFaults: readonly SettingFault[] = []
): SettingValues<Definitions> {
  const results = Object.entries(definitions).map(([name, definition]) => ({
    name,
    result: definition.schema.safeParse(givenText(name, definition, given))
  }))
  const faults = results.flatMap(({ name, result }) => (result.error?.issues ?? []).map(issue => ({
    ...describeSetting(name, definitions[name]),
    detail: issue.message
  })))
  if (faults.length + usageFaults.length > 0) throw invalidSettings([...usageFaults, ...faults])
  return Object.fromEntries(results.map(({ name, result }) => [name, result.data])) as SettingValues<Definitions>
}
