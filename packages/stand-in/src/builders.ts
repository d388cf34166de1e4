/** Builders of submissions, for tests and the prover. */
import { digestOf, kindName, requestKey, workspaceName, type Submission } from '@cornelgauge/model'

/** A shift swap that runs for 300 ms. */
export function swap (key: string, now: number, changes: Partial<Submission> = {}): Submission {
  return {
    workspace: workspaceName('ustredi'),
    key: requestKey(key),
    kind: kindName('shift-swap'),
    payload: { durationMilliseconds: 300, echo: { key } },
    bodyDigest: digestOf(key),
    shape: { slots: 1, accelerators: 0, adjacency: 'server' },
    deadline: now + 60_000,
    idempotent: false,
    declaredMilliseconds: 300,
    ...changes
  }
}

/** A term rota that runs for two seconds on 16 accelerators of one rack, as a gang on two servers. */
export function rota (key: string, now: number, changes: Partial<Submission> = {}): Submission {
  return swap(key, now, {
    kind: kindName('term-rota'),
    payload: { durationMilliseconds: 2000, echo: { key } },
    shape: { slots: 1, accelerators: 16, adjacency: 'rack' },
    idempotent: true,
    declaredMilliseconds: 60_000,
    ...changes
  })
}
