/**
 * Faults of an environment document: where each stands, the rule that it breaks,
 * and a sentence for the operator.
 */
import { CornelgaugeError } from '@cornelgauge/model'

/** The members and positions that lead to a value, outermost first. */
export type DocumentPath = readonly (string | number)[]

/** One fault of a document. */
export interface DocumentFault {
  /** Such as `workspaces[2].guarantees[0].shape.adjacency`; empty for the whole document. */
  readonly path: string
  /** The rule that is broken, a fixed kebab-case word for programs. */
  readonly rule: string
  /** A sentence for people. */
  readonly detail: string
  /** Line in the text, from 1, where it is known. */
  readonly line?: number
  /** Column in the line, from 1, where it is known. */
  readonly column?: number
}

/**
 * Writes a path as operators read it.
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
 * The failure `invalid-document` that carries every fault in its member `faults`.
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
 * One line for a fault, for terminals and logs.
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
