/** Runs a command line and returns its exit code. */
import { formatFault, type DocumentFault } from '@cornelgauge/environment'
import { asFailure, toProblem, type CornelgaugeError } from '@cornelgauge/model'
import { COMMAND_TREE, parseWords, PROGRAM_NAME, settingsOf, type CommandNode } from './commands.js'
import { EXIT_CODES, exitOfFailure } from './exit-code.js'
import { renderHelp } from './help.js'
import { joinLines, type Operation, type Outcome, type Tools } from './operation.js'
import { describeState } from './request-view.js'
import { invalidSettings, readSettings, type SettingFault } from './settings.js'
import { escapeControls, styleFor } from './terminal.js'

const HELP_WORDS: ReadonlySet<string> = new Set(['--help', '-h'])
const VERSION_WORD = '--version'
const JSON_WORD = /^--json(=true|=1)?$/
const JSON_INDENT = 2

/** The command or group that a command line names. */
interface FoundCommand {
  readonly node: CommandNode
  readonly path: readonly string[]
  /** Words that follow the command's name. */
  readonly words: readonly string[]
}

/** Descends the command tree for as long as the next word names a child. */
function findCommand (words: readonly string[], node: CommandNode = COMMAND_TREE, path: readonly string[] = []): FoundCommand {
  const [name, ...rest] = words
  if (node.type === 'operation' || name === undefined || !Object.hasOwn(node.children, name)) return { node, path, words }
  return findCommand(rest, node.children[name], [...path, name])
}

function printJson (value: unknown, tools: Tools): void {
  tools.output.write(`${JSON.stringify(value, null, JSON_INDENT)}\n`)
}

function printOutcome (outcome: Outcome, json: boolean, tools: Tools): number {
  if (json) printJson(outcome.value, tools)
  else tools.output.write(outcome.render(styleFor(tools.output, tools.variables)))
  return EXIT_CODES[outcome.exit]
}

function settingFaultLine ({ setting, variable, detail }: SettingFault): string {
  return variable === undefined ? `${setting}: ${detail}` : `${setting} [${variable}]: ${detail}`
}

/** A member of a request body that the service rejected. */
interface BodyFault {
  readonly path: string
  readonly detail: string
}

type Fault = SettingFault | DocumentFault | BodyFault

function faultLine (fault: Fault): string {
  if ('setting' in fault) return settingFaultLine(fault)
  return 'rule' in fault ? formatFault(fault) : `${fault.path}: ${fault.detail}`
}

function faultLines (failure: CornelgaugeError): readonly string[] {
  const { faults, difference, currentVersion } = failure.members
  const listedFaults = Array.isArray(faults) ? faults as readonly Fault[] : []
  const lines = listedFaults.map(faultLine)
  const version = currentVersion === undefined ? [] : [`Version in force: ${String(currentVersion)}`]
  const changes = Array.isArray(difference) ? difference.map(String) : []
  return [...lines, ...version, ...changes]
}

function printFailure (failure: CornelgaugeError, json: boolean, tools: Tools): number {
  if (json) printJson(toProblem(failure), tools)
  else {
    const style = styleFor(tools.diagnostics, tools.variables)
    const state = failure.state === undefined ? [] : [describeState(failure.state)]
    const headline = style.emphasize('bad', escapeControls(`${failure.message} [${failure.code}]`))
    tools.diagnostics.write(joinLines([headline, ...state, ...faultLines(failure).map(escapeControls)]))
  }
  return EXIT_CODES[exitOfFailure(failure)]
}

async function runOperation (operation: Operation, words: readonly string[], tools: Tools): Promise<Outcome & { readonly json: boolean }> {
  const { values, faults } = parseWords(words, operation)
  const unused = new Set(operation.unusedSettings?.(values))
  const needed = Object.entries(settingsOf(operation)).filter(([name]) => !unused.has(name))
  const settings = readSettings(Object.fromEntries(needed), { values, variables: tools.variables }, faults)
  const outcome = await operation.run(settings, tools)
  return { ...outcome, json: settings.json === true }
}

function unknownCommand ({ node, path, words }: FoundCommand): CornelgaugeError {
  const known = node.type === 'group' ? Object.keys(node.children).join(', ') : ''
  const [word] = words
  if (word === undefined) return invalidSettings([{ setting: [PROGRAM_NAME, ...path].join(' '), detail: `One of these must follow: ${known}.` }])
  if (word.startsWith('-')) return invalidSettings([{ setting: nameOfFlag(word), detail: `Flags must follow the command, which is one of: ${known}.` }])
  return invalidSettings([{ setting: word, detail: `There is no such command; these are known: ${known}.` }])
}

/** The name of a flag without its value, which may be a secret. */
function nameOfFlag (word: string): string {
  return word.split('=', 1)[0] ?? word
}

/** Whether JSON output is requested; reads the raw words, because this must be known even if the settings are invalid. */
function wantsJson (words: readonly string[], tools: Tools): boolean {
  return words.some(word => JSON_WORD.test(word)) || ['true', '1'].includes(tools.variables.CORNELGAUGE_JSON ?? '')
}

/**
 * Runs one command line.
 *
 * @param words - the words that follow the program's name
 * @returns the exit code, one of `EXIT_CODES`
 * @example
 * process.exitCode = await run(['document', 'validate', 'hlidka.yaml'], tools, '0.1.0')
 */
export async function run (words: readonly string[], tools: Tools, version: string): Promise<number> {
  const found = findCommand(words)
  if (words.some(word => HELP_WORDS.has(word))) {
    tools.output.write(await renderHelp(found.node, found.path, version, styleFor(tools.output, tools.variables).colours))
    return EXIT_CODES.done
  }
  if (words.length === 1 && words[0] === VERSION_WORD) {
    tools.output.write(`${version}\n`)
    return EXIT_CODES.done
  }
  try {
    if (found.node.type === 'group') throw unknownCommand(found)
    const { json, ...outcome } = await runOperation(found.node.operation, found.words, tools)
    return printOutcome(outcome, json, tools)
  } catch (thrown) {
    return printFailure(asFailure(thrown), wantsJson(words, tools), tools)
  }
}
