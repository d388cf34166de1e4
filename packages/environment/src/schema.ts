/**
 * The schema of the environment document's text. It is strict: an unknown member
 * is a fault, so that a misspelt one isn't ignored silently.
 */
import {
  cellName, failureDomainName, kindName, rackName, regionName, workspaceName
} from '@cornelgauge/model'
import { z } from 'zod'

const NAME_PATTERN = /^[a-z][a-z0-9]*(-[a-z0-9]+)*$/
const MAXIMUM_NAME_LENGTH = 63
const MAXIMUM_CELLS = 200
const MAXIMUM_RACKS_PER_CELL = 200
const MAXIMUM_SERVERS_PER_RACK = 1000
const MAXIMUM_KINDS = 200
const MAXIMUM_WORKSPACES = 5000
const MAXIMUM_GUARANTEES_PER_WORKSPACE = 50
const MAXIMUM_GUARANTEE_COUNT = 10_000
const MAXIMUM_MILLISECONDS = 30 * 24 * 60 * 60 * 1000

const DEFAULT_RECLAIM_MILLISECONDS = 5_000
const DEFAULT_RETENTION_MILLISECONDS = 3_600_000
const DEFAULT_TASK_LEASE_MILLISECONDS = 30_000
const DEFAULT_MAXIMUM_PENDING = 10_000
const DEFAULT_MAXIMUM_ATTEMPTS = 3
const SINGLE_ATTEMPT = 1

const name = z.string().max(MAXIMUM_NAME_LENGTH).regex(NAME_PATTERN)
const count = z.int().min(1)
const milliseconds = z.int().min(1).max(MAXIMUM_MILLISECONDS)

const shape = z.strictObject({
  slots: count.default(1),
  accelerators: z.int().min(0).default(0),
  adjacency: z.enum(['server', 'rack', 'neighbouring-racks']).default('server')
})

const rack = z.strictObject({
  name: name.transform(rackName),
  servers: count.max(MAXIMUM_SERVERS_PER_RACK),
  slotsPerServer: count,
  acceleratorsPerServer: z.int().min(0).default(0)
})

const cell = z.strictObject({
  name: name.transform(cellName),
  region: name.transform(regionName),
  failureDomain: name.transform(failureDomainName),
  racks: z.array(rack).min(1).max(MAXIMUM_RACKS_PER_CELL)
})

const kind = z.strictObject({
  name: name.transform(kindName),
  idempotent: z.boolean(),
  urgent: z.boolean().default(false),
  checkpointable: z.boolean().default(false),
  minimumShare: z.number().min(0).max(1).default(0),
  shape: shape.prefault({}),
  declaredMilliseconds: milliseconds,
  maximumAttempts: count.optional()
}).transform(declared => ({
  ...declared,
  maximumAttempts: declared.maximumAttempts ?? (declared.idempotent ? DEFAULT_MAXIMUM_ATTEMPTS : SINGLE_ATTEMPT)
}))

const guarantee = z.strictObject({
  shape: shape.prefault({}),
  count: count.max(MAXIMUM_GUARANTEE_COUNT).default(1)
})

const workspace = z.strictObject({
  name: name.transform(workspaceName),
  weight: z.number().gt(0).default(1),
  cells: z.array(name.transform(cellName)).min(1).max(MAXIMUM_CELLS).optional(),
  guarantees: z.array(guarantee).max(MAXIMUM_GUARANTEES_PER_WORKSPACE).default([]),
  maximumPending: count.default(DEFAULT_MAXIMUM_PENDING)
})

const times = z.strictObject({
  reclaimMilliseconds: milliseconds.default(DEFAULT_RECLAIM_MILLISECONDS),
  retentionMilliseconds: milliseconds.default(DEFAULT_RETENTION_MILLISECONDS),
  taskLeaseMilliseconds: milliseconds.default(DEFAULT_TASK_LEASE_MILLISECONDS)
})

/** The schema of each top-level member, so that valid members can be checked even if others are faulty. */
export const SECTION_SCHEMAS = {
  name,
  generation: count,
  cells: z.array(cell).min(1).max(MAXIMUM_CELLS),
  kinds: z.array(kind).min(1).max(MAXIMUM_KINDS),
  workspaces: z.array(workspace).min(1).max(MAXIMUM_WORKSPACES),
  times: times.prefault({})
}

/** Name of a top-level member of the document. */
export type SectionName = keyof typeof SECTION_SCHEMAS

/** The schema of the complete document. */
export const documentSchema = z.strictObject(SECTION_SCHEMAS)

/** A document as written: `cells` isn't filled in yet for workspaces that don't list any. */
export type WrittenDocument = z.output<typeof documentSchema>

/** A workspace as written; without `cells` it may use all cells. */
export type WrittenWorkspace = z.output<typeof workspace>
