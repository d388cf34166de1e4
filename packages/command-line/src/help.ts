/** Renders the text of `--help`. */
import { stripVTControlCharacters } from 'node:util'
import { renderUsage } from 'citty'
import { PROGRAM_NAME, toCommand, type CommandNode } from './commands.js'
import { EXIT_CODES, type ExitName } from './exit-code.js'
import type { OperationExample } from './operation.js'

const EXIT_MEANINGS: Readonly<Record<ExitName, string>> = {
  done: 'done',
  otherwise: 'the request ended otherwise than finished, or faults were found',
  usage: 'bad settings or usage',
  refused: 'refused by the server',
  unreachable: 'not reachable, or a failure of the server',
  pending: 'still pending when the waiting ended'
}

function examplesOf (node: CommandNode): readonly OperationExample[] {
  if (node.type === 'operation') return node.operation.examples
  return Object.values(node.children).flatMap(child => examplesOf(child).slice(0, 1))
}

function exampleLines (node: CommandNode): readonly string[] {
  return examplesOf(node).flatMap(({ line, does }) => [`  # ${does}`, `  ${PROGRAM_NAME} ${line}`])
}

function exitLines (): readonly string[] {
  return Object.entries(EXIT_CODES).map(([name, code]) => `  ${code}  ${EXIT_MEANINGS[name as ExitName]}`)
}

/**
 * Renders the help on a command or a group of commands.
 *
 * @param colours - whether it may contain terminal escape sequences
 */
export async function renderHelp (node: CommandNode, path: readonly string[], version: string, colours: boolean): Promise<string> {
  const usage = await renderUsage(toCommand(node, path, version))
  const text = [
    usage.trimEnd(),
    '',
    'EXAMPLES',
    '',
    ...exampleLines(node),
    '',
    'EXIT CODES',
    '',
    ...exitLines(),
    '',
    'Every flag can be set by the environment variable in its brackets; the flag takes precedence.',
    ''
  ].join('\n')
  return colours ? text : stripVTControlCharacters(text).replace(/ +$/gm, '')
}
