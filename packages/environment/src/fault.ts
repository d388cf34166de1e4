/**
 * Faults of an environment document: the position of each, the rule that it violates,
 * and a message for the operator.
 */
import { CornelgaugeError } from '@cornelgauge/model'

/** Path to a value: member names and list positions, outermost first. */
export type DocumentPath = readonly (string | number)[]

/** One fault of a document. */
export interface DocumentFault {
  /** Path of the faulty value, such as `workspaces[2].guarantees[0].shape.adjacency`; empty for the document itself. */
  readonly path: string
  /** The violated rule, as a fixed kebab-case identifier. */
  readonly rule: string
  /** Human-readable message. */
  readonly detail: string
  /** Line in the text, from 1, if known. */
  readonly line?: number
  /** Column in the line, from 1, if known. */
  readonly column?: number
}

/**
 * Formats a path for operators.
 *
 * @example
 * formatPath(['workspaces', 2, 'weight']) // 'workspaces[2].weight'
 */
export function formatPath (path: DocumentPath): string {
  return path.reduce<string>((text, step) => {
    if (typeof step === 'number') return `${text}[${step}]`
    return text === '' ? step : `${text}.${step}`
  }, '')
}

/**
 * Creates an `invalid-document` error with all faults in its member `faults`.
 *
 * @example
 * throw invalidDocument([{ path: 'cells', rule: 'required', detail: 'This member is required.' }])
 */
export function invalidDocument (faults: readonly DocumentFault[]): CornelgaugeError {
  const noun = faults.length === 1 ? 'fault' : 'faults'
  return new CornelgaugeError('invalid-document', {
    detail: `The environment document has ${faults.length} ${noun}`,
    members: { faults }
  })
}

/**
 * Formats a fault as one line, for terminals and logs.
 *
 * @example
 * formatFault({ path: 'cells', rule: 'required', detail: 'This member is required.' })
 * // 'cells: This member is required. [required]'
 */
export function formatFault (fault: DocumentFault): string {
  const place = fault.line === undefined ? '' : `line ${fault.line}, column ${fault.column}: `
  const path = fault.path === '' ? '' : `${fault.path}: `
  return `${place}${path}${fault.detail} [${fault.rule}]`
}
