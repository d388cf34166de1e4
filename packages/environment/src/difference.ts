/**
 * The changes from one document to another, by the document's own paths. Items with
 * a name are matched by it, guarantees by their shape, so that an item inserted at
 * the front does not mark all later ones as changed.
 */
import { describeShape, type Shape } from '@cornelgauge/model'
import type { EnvironmentDocument } from './document.js'

/** How a member changed. `reordered` is reported only for lists whose order is significant. */
export type ChangeType = 'added' | 'removed' | 'changed' | 'reordered'

/** One change. `before` is absent if the member was added, `after` if it was removed. */
export interface DocumentChange {
  readonly type: ChangeType
  /** Path of the changed member, such as `workspaces.ustredi.weight`. */
  readonly path: string
  readonly before?: unknown
  readonly after?: unknown
}

type Members = Readonly<Record<string, unknown>>

/** Lists whose order is significant: kinds are served in that order, and adjacent racks are neighbours. */
const ORDERED_LISTS: ReadonlySet<string> = new Set(['kinds', 'racks'])

function isMembers (value: unknown): value is Members {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function isItemList (value: unknown): value is readonly Members[] {
  return Array.isArray(value) && value.every(isMembers)
}

function sameValue (before: unknown, after: unknown): boolean {
  return JSON.stringify(before) === JSON.stringify(after)
}

/** The label by which an item is matched. */
function labelOf (item: Members): string {
  return typeof item.name === 'string' ? item.name : `(${describeShape(item.shape as Shape)})`
}

/** Maps labels to items. The object has no prototype, so that a label such as `constructor` is treated like any other. */
function byLabel (items: readonly Members[]): Members {
  return Object.assign(Object.create(null), Object.fromEntries(items.map(item => [labelOf(item), item]))) as Members
}

function orderChange (path: string, before: readonly Members[], after: readonly Members[]): readonly DocumentChange[] {
  if (!ORDERED_LISTS.has(path.split('.').at(-1) ?? '')) return []
  const labelsBefore = before.map(labelOf)
  const labelsAfter = after.map(labelOf)
  const commonBefore = labelsBefore.filter(label => labelsAfter.includes(label))
  const commonAfter = labelsAfter.filter(label => labelsBefore.includes(label))
  if (sameValue(commonBefore, commonAfter)) return []
  return [{ type: 'reordered', path, before: labelsBefore, after: labelsAfter }]
}

function compareLists (path: string, before: readonly Members[], after: readonly Members[]): readonly DocumentChange[] {
  return [...orderChange(path, before, after), ...compareMembers(path, byLabel(before), byLabel(after))]
}

function compareMembers (path: string, before: Members, after: Members): readonly DocumentChange[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])]
  return names.flatMap(name => compareValues(path === '' ? name : `${path}.${name}`, before[name], after[name]))
}

function compareValues (path: string, before: unknown, after: unknown): readonly DocumentChange[] {
  if (before === undefined) return [{ type: 'added', path, after }]
  if (after === undefined) return [{ type: 'removed', path, before }]
  if (isItemList(before) && isItemList(after)) return compareLists(path, before, after)
  if (isMembers(before) && isMembers(after)) return compareMembers(path, before, after)
  return sameValue(before, after) ? [] : [{ type: 'changed', path, before, after }]
}

/** Sorts the cells of each workspace, since their order is not significant. */
function withSortedCells (document: EnvironmentDocument): EnvironmentDocument {
  const workspaces = document.workspaces.map(workspace => ({ ...workspace, cells: workspace.cells.toSorted() }))
  return { ...document, workspaces }
}

/**
 * Lists the changes from one document to another; both have their defaults filled in.
 *
 * @example
 * compareDocuments(inForce, proposed)
 * // [{ type: 'changed', path: 'kinds.term-rota.minimumShare', before: 0.3, after: 0.4 }]
 */
export function compareDocuments (before: EnvironmentDocument, after: EnvironmentDocument): readonly DocumentChange[] {
  return compareValues('', withSortedCells(before), withSortedCells(after))
}

const CHANGE_LINES: Readonly<Record<ChangeType, (change: DocumentChange) => string>> = {
  added: ({ path, after }) => `+ ${path}: ${JSON.stringify(after)}`,
  removed: ({ path, before }) => `- ${path}: ${JSON.stringify(before)}`,
  changed: ({ path, before, after }) => `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`,
  reordered: ({ path, before, after }) => `~ ${path}, order: ${(before as string[]).join(', ')} -> ${(after as string[]).join(', ')}`
}

/**
 * One line of text for each change.
 *
 * @example
 * renderDifference(compareDocuments(inForce, proposed)) // ['~ kinds.term-rota.minimumShare: 0.3 -> 0.4']
 */
export function renderDifference (changes: readonly DocumentChange[]): readonly string[] {
  return changes.map(change => CHANGE_LINES[change.type](change))
}
