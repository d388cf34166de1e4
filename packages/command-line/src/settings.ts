/**
 * Settings of a command: flags, each with its environment variable, and
 * positional ones. All are checked before anything is done, and every fault is
 * told at once, without the values, as one may be a secret.
 */
import { CornelgaugeError } from '@cornelgauge/model'
import { z } from 'zod'

/** One setting of a command. */
export interface SettingDefinition<Value> {
  readonly description: string
  /** Reads the text of the setting; text is undefined where it is not given. */
  readonly schema: z.ZodType<Value, string | undefined>
  readonly place: 'flag' | 'switch' | 'positional'
  /** What stands for the value in the help. */
  readonly hint?: string
}

/** The settings of a command by name, in camel case. */
export type SettingDefinitions = Readonly<Record<string, SettingDefinition<unknown>>>

/** The values that definitions give. */
export type SettingValues<Definitions extends SettingDefinitions> = {
  readonly [Name in keyof Definitions]: z.output<Definitions[Name]['schema']>
}

/** One fault of the settings. */
export interface SettingFault {
  /** The flag or the positional setting, as it is written. */
  readonly setting: string
  /** The environment variable that sets it as well. */
  readonly variable?: string
  readonly detail: string
}

/** What the command was called with. */
export interface GivenSettings {
  /** By the setting's name in camel case. */
  readonly values: Readonly<Record<string, string | undefined>>
  readonly variables: Readonly<Record<string, string | undefined>>
}

const VARIABLE_PREFIX = 'CORNELGAUGE'

function kebabCase (name: string): string {
  return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}

/**
 * A flag's name as it is written, without its dashes.
 *
 * @example
 * flagName('waitMilliseconds') // 'wait-milliseconds'
 */
export function flagName (name: string): string {
  return kebabCase(name)
}

/**
 * The environment variable of a flag.
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

/** The given text of one setting; the flag goes before its variable, and an empty variable counts as none. */
function givenText (name: string, definition: SettingDefinition<unknown>, given: GivenSettings): string | undefined {
  if (given.values[name] !== undefined || definition.place === 'positional') return given.values[name]
  const variable = given.variables[variableName(name)]
  return variable === '' ? undefined : variable
}

/**
 * The failure `invalid-settings` that carries every fault.
 *
 * @example
 * throw invalidSettings([{ setting: '--token', variable: 'CORNELGAUGE_TOKEN', detail: 'This setting is required.' }])
 */
export function invalidSettings (faults: readonly SettingFault[]): CornelgaugeError {
  const noun = faults.length === 1 ? 'fault' : 'faults'
  return new CornelgaugeError('invalid-settings', { detail: `The settings have ${faults.length} ${noun}`, members: { faults } })
}

/**
 * Reads and checks all settings of a command.
 *
 * @param usageFaults - what was found wrong with the command line before, told together with the rest
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
