/**
 * The calls of the demonstration, and the response that each of them must get.
 */
import { isDeepStrictEqual } from 'node:util'
import type { DemoCall, DemoReply } from './demo-caller.js'

const WAIT_MILLISECONDS = 15_000
const LONG_RUN_MILLISECONDS = 600_000
const LONG_DEADLINE_MILLISECONDS = 900_000
const DEADLINE_MILLISECONDS = 30_000
const RUN_MILLISECONDS = 200

/** One call with its expected response. */
export interface DemoStep {
  readonly title: string
  readonly call: DemoCall
  readonly status: number
  /** The accepted states; undefined for problem details without a state. */
  readonly states: readonly (string | undefined)[]
  /** The expected `code` of the problem details. */
  readonly code?: string
}

/** The demonstration of one deployment. */
export interface DemoPlan {
  readonly steps: readonly DemoStep[]
  /** The requests whose timeline is printed, as workspace and key. */
  readonly timelines: readonly (readonly [workspace: string, key: string])[]
  /** The starts that the backend servers must have recorded; a gang counts one start per member. */
  readonly starts: readonly ExpectedStarts[]
}

/** How often the backend servers must have started a request. */
export interface ExpectedStarts {
  readonly workspace: string
  readonly key: string
  readonly count: number
}

/** A kind of work with the workspace and the times to demonstrate it with. */
interface WorkSample {
  readonly kind: string
  readonly workspace: string
  readonly durationMilliseconds?: number
  readonly deadlineMilliseconds?: number
  /** Number of backend servers in the gang; 1 if omitted. */
  readonly members?: number
}

function submission (sample: WorkSample, key: string, waitMilliseconds = WAIT_MILLISECONDS): DemoCall {
  const { kind, workspace, durationMilliseconds = RUN_MILLISECONDS, deadlineMilliseconds = DEADLINE_MILLISECONDS } = sample
  const payload = { durationMilliseconds, echo: { for: key } }
  return { method: 'POST', workspace, key, waitMilliseconds, body: { kind, payload, deadlineMilliseconds } }
}

function finishedStep (sample: WorkSample): DemoStep {
  return { title: `${sample.kind}: the caller waits for its answer`, call: submission(sample, `${sample.kind}-1`), status: 200, states: ['finished'] }
}

/** Builds the demonstration of a deployment from its kinds of work: a short non-idempotent one, a long one, and others. */
function planOf (nonIdempotent: WorkSample, long: WorkSample, others: readonly WorkSample[]): DemoPlan {
  const first = submission(nonIdempotent, `${nonIdempotent.kind}-1`)
  const slow = { ...long, durationMilliseconds: LONG_RUN_MILLISECONDS, deadlineMilliseconds: LONG_DEADLINE_MILLISECONDS }
  const slowKey = `${long.kind}-slow`
  const other = { ...first, body: { ...first.body, payload: { another: 'body' } } }
  return {
    steps: [
      ...[nonIdempotent, ...others, long].map(finishedStep),
      { title: 'the first request is repeated with the same key and body through another entry VM: same answer, no second run', call: first, status: 200, states: ['finished'] },
      { title: 'the same key with another body is refused', call: other, status: 409, states: ['finished'], code: 'key-reused' },
      { title: `a ${long.kind} that runs for minutes: the response shows that it has not ended`, call: submission(slow, slowKey, 0), status: 202, states: ['pending', 'running'] },
      { title: 'it is cancelled', call: { method: 'DELETE', workspace: long.workspace, key: slowKey }, status: 202, states: ['pending', 'running', 'cancelled'] },
      { title: 'its final state is read', call: { method: 'GET', workspace: long.workspace, key: slowKey, waitMilliseconds: WAIT_MILLISECONDS }, status: 200, states: ['cancelled'] },
      { title: 'an unknown kind of work is refused', call: submission({ ...nonIdempotent, kind: 'horoscope' }, 'horoscope-1'), status: 422, states: ['not-run'], code: 'unknown-kind' },
      { title: 'an unused key is read', call: { method: 'GET', workspace: nonIdempotent.workspace, key: 'none' }, status: 404, states: [undefined, 'unknown'], code: 'unknown-request' }
    ],
    starts: [
      { workspace: nonIdempotent.workspace, key: `${nonIdempotent.kind}-1`, count: 1 },
      { workspace: long.workspace, key: `${long.kind}-1`, count: long.members ?? 1 },
      { workspace: nonIdempotent.workspace, key: 'horoscope-1', count: 0 }
    ],
    timelines: [[nonIdempotent.workspace, `${nonIdempotent.kind}-1`], [long.workspace, `${long.kind}-1`]]
  }
}

/** The demonstrations by deployment name. */
export const DEMO_PLANS: Readonly<Record<string, DemoPlan>> = {
  hlidka: planOf(
    { kind: 'shift-swap', workspace: 'pobocky-praha' },
    { kind: 'term-rota', workspace: 'pobocky-plzen', durationMilliseconds: 1500, members: 2 },
    [{ kind: 'availability-check', workspace: 'ustredi' }]
  ),
  'silver-fare': planOf(
    { kind: 'renewal', workspace: 'phone-line' },
    { kind: 'proof-of-age-check', workspace: 'night-batch', durationMilliseconds: 1000 },
    [{ kind: 'eligibility-check', workspace: 'library-counters' }, { kind: 'pass-reprint', workspace: 'hall-volunteers' }]
  )
}

/**
 * Describes how a reply differs from the expected one; undefined if it matches.
 *
 * @example
 * differenceOf(step, await caller.call(step.call))
 */
export function differenceOf (step: DemoStep, { status, body }: DemoReply): string | undefined {
  const code = body.code
  if (!step.states.includes(body.state as string | undefined)) return `the state should be ${step.states.join(' or ')}`
  const isCompletedCancellation = step.call.method === 'DELETE' && body.state === 'cancelled'
  if (status !== (isCompletedCancellation ? 200 : step.status)) return `the status should be ${step.status}`
  if (step.code !== undefined && code !== step.code) return `the code should be ${step.code}`
  if (step.call.method === 'POST' && status === 200 && !isOwnAnswer(step, body)) return 'the answer is another request\'s'
  return undefined
}

function isOwnAnswer ({ call }: DemoStep, body: DemoReply['body']): boolean {
  const payload = call.body?.payload as { readonly echo?: unknown }
  const answer = body.answer as { readonly echo?: unknown } | undefined
  return isDeepStrictEqual(answer?.echo, payload.echo)
}
