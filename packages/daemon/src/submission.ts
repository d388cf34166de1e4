/**
 * From a caller's body to a checked submission.
 */
import { shapeFitsAnywhere, type EnvironmentDocument, type KindDeclaration } from '@cornelgauge/environment'
import { CornelgaugeError, describeShape, digestOf, kindName, requestKey, workspaceName, type RequestKey, type Shape, type Submission, type WorkspaceName } from '@cornelgauge/model'
import { z } from 'zod'

/** A deadline of this size or more is a time since 1970, a smaller one counts from now. */
export const ABSOLUTE_DEADLINE_MILLISECONDS = 1e12
/** Longest deadline from now. */
export const LONGEST_DEADLINE_MILLISECONDS = 90 * 24 * 60 * 60 * 1000
const MAXIMUM_KEY_LENGTH = 128
const MAXIMUM_ACCELERATORS = 1024

const bodySchema = z.strictObject({
  kind: z.string(),
  payload: z.unknown().optional(),
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
 * Checks an idempotency key.
 *
 * @throws CornelgaugeError `missing-key`
 */
export function checkKey (key: string | undefined): RequestKey {
  const isKey = key !== undefined && key.length <= MAXIMUM_KEY_LENGTH && /^[A-Za-z0-9][A-Za-z0-9._:-]*$/.test(key)
  if (!isKey) throw new CornelgaugeError('missing-key', { detail: 'Idempotency-Key must be 1 to 128 letters, digits, dots, colons, underscores or hyphens', state: 'not-run' })
  return requestKey(key)
}

/**
 * Checks a workspace against the document in force.
 *
 * @throws CornelgaugeError `not-found`
 */
export function checkWorkspace (document: EnvironmentDocument, name: string): WorkspaceName {
  const found = document.workspaces.find(workspace => workspace.name === name)
  if (found === undefined) throw new CornelgaugeError('not-found', { detail: `There is no workspace named ${name}`, state: 'not-run' })
  return workspaceName(name)
}

/**
 * Makes a submission of a caller's body.
 *
 * @param now - milliseconds since 1970
 * @throws CornelgaugeError `malformed-json`, `invalid-request`, `unknown-kind`, `impossible-shape`, `deadline-past`
 */
export function parseSubmission (document: EnvironmentDocument, workspace: WorkspaceName, key: RequestKey, text: string, now: number): Submission {
  const body = parseBody(text)
  const kind = document.kinds.find(candidate => candidate.name === body.kind)
  if (kind === undefined) throw new CornelgaugeError('unknown-kind', { state: 'not-run', members: { kinds: document.kinds.map(candidate => candidate.name) } })
  return {
    workspace,
    key,
    kind: kindName(body.kind),
    payload: body.payload ?? null,
    bodyDigest: digestOf(text),
    shape: shapeOf(document, kind, body),
    deadline: deadlineOf(body, now),
    idempotent: kind.idempotent,
    declaredMilliseconds: body.declaredMilliseconds ?? kind.declaredMilliseconds
  }
}

function parseBody (text: string): Body {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (cause) {
    throw new CornelgaugeError('malformed-json', { state: 'not-run', cause })
  }
  const result = bodySchema.safeParse(value)
  if (result.success) return result.data
  const faults = result.error.issues.map(issue => ({ path: issue.path.join('.'), detail: issue.message }))
  throw new CornelgaugeError('invalid-request', { detail: faults.map(fault => `${fault.path}: ${fault.detail}`).join('; '), state: 'not-run', members: { faults } })
}

function shapeOf (document: EnvironmentDocument, kind: KindDeclaration, body: Body): Shape {
  const shape: Shape = { ...kind.shape, ...body.shape }
  if (shapeFitsAnywhere(shape, document)) return shape
  throw new CornelgaugeError('impossible-shape', { detail: `No failure domain can ever hold ${describeShape(shape)}`, state: 'not-run' })
}

function deadlineOf ({ deadlineMilliseconds }: Body, now: number): number {
  const deadline = deadlineMilliseconds >= ABSOLUTE_DEADLINE_MILLISECONDS ? deadlineMilliseconds : now + deadlineMilliseconds
  if (deadline <= now) throw new CornelgaugeError('deadline-past', { state: 'not-run' })
  if (deadline - now > LONGEST_DEADLINE_MILLISECONDS) throw new CornelgaugeError('invalid-request', { detail: 'deadlineMilliseconds: more than 90 days away', state: 'not-run' })
  return deadline
}
