/** The command tree of `cornelgauge`, and its translation to commands of `citty`. */
import { defineCommand, parseArgs, type ArgsDef, type CommandDef } from 'citty'
import { DOCUMENT_OPERATIONS } from './document-operations.js'
import type { Operation } from './operation.js'
import { REQUEST_OPERATIONS } from './request-operations.js'
import { JSON_SETTING } from './setting-types.js'
import { flagName, variableName, type SettingDefinition, type SettingDefinitions, type SettingFault } from './settings.js'
import { statusOperation } from './status-operation.js'
import { timelineOperation } from './timeline-operation.js'

/** Name of the binary. */
export const PROGRAM_NAME = 'cornelgauge'

/** A node of the command tree: an operation, or a group of nodes. */
export type CommandNode =
  | { readonly type: 'operation', readonly operation: Operation }
  | { readonly type: 'group', readonly description: string, readonly children: Readonly<Record<string, CommandNode>> }

function nodesOf (operations: Readonly<Record<string, Operation>>): Readonly<Record<string, CommandNode>> {
  return Object.fromEntries(Object.entries(operations).map(([name, operation]) => [name, { type: 'operation', operation }]))
}

/** The command tree. */
export const COMMAND_TREE: CommandNode = {
  type: 'group',
  description: 'Operate cornelgauge and submit requests',
  children: {
    document: { type: 'group', description: 'The environment document: first in trial, then in production', children: nodesOf(DOCUMENT_OPERATIONS) },
    ...nodesOf({ ...REQUEST_OPERATIONS, status: statusOperation, timeline: timelineOperation })
  }
}

/** All settings of an operation, including the switch that every command has. */
export function settingsOf (operation: Operation): SettingDefinitions {
  return { ...operation.settings, json: JSON_SETTING }
}

type CittyArgument = ArgsDef[string]

const ARGUMENT_OF_PLACE: Readonly<Record<SettingDefinition<unknown>['place'], (name: string, definition: SettingDefinition<unknown>) => CittyArgument>> = {
  positional: (_name, { description }) => ({ type: 'positional', description }),
  switch: (name, { description }) => ({ type: 'boolean', description: `${description} [${variableName(name)}]` }),
  flag: (name, { description, hint }) => ({ type: 'string', valueHint: hint, description: `${description} [${variableName(name)}]` })
}

function isRequired ({ schema }: SettingDefinition<unknown>): boolean {
  return !schema.safeParse(undefined).success
}

function argumentName (name: string, definition: SettingDefinition<unknown>): string {
  return definition.place === 'positional' ? name : flagName(name)
}

/** The arguments for the help, which marks those that are required. */
function argumentsOf (definitions: SettingDefinitions): ArgsDef {
  return Object.fromEntries(Object.entries(definitions).map(([name, definition]) =>
    [argumentName(name, definition), { ...ARGUMENT_OF_PLACE[definition.place](name, definition), required: isRequired(definition) }]))
}

/** The arguments for parsing. None is required here, as `citty` would report only the first missing one. */
function optionalArguments (definitions: SettingDefinitions): ArgsDef {
  return Object.fromEntries(Object.entries(argumentsOf(definitions)).map(([name, argument]) => [name, { ...argument, required: false }]))
}

function commandName (path: readonly string[]): string {
  return [PROGRAM_NAME, ...path].join(' ')
}

/** Converts a node to a command of `citty`, which renders its help. */
export function toCommand (node: CommandNode, path: readonly string[], version: string): CommandDef {
  const name = commandName(path)
  if (node.type === 'operation') {
    return defineCommand({ meta: { name, version, description: node.operation.description }, args: argumentsOf(settingsOf(node.operation)) })
  }
  const children = Object.entries(node.children).map(([child, childNode]) => [child, toCommand(childNode, [...path, child], version)])
  return defineCommand({ meta: { name, version, description: node.description }, subCommands: Object.fromEntries(children) as Record<string, CommandDef> })
}

/** The parsed arguments of an operation. */
export interface ParsedArguments {
  readonly values: Readonly<Record<string, string | undefined>>
  readonly faults: readonly SettingFault[]
}

function unknownFlags (parsed: Readonly<Record<string, unknown>>, definitions: SettingDefinitions): readonly SettingFault[] {
  const known = new Set(Object.entries(definitions).filter(([, { place }]) => place !== 'positional').map(([name]) => flagName(name)))
  const positional = new Set(Object.entries(definitions).filter(([, { place }]) => place === 'positional').map(([name]) => name))
  const given = new Set(Object.keys(parsed).filter(name => name !== '_' && !positional.has(name)).map(flagName))
  return [...given].filter(name => !known.has(name)).map(name => ({ setting: `--${name}`, detail: 'This command has no such flag.' }))
}

/** Reports surplus words by their position, without their text: one may be a secret after a misspelt flag. */
function surplusWords (words: readonly string[], definitions: SettingDefinitions): readonly SettingFault[] {
  const positionalCount = Object.values(definitions).filter(({ place }) => place === 'positional').length
  return words.slice(positionalCount).map((_, index) => ({ setting: `word ${positionalCount + index + 1}`, detail: 'Too many arguments; the value of a flag must follow the flag.' }))
}

/**
 * Parses the words that follow an operation's name.
 *
 * @example
 * parseWords(['hlidka.yaml', '--json'], operation).values // { file: 'hlidka.yaml', json: 'true' }
 */
export function parseWords (words: readonly string[], operation: Operation): ParsedArguments {
  const definitions = settingsOf(operation)
  const parsed = parseArgs([...words], optionalArguments(definitions))
  const values = Object.entries(definitions).map(([name, definition]) => {
    const value: unknown = parsed[argumentName(name, definition)]
    return [name, value === undefined ? undefined : String(value)]
  })
  return {
    values: Object.fromEntries(values) as ParsedArguments['values'],
    faults: [...unknownFlags(parsed, definitions), ...surplusWords(parsed._, definitions)]
  }
}
