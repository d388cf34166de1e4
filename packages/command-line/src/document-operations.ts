/** The commands `document validate|difference|apply|promote|show`. */
import {
  compareDocuments, formatFault, parseDocument, renderDifference, type DocumentChange, type DocumentFault, type EnvironmentName,
  type ParsedDocument
} from '@cornelgauge/environment'
import { CornelgaugeError, toProblem } from '@cornelgauge/model'
import { z } from 'zod'
import { ServiceClient, type AcceptedDocument, type DocumentInForce } from './client.js'
import { readTextFile } from './files.js'
import { defineOperation, joinLines, type Outcome, type Tools } from './operation.js'
import { ENVIRONMENT_SETTING, matchingText, optionalText, requiredText, SERVICE_SETTINGS } from './setting-types.js'
import type { SettingDefinition } from './settings.js'
import { escapeControls, renderLabelled, type Style } from './terminal.js'
import { isUncertain, withAdvice } from './uncertain.js'

const DIGEST_PATTERN = /^[0-9a-f]{64}$/
const OPERATOR_PATTERN = /^[\x21-\x7e]([\x20-\x7e]{0,98}[\x21-\x7e])?$/

const FILE_SETTING = {
  description: 'File with the document, YAML or JSON',
  place: 'positional',
  schema: requiredText
} as const satisfies SettingDefinition<string>

const OPERATOR_SETTING = {
  description: 'Name of the operator, recorded with the change',
  place: 'flag',
  hint: 'name',
  schema: matchingText(OPERATOR_PATTERN, 'Must be printable ASCII characters.').or(z.undefined()) as z.ZodType<string | undefined, string | undefined>
} as const satisfies SettingDefinition<string | undefined>

/** Parses a document; the outcome is its faults if it has any, otherwise that of `proceed`. */
async function withValidDocument (text: string, proceed: (parsed: ParsedDocument) => Promise<Outcome>): Promise<Outcome> {
  const parsed = parseOrFailure(text)
  return parsed instanceof CornelgaugeError ? faultsOutcome(parsed) : await proceed(parsed)
}

function parseOrFailure (text: string): ParsedDocument | CornelgaugeError {
  try {
    return parseDocument(text)
  } catch (failure) {
    if (failure instanceof CornelgaugeError) return failure
    throw failure
  }
}

function faultsOutcome (failure: CornelgaugeError): Outcome {
  const faults = failure.members.faults as readonly DocumentFault[]
  return {
    exit: 'otherwise',
    value: { valid: false, ...toProblem(failure) },
    render: style => joinLines([style.emphasize('bad', failure.message), ...faults.map(fault => escapeControls(formatFault(fault)))])
  }
}

function summaryOf ({ document, digest }: ParsedDocument): object {
  return {
    valid: true,
    name: document.name,
    digest,
    cells: document.cells.map(cell => cell.name),
    kinds: document.kinds.map(kind => kind.name),
    workspaces: document.workspaces.map(workspace => workspace.name)
  }
}

function renderSummary ({ document, digest }: ParsedDocument, style: Style): string {
  const names = (items: readonly { readonly name: string }[]): string => items.map(item => item.name).join(', ')
  return joinLines([
    style.emphasize('good', `The document ${document.name} is valid`),
    ...renderLabelled([
      ['digest', digest],
      ['cells', names(document.cells)],
      ['kinds, in order', names(document.kinds)],
      ['workspaces', names(document.workspaces)]
    ], style)
  ])
}

const SIGN_EMPHASIS = { '+': 'good', '-': 'bad', '~': 'waiting' } as const

function renderChanges (changes: readonly DocumentChange[], style: Style): string {
  if (changes.length === 0) return 'The documents do not differ in content\n'
  const lines = renderDifference(changes)
  return joinLines(lines.map(line => style.emphasize(SIGN_EMPHASIS[line.charAt(0) as '+' | '-' | '~'], line)))
}

/** The changes from the document in force; empty if there is none, or none that this release can parse. */
function changesFrom (inForce: DocumentInForce | undefined, proposed: ParsedDocument): readonly DocumentChange[] {
  const before = inForce === undefined ? undefined : parseOrFailure(inForce.text)
  return before === undefined || before instanceof CornelgaugeError ? [] : compareDocuments(before.document, proposed.document)
}

function renderAccepted (accepted: AcceptedDocument, status: string, style: Style): string {
  return `${style.emphasize('good', `Version ${accepted.version} is ${status} in ${accepted.environment}`)}\ndigest ${accepted.digest}\n`
}

function acceptedOutcome (accepted: AcceptedDocument, changes: readonly DocumentChange[], unchanged: boolean): Outcome {
  const { environment, version, digest } = accepted
  return {
    exit: 'done',
    value: { environment, version, digest, unchanged, changes },
    render: style => (changes.length === 0 ? '' : renderChanges(changes, style)) +
      renderAccepted(accepted, unchanged ? 'already in force' : 'in force', style)
  }
}

/** A change of the document in force, identified by the digest of the new document. */
interface Change {
  readonly client: ServiceClient
  readonly environment: EnvironmentName
  readonly digest: string
}

/** Makes a change. If the response is lost, reads the document in force to find out whether the change took effect. */
async function settleChange ({ client, environment, digest }: Change, change: () => Promise<AcceptedDocument>): Promise<AcceptedDocument> {
  try {
    return await change()
  } catch (failure) {
    if (!isUncertain(failure)) throw failure
    const inForce = await client.document(environment).catch(() => undefined)
    if (inForce?.digest === digest) return inForce
    throw withAdvice(failure, `Whether the document was accepted is not known. Check with: cornelgauge document show --environment ${environment}`)
  }
}

