/**
 * Records what callers submitted to the VMs of a rig, and the response to each call.
 */
import type { Submission } from '@cornelgauge/model'
import type { History, ToldEntry } from './history.js'
import type { Outcome, Rig } from './rig.js'

/** How long every accepted request may take to end once all faults are cleared. */
export const RECOVERY_LIMIT_MILLISECONDS = 90_000
/** Longest time for which only some members of a gang may run. */
export const GANG_BOUND_MILLISECONDS = 13_000

/**
 * Records the calls of one run, and builds its history.
 *
 * @example
 * calls.add(submission, vm.router.submit(submission, 5000))
 */
export class CallLog {
  readonly #rig: Rig
  readonly #submissions = new Map<string, Submission>()
  readonly #responses: ToldEntry[] = []

  constructor (rig: Rig) {
    this.#rig = rig
  }

  /** Every submission, in the order of its first call. */
  get submissions (): readonly Submission[] {
    return [...this.#submissions.values()]
  }

  /** The responses that callers have received so far. */
  get told (): readonly ToldEntry[] {
    return this.#responses
  }

  /** Records a call and, once it arrives, its response. A call to a VM that is killed never gets one. */
  add (submission: Submission, response: Promise<unknown>): Promise<void> {
    this.#submissions.set(submission.key, submission)
    return this.#rig.told(response as never).then(outcome => { this.#responses.push(this.#toResponse(submission.key, outcome)) })
  }

  /** Clears all faults, waits for every request to end, then reads each key once more for its final state. */
  async healed (): Promise<History> {
    this.#rig.heal()
    await this.#rig.advance(RECOVERY_LIMIT_MILLISECONDS)
    const last = new Map<string, ToldEntry>()
    for (const submission of this.submissions) {
      const outcome = await this.#rig.outcome(this.#rig.read(this.#rig.owner!, submission))
      last.set(submission.key, this.#toResponse(submission.key, outcome))
    }
    return {
      submitted: this.submissions.map(({ key, idempotent }) => ({ key, idempotent })),
      told: this.#responses,
      executions: this.#rig.executions,
      last,
      forgotten: new Set(this.#rig.forgottenKeys),
      gangBoundMilliseconds: GANG_BOUND_MILLISECONDS
    }
  }

  #toResponse (key: string, { state, code, answer }: Outcome): ToldEntry {
    return { key, at: this.#rig.clock.now(), state, code, answer }
  }
}
