/**
 * What the demonstration asks for, and what each caller must be told.
 */
import { isDeepStrictEqual } from 'node:util'
import type { DemoCall, DemoReply } from './demo-caller.js'

const WAIT_MILLISECONDS = 15_000
const LONG_RUN_MILLISECONDS = 600_000
const LONG_DEADLINE_MILLISECONDS = 900_000
const DEADLINE_MILLISECONDS = 30_000
const RUN_MILLISECONDS = 200

/** One call with what its caller must be told. */
export interface DemoStep {
  readonly title: string
  readonly call: DemoCall
  readonly status: number
  /** Any of these; undefined where the problem tells no state. */
  readonly states: readonly (string | undefined)[]
  /** The code of the problem details, or of the reason. */
  readonly code?: string
}

/** One user's demonstration. */
export interface DemoPlan {
  readonly steps: readonly DemoStep[]
  /** The requests whose time line is shown, as workspace and key. */
  readonly timelines: readonly (readonly [workspace: string, key: string])[]
  /** How often the backend servers must have started what; a gang is started once on each of its members. */
  readonly starts: readonly ExpectedStarts[]
}

/** How often a request must have been started. */
export interface ExpectedStarts {
  readonly workspace: string
  readonly key: string
  readonly count: number
}

interface Subject {
  readonly kind: string
  readonly workspace: string
  readonly durationMilliseconds?: number
  readonly deadlineMilliseconds?: number
  /** Backend servers of one gang. */
  readonly members?: number
}

function submission (subject: Subject, key: string, waitMilliseconds = WAIT_MILLISECONDS): DemoCall {
  const { kind, workspace, durationMilliseconds = RUN_MILLISECONDS, deadlineMilliseconds = DEADLINE_MILLISECONDS } = subject
  const payload = { durationMilliseconds, echo: { for: key } }
  return { method: 'POST', workspace, key, waitMilliseconds, body: { kind, payload, deadlineMilliseconds } }
}

function finished (subject: Subject): DemoStep {
  return { title: `${subject.kind}: the caller waits for its answer`, call: submission(subject, `${subject.kind}-1`), status: 200, states: ['finished'] }
}

/** The kinds of a user: the first is the short one that must not run twice. */
function planOf (short: Subject, long: Subject, others: readonly Subject[]): DemoPlan {
  const first = submission(short, `${short.kind}-1`)
  const slow = { ...long, durationMilliseconds: LONG_RUN_MILLISECONDS, deadlineMilliseconds: LONG_DEADLINE_MILLISECONDS }
  const slowKey = `${long.kind}-slow`
  const other = { ...first, body: { ...first.body, payload: { another: 'body' } } }
  return {
    steps: [
      ...[short, ...others, long].map(finished),
      { title: 'the first one again, same key and body, another entry VM: the same answer, no second run', call: first, status: 200, states: ['finished'] },
      { title: 'the same key with another body is refused', call: other, status: 409, states: ['finished'], code: 'key-reused' },
      { title: `a ${long.kind} that runs for minutes: the caller is told that it is not over`, call: submission(slow, slowKey, 0), status: 202, states: ['pending', 'running'] },
      { title: 'it is cancelled', call: { method: 'DELETE', workspace: long.workspace, key: slowKey }, status: 202, states: ['pending', 'running', 'cancelled'] },
      { title: 'and its end is read', call: { method: 'GET', workspace: long.workspace, key: slowKey, waitMilliseconds: WAIT_MILLISECONDS }, status: 200, states: ['cancelled'] },
      { title: 'a kind of work that nobody offers is refused', call: submission({ ...short, kind: 'horoscope' }, 'horoscope-1'), status: 422, states: ['not-run'], code: 'unknown-kind' },
      { title: 'a key that nobody used', call: { method: 'GET', workspace: short.workspace, key: 'none' }, status: 404, states: [undefined, 'unknown'], code: 'unknown-request' }
    ],
    starts: [
      { workspace: short.workspace, key: `${short.kind}-1`, count: 1 },
      { workspace: long.workspace, key: `${long.kind}-1`, count: long.members ?? 1 },
      { workspace: short.workspace, key: 'horoscope-1', count: 0 }
    ],
    timelines: [[short.workspace, `${short.kind}-1`], [long.workspace, `${long.kind}-1`]]
  }
}

/** Each user's demonstration, by the name of the deployment. */
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
 * How a reply differs from what its caller must be told; undefined where it does not.
 *
 * @example
 * differenceOf(step, await caller.call(step.call))
 */
export function differenceOf (step: DemoStep, { status, body }: DemoReply): string | undefined {
  const code = body.code
  if (!step.states.includes(body.state as string | undefined)) return `the state should be ${step.states.join(' or ')}`
  const isOver = step.call.method === 'DELETE' && body.state === 'cancelled'
  if (status !== (isOver ? 200 : step.status)) return `the status should be ${step.status}`
  if (step.code !== undefined && code !== step.code) return `the code should be ${step.code}`
  if (step.call.method === 'POST' && status === 200 && !isOwnAnswer(step, body)) return 'the answer is another request\'s'
  return undefined
}

function isOwnAnswer ({ call }: DemoStep, body: DemoReply['body']): boolean {
  const payload = call.body?.payload as { readonly echo?: unknown }
  const answer = body.answer as { readonly echo?: unknown } | undefined
  return isDeepStrictEqual(answer?.echo, payload.echo)
}