const validate = defineOperation({
  description: 'Check a document offline and list every fault',
  settings: { file: FILE_SETTING },
  examples: [
    { line: 'document validate examples/hlidka.yaml', does: 'check a file; exit code 1 where it has faults' },
    { line: 'document validate examples/hlidka.yaml --json', does: 'the same for programs' }
  ],
  async run ({ file }, tools) {
    return await withValidDocument(await readTextFile(file, tools), async parsed => ({
      exit: 'done',
      value: summaryOf(parsed),
      render: style => renderSummary(parsed, style)
    }))
  }
})

/** Settings of the command `document difference`. */
interface ComparisonSettings {
  readonly file: string
  readonly other: string | undefined
  readonly environment: EnvironmentName
  readonly address: string
  readonly token: string
}

/** The text of the earlier document of a comparison: the first of two files, or the document in force. */
async function earlierText (settings: ComparisonSettings, tools: Tools): Promise<string> {
  if (settings.other !== undefined) return await readTextFile(settings.file, tools)
  return (await documentInForce(settings, tools)).text
}

async function documentInForce ({ environment, address, token }: Omit<ComparisonSettings, 'file' | 'other'>, tools: Tools): Promise<DocumentInForce> {
  const inForce = await new ServiceClient(address, token, tools.http).document(environment)
  if (inForce === undefined) throw new CornelgaugeError('not-found', { detail: `No document is in force in ${environment}` })
  return inForce
}

const difference = defineOperation({
  description: 'Compare a file with the document in force, or two files',
  settings: {
    file: FILE_SETTING,
    other: { description: 'A later file to compare the first one with, offline', place: 'positional', schema: optionalText },
    environment: ENVIRONMENT_SETTING,
    ...SERVICE_SETTINGS
  },
  unusedSettings: given => given.other === undefined ? [] : ['address', 'token'],
  examples: [
    { line: 'document difference examples/hlidka.yaml', does: 'what would change in trial' },
    { line: 'document difference examples/hlidka.yaml --environment production', does: 'what would change in production' },
    { line: 'document difference old.yaml new.yaml', does: 'compare two files, offline' }
  ],
  async run (settings, tools) {
    const earlier = await earlierText(settings, tools)
    const later = await readTextFile(settings.other ?? settings.file, tools)
    return await withValidDocument(earlier, async before => await withValidDocument(later, async after => {
      const changes = compareDocuments(before.document, after.document)
      const sameBytes = before.digest === after.digest
      return { exit: 'done', value: { sameBytes, changes }, render: style => renderChanges(changes, style) }
    }))
  }
})

const apply = defineOperation({
  description: 'Bring a document into force in trial',
  settings: { file: FILE_SETTING, operator: OPERATOR_SETTING, ...SERVICE_SETTINGS },
  examples: [
    { line: 'document apply examples/hlidka.yaml', does: 'check it, show the difference and apply it' }
  ],
  async run ({ file, operator, address, token }, tools) {
    return await withValidDocument(await readTextFile(file, tools), async parsed => {
      const client = new ServiceClient(address, token, tools.http)
      const inForce = await client.document('trial')
      const changes = changesFrom(inForce, parsed)
      if (inForce?.digest === parsed.digest) return acceptedOutcome(inForce, changes, true)
      const change = { client, environment: 'trial', digest: parsed.digest } as const
      return acceptedOutcome(await settleChange(change, async () => await client.applyDocument(parsed.text, inForce, operator)), changes, false)
    })
  }
})

const promote = defineOperation({
  description: 'Bring the document in force in trial into production, by its digest',
  settings: {
    digest: {
      description: 'Digest of the document in force in trial, as apply and show print it',
      place: 'positional',
      schema: matchingText(DIGEST_PATTERN, 'Must be 64 hexadecimal digits in lower case.')
    },
    operator: OPERATOR_SETTING,
    ...SERVICE_SETTINGS
  },
  examples: [
    { line: 'document promote "$(cornelgauge document show --json | jq -r .digest)"', does: 'promote what is in force in trial' }
  ],
  async run ({ digest, operator, address, token }, tools) {
    const client = new ServiceClient(address, token, tools.http)
    const inForce = await client.document('production')
    if (inForce?.digest === digest) return acceptedOutcome(inForce, [], true)
    const change = { client, environment: 'production', digest } as const
    return acceptedOutcome(await settleChange(change, async () => await client.promoteDocument(digest, inForce, operator)), [], false)
  }
})

const show = defineOperation({
  description: 'Print the document in force, byte for byte',
  settings: { environment: ENVIRONMENT_SETTING, ...SERVICE_SETTINGS },
  examples: [
    { line: 'document show > in-force.yaml', does: 'the document in force in trial' },
    { line: 'document show --environment production --json', does: 'with its version and digest' }
  ],
  async run (settings, tools) {
    const { environment, version, digest, text } = await documentInForce(settings, tools)
    if (tools.diagnostics.isTerminal) tools.diagnostics.write(`${environment}, version ${version}, digest ${digest}\n`)
    return { exit: 'done', value: { environment, version, digest, text }, render: () => text }
  }
})

/** The operations of the command group `document`. */
export const DOCUMENT_OPERATIONS = { validate, difference, apply, promote, show }
