/**
 * Records what callers submitted to the VMs of a rig, and the response to each call.
 */
import type { Submission } from '@cornelgauge/model'
import type { History, CallerResponse } from './history.js'
import type { CallOutcome, Rig } from './rig.js'

/** How long every accepted request may take to end once all faults are cleared. */
export const RECOVERY_LIMIT_MILLISECONDS = 90_000
/** Longest time for which only some members of a gang may run. */
export const MAXIMUM_PARTIAL_GANG_MILLISECONDS = 13_000

/**
 * Records the calls of one run, and builds its history.
 *
 * @example
 * calls.add(submission, vm.router.submit(submission, 5000))
 */
export class CallLog {
  readonly #rig: Rig
  readonly #submissions = new Map<string, Submission>()
  readonly #responses: CallerResponse[] = []

  constructor (rig: Rig) {
    this.#rig = rig
  }

  /** Every submission, in the order of its first call. */
  get submissions (): readonly Submission[] {
    return [...this.#submissions.values()]
  }

  /** The responses that callers have received so far. */
  get responses (): readonly CallerResponse[] {
    return this.#responses
  }

  /** Records a call and, once it arrives, its response. A call to a VM that is killed never gets one. */
  add (submission: Submission, response: Promise<unknown>): Promise<void> {
    this.#submissions.set(submission.key, submission)
    return this.#rig.awaitOutcome(response as never).then(outcome => { this.#responses.push(this.#toResponse(submission.key, outcome)) })
  }

  /** Clears all faults, waits for every request to end, then reads each key once more for its final state. */
  async collectHistory (): Promise<History> {
    this.#rig.heal()
    await this.#rig.advance(RECOVERY_LIMIT_MILLISECONDS)
    const last = new Map<string, CallerResponse>()
    for (const submission of this.submissions) {
      const outcome = await this.#rig.settleOutcome(this.#rig.read(this.#rig.owner!, submission))
      last.set(submission.key, this.#toResponse(submission.key, outcome))
    }
    return {
      submitted: this.submissions.map(({ key, idempotent }) => ({ key, idempotent })),
      responses: this.#responses,
      executions: this.#rig.executions,
      finalResponses: last,
      forgotten: new Set(this.#rig.forgottenKeys),
      maximumPartialGangMilliseconds: MAXIMUM_PARTIAL_GANG_MILLISECONDS
    }
  }

  #toResponse (key: string, { state, code, answer }: CallOutcome): CallerResponse {
    return { key, receivedAt: this.#rig.clock.now(), state, code, answer }
  }
}
