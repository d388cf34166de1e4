/** Parses and validates the body of a caller's request. */
import { shapeFitsAnywhere, type EnvironmentDocument, type KindDeclaration } from '@cornelgauge/environment'
import { asFailure, CornelgaugeError, describeShape, digestOf, kindName, requestKey, workspaceName, type Refusal, type RequestKey, type Shape, type Submission, type WorkspaceName } from '@cornelgauge/model'
import { z } from 'zod'

/** A deadline of at least this value is an absolute time since 1970; a smaller one is relative to now. */
export const ABSOLUTE_DEADLINE_MILLISECONDS = 1e12
/** Maximum time from now to a deadline. */
export const LONGEST_DEADLINE_MILLISECONDS = 90 * 24 * 60 * 60 * 1000
/** Deadline, from now, for recording the refusal of an unreadable body in the journal. */
export const UNREADABLE_DEADLINE_MILLISECONDS = 10_000
/** Maximum nesting of arrays and objects in a payload; deeper ones cannot be serialized to JSON again by every component. */
export const MAXIMUM_PAYLOAD_LEVELS = 100
const MAXIMUM_KEY_LENGTH = 128
/** Kind of a submission whose body cannot be read. */
const UNREADABLE_KIND = kindName('')
const MAXIMUM_ACCELERATORS = 1024
const NO_SHAPE: Shape = { slots: 1, accelerators: 0, adjacency: 'server' }

const bodySchema = z.strictObject({
  kind: z.string(),
  payload: z.unknown().refine(value => isWithinLevels(value, MAXIMUM_PAYLOAD_LEVELS), `has more than ${MAXIMUM_PAYLOAD_LEVELS} levels`).optional(),
  deadlineMilliseconds: z.number().int(),
  shape: z.strictObject({
    slots: z.number().int().min(1).optional(),
    accelerators: z.number().int().min(0).max(MAXIMUM_ACCELERATORS).optional(),
    adjacency: z.enum(['server', 'rack', 'neighbouring-racks']).optional()
  }).optional(),
  declaredMilliseconds: z.number().int().min(1).optional()
})

type Body = z.infer<typeof bodySchema>

/**
 * Validates an idempotency key.
 *
 * @throws CornelgaugeError `missing-key`
 */
export function checkKey (key: string | undefined): RequestKey {
  const isValid = key !== undefined && key.length <= MAXIMUM_KEY_LENGTH && /^[A-Za-z0-9][A-Za-z0-9._:-]*$/.test(key)
  if (!isValid) throw new CornelgaugeError('missing-key', { detail: 'Idempotency-Key must be 1 to 128 letters, digits, dots, colons, underscores or hyphens', state: 'not-run' })
  return requestKey(key)
}

/**
 * Checks that the document in force has a workspace of this name.
 *
 * @throws CornelgaugeError `not-found`
 */
export function checkWorkspace (document: EnvironmentDocument, name: string): WorkspaceName {
  const found = document.workspaces.find(workspace => workspace.name === name)
  if (found === undefined) throw new CornelgaugeError('not-found', { detail: `There is no workspace named ${name}`, state: 'unknown' })
  return workspaceName(name)
}

/**
 * Creates a submission from a caller's body. If the body cannot be accepted, this does
 * not throw: the reason becomes the submission's refusal, so that the owner can first
 * check whether the key was used before, and otherwise record the refusal under it.
 *
 * @param now - milliseconds since 1970
 */
export function parseSubmission (document: EnvironmentDocument, workspace: WorkspaceName, key: RequestKey, text: string, now: number): Submission {
  try {
    return submissionOf(document, workspace, key, text, now)
  } catch (thrown) {
    return unreadableSubmission(workspace, key, text, asFailure(thrown), now)
  }
}

/**
 * Creates the submission, with its refusal, for a body that cannot be read.
 *
 * @param text - the body, or a substitute for it if it was not read to its end
 * @param now - milliseconds since 1970
 */
export function unreadableSubmission (workspace: WorkspaceName, key: RequestKey, text: string, { code, message }: CornelgaugeError, now: number): Submission {
  return {
    workspace,
    key,
    kind: UNREADABLE_KIND,
    payload: null,
    bodyDigest: digestOf(text),
    shape: NO_SHAPE,
    deadline: now + UNREADABLE_DEADLINE_MILLISECONDS,
    idempotent: false,
    declaredMilliseconds: 1,
    refusal: { code, detail: message }
  }
}

function submissionOf (document: EnvironmentDocument, workspace: WorkspaceName, key: RequestKey, text: string, now: number): Submission {
  const body = parseBody(text)
  const kind = document.kinds.find(candidate => candidate.name === body.kind)
  const shape: Shape = { ...(kind?.shape ?? NO_SHAPE), ...body.shape }
  const deadline = deadlineOf(body, now)
  return {
    workspace,
    key,
    kind: kindName(body.kind),
    payload: body.payload ?? null,
    bodyDigest: digestOf(text),
    shape,
    deadline,
    idempotent: kind?.idempotent ?? false,
    declaredMilliseconds: body.declaredMilliseconds ?? kind?.declaredMilliseconds ?? 1,
    refusal: refusalOf(document, kind, shape, deadline, now)
  }
}

function refusalOf (document: EnvironmentDocument, kind: KindDeclaration | undefined, shape: Shape, deadline: number, now: number): Refusal | undefined {
  if (kind === undefined) return { code: 'unknown-kind', detail: `The kinds of work are ${document.kinds.map(candidate => candidate.name).join(', ')}.` }
  if (!shapeFitsAnywhere(shape, document)) return { code: 'impossible-shape', detail: `No failure domain can ever hold ${describeShape(shape)}.` }
  if (deadline <= now) return { code: 'deadline-past', detail: 'The deadline has already passed.' }
  if (deadline - now > LONGEST_DEADLINE_MILLISECONDS) return { code: 'invalid-request', detail: 'The deadline is more than 90 days away.' }
  return undefined
}

function parseBody (text: string): Body {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (cause) {
    throw new CornelgaugeError('malformed-json', { cause })
  }
  const result = bodySchema.safeParse(value)
  if (result.success) return result.data
  throw new CornelgaugeError('invalid-request', { detail: result.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ') })
}

function isWithinLevels (value: unknown, levels: number): boolean {
  if (typeof value !== 'object' || value === null) return true
  return levels > 0 && Object.values(value).every(member => isWithinLevels(member, levels - 1))
}

function deadlineOf ({ deadlineMilliseconds }: Body, now: number): number {
  return deadlineMilliseconds >= ABSOLUTE_DEADLINE_MILLISECONDS ? deadlineMilliseconds : now + deadlineMilliseconds
}
