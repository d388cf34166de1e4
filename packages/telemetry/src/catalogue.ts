/**
 * The event catalogue: each event with its number, its level, its message and the
 * action that an operator should take. `docs/EVENTS.md` is generated from it.
 */
import { ANSWER_EVENTS } from './catalogue-answers.js'
import { CELL_EVENTS } from './catalogue-cells.js'
import { DOCUMENT_EVENTS } from './catalogue-documents.js'
import type { CatalogueEntry, CatalogueRows } from './catalogue-entry.js'
import { JOB_EVENTS } from './catalogue-jobs.js'
import { JOURNAL_EVENTS } from './catalogue-journal.js'
import { PLATFORM_EVENTS } from './catalogue-platform.js'
import { POLICY_EVENTS } from './catalogue-policy.js'
import { PROCESS_EVENTS } from './catalogue-process.js'
import { REQUEST_EVENTS } from './catalogue-requests.js'
import { SERVER_EVENTS } from './catalogue-servers.js'
import { WIRE_EVENTS } from './catalogue-wire.js'

/** The entries of one component; their numbers begin with the group's `hundred`. */
export interface CatalogueGroup {
  readonly hundred: number
  readonly title: string
  readonly rows: CatalogueRows
}

/** The groups in the order of their numbers. */
export const CATALOGUE_GROUPS: readonly CatalogueGroup[] = [
  { hundred: 1, title: 'Process', rows: PROCESS_EVENTS },
  { hundred: 2, title: 'Cells and ownership', rows: CELL_EVENTS },
  { hundred: 3, title: 'Journal and snapshots', rows: JOURNAL_EVENTS },
  { hundred: 4, title: 'Requests', rows: REQUEST_EVENTS },
  { hundred: 5, title: 'Backend servers and gangs', rows: SERVER_EVENTS },
  { hundred: 6, title: 'Environment documents', rows: DOCUMENT_EVENTS },
  { hundred: 7, title: 'Inner protocol', rows: WIRE_EVENTS },
  { hundred: 8, title: 'Platform faults', rows: PLATFORM_EVENTS },
  { hundred: 9, title: 'Policy', rows: POLICY_EVENTS },
  { hundred: 10, title: 'Jobs and their planner', rows: JOB_EVENTS },
  { hundred: 13, title: 'Answers to callers', rows: ANSWER_EVENTS }
]

/** Every event by its name. */
export const EVENT_CATALOGUE = {
  ...PROCESS_EVENTS,
  ...CELL_EVENTS,
  ...JOURNAL_EVENTS,
  ...REQUEST_EVENTS,
  ...SERVER_EVENTS,
  ...DOCUMENT_EVENTS,
  ...WIRE_EVENTS,
  ...PLATFORM_EVENTS,
  ...POLICY_EVENTS,
  ...JOB_EVENTS,
  ...ANSWER_EVENTS
} as const satisfies CatalogueRows

/** The name of an event. */
export type EventName = keyof typeof EVENT_CATALOGUE

/** The details that an event may carry: the fields of its catalogue entry. */
export type EventDetails<Name extends EventName> = { readonly [Field in keyof (typeof EVENT_CATALOGUE)[Name]['fields']]?: unknown }

/**
 * Returns the catalogue entry of an event.
 *
 * @example
 * entryOf('request-accepted').number // 401
 */
export function entryOf (name: EventName): CatalogueEntry {
  return EVENT_CATALOGUE[name]
}

/**
 * Whether the catalogue has an event of this name.
 *
 * @example
 * isEventName('request-accepted') // true
 */
export function isEventName (name: string): name is EventName {
  return Object.hasOwn(EVENT_CATALOGUE, name)
}
