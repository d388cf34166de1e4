/** Converts issues of the schema library to document faults. */
import { z } from 'zod'
import { formatPath, type DocumentFault, type DocumentPath } from './fault.js'

/** A fault with an unformatted path, from which its line can be looked up. */
export interface LocatedFault {
  readonly path: DocumentPath
  readonly rule: string
  readonly detail: string
}

type Issue = z.core.$ZodIssue
type IssueOf<Code extends Issue['code']> = Extract<Issue, { readonly code: Code }>

const BOUND_WORDS: Readonly<Record<string, (bound: string) => string>> = {
  string: bound => `Must have ${bound} characters.`,
  array: bound => `Must hold ${bound}.`
}

function boundDetail (origin: string, bound: string): string {
  return BOUND_WORDS[origin]?.(bound) ?? `Must be ${bound}.`
}

function located (issue: Issue, rule: string, detail: string): readonly LocatedFault[] {
  return [{ path: issue.path as DocumentPath, rule, detail }]
}

function typeFault (issue: IssueOf<'invalid_type'>): readonly LocatedFault[] {
  const expected = TYPE_WORDS[issue.expected] ?? issue.expected
  if (issue.input === undefined) return located(issue, 'required', `This member is required: ${expected}.`)
  return located(issue, 'type', `Must be ${expected}.`)
}

function unknownMembers (issue: IssueOf<'unrecognized_keys'>): readonly LocatedFault[] {
  return issue.keys.map(key => ({
    path: [...issue.path as DocumentPath, key],
    rule: 'unknown-member',
    detail: 'The schema has no such member here.'
  }))
}

function tooSmall (issue: IssueOf<'too_small'>): readonly LocatedFault[] {
  const bound = issue.inclusive === false ? 'greater than' : 'at least'
  return located(issue, 'range', boundDetail(issue.origin, `${bound} ${issue.minimum}`))
}

function tooBig (issue: IssueOf<'too_big'>): readonly LocatedFault[] {
  return located(issue, 'range', boundDetail(issue.origin, `at most ${issue.maximum}`))
}

function badFormat (issue: Issue): readonly LocatedFault[] {
  return located(issue, 'name', 'Must be lower-case words joined by hyphens, such as shift-swap.')
}

function badChoice (issue: IssueOf<'invalid_value'>): readonly LocatedFault[] {
  return located(issue, 'choice', `Must be one of: ${issue.values.join(', ')}.`)
}

const TYPE_WORDS: Readonly<Record<string, string>> = {
  string: 'text',
  number: 'a number',
  int: 'a whole number',
  boolean: 'true or false',
  array: 'a list',
  object: 'a group of members'
}

const ISSUE_HANDLERS: { readonly [Code in Issue['code']]?: (issue: IssueOf<Code>) => readonly LocatedFault[] } = {
  invalid_type: typeFault,
  unrecognized_keys: unknownMembers,
  too_small: tooSmall,
  too_big: tooBig,
  invalid_format: badFormat,
  invalid_value: badChoice
}

/** Converts one issue of the schema library to faults. */
export function faultsOfIssue (issue: Issue): readonly LocatedFault[] {
  const handler = ISSUE_HANDLERS[issue.code] as ((issue: Issue) => readonly LocatedFault[]) | undefined
  return handler?.(issue) ?? located(issue, 'schema', issue.message)
}

/** Formats the path of a located fault. */
export function asDocumentFault (fault: LocatedFault): DocumentFault {
  return { ...fault, path: formatPath(fault.path) }
}
