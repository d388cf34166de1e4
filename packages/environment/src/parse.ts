/**
 * Parses the text of an environment document (YAML, or JSON as a subset of YAML)
 * into the typed document, or reports all its faults at once.
 */
import { CornelgaugeError, digestOf, type Digest } from '@cornelgauge/model'
import { LineCounter, parseDocument as parseYaml, type Document, type Node, type YAMLError } from 'yaml'
import { checkDocument } from './check.js'
import type { EnvironmentDocument } from './document.js'
import { invalidDocument, type DocumentFault } from './fault.js'
import { textFaults } from './limits.js'
import { documentSchema, SECTION_SCHEMAS, type SectionName, type WrittenDocument } from './schema.js'
import { asDocumentFault, faultsOfIssue, type LocatedFault } from './schema-fault.js'

const SECTION_NAMES = Object.keys(SECTION_SCHEMAS) as readonly SectionName[]

/** A parsed document with its text. */
export interface ParsedDocument {
  readonly document: EnvironmentDocument
  /** SHA-256 of the text's exact bytes. */
  readonly digest: Digest
  readonly text: string
}

interface SourceText {
  readonly tree: Document
  readonly lines: LineCounter
  readonly value: unknown
}

function syntaxFault (problem: YAMLError, lines: LineCounter): DocumentFault {
  const { line, col } = lines.linePos(problem.pos[0])
  const rule = problem.code === 'DUPLICATE_KEY' ? 'duplicate-member' : 'syntax'
  return { path: '', rule, detail: `${problem.message}.`, line, column: col }
}

/** Position in the text of the value at the path, or of its nearest enclosing value that exists. */
function positionOf (source: SourceText, path: LocatedFault['path']): { readonly line?: number, readonly column?: number } {
  for (let length = path.length; length > 0; length -= 1) {
    const node = source.tree.getIn(path.slice(0, length), true) as Node | undefined
    if (node?.range != null) {
      const { line, col } = source.lines.linePos(node.range[0])
      return { line, column: col }
    }
  }
  return {}
}

function readTree (text: string): SourceText {
  const lines = new LineCounter()
  const tree = parseYaml(text, { lineCounter: lines, prettyErrors: false, uniqueKeys: true, logLevel: 'error' })
  const faults = [...tree.errors, ...tree.warnings].map(problem => syntaxFault(problem, lines))
  if (faults.length > 0) throw invalidDocument(faults)
  return { tree, lines, value: tree.toJS() }
}

/** Parses the text; errors that the YAML library throws for aliases are reported as faults too. */
function readSource (text: string): SourceText {
  try {
    return readTree(text)
  } catch (thrown) {
    if (thrown instanceof CornelgaugeError) throw thrown
    const detail = thrown instanceof Error ? thrown.message : String(thrown)
    throw invalidDocument([{ path: '', rule: 'syntax', detail: `${detail}.` }])
  }
}

/** The top-level members that are valid by their schema. */
function parseValidSections (value: unknown): Partial<WrittenDocument> {
  if (typeof value !== 'object' || value === null) return {}
  const members = value as Readonly<Record<string, unknown>>
  const entries = SECTION_NAMES.flatMap(name => {
    const result = SECTION_SCHEMAS[name].safeParse(members[name])
    return result.success ? [[name, result.data]] : []
  })
  return Object.fromEntries(entries) as Partial<WrittenDocument>
}

function fillInCells (written: WrittenDocument): EnvironmentDocument {
  const allCells = written.cells.map(cell => cell.name)
  const workspaces = written.workspaces.map(workspace => ({ ...workspace, cells: workspace.cells ?? allCells }))
  return { ...written, workspaces }
}

function faultsOf (value: unknown): readonly LocatedFault[] {
  const result = documentSchema.safeParse(value, { reportInput: true })
  const schemaFaults = result.error?.issues.flatMap(faultsOfIssue) ?? []
  const sections = parseValidSections(value)
  const validSections = new Set(Object.keys(sections) as SectionName[])
  return [...schemaFaults, ...checkDocument(sections as WrittenDocument, validSections)]
}

/**
 * Parses a document, fills in its defaults and checks it.
 *
 * @throws CornelgaugeError `invalid-document` with each fault, its path, its rule
 * and its line in the member `faults`
 * @example
 * const { document, digest } = parseDocument(await readFile('hlidka.yaml', 'utf8'))
 */
export function parseDocument (text: string): ParsedDocument {
  const limitFaults = textFaults(text)
  if (limitFaults.length > 0) throw invalidDocument(limitFaults)
  const source = readSource(text)
  const faults = faultsOf(source.value)
  if (faults.length > 0) {
    throw invalidDocument(faults.map(fault => ({ ...asDocumentFault(fault), ...positionOf(source, fault.path) })))
  }
  return { document: fillInCells(documentSchema.parse(source.value)), digest: digestOf(text), text }
}
