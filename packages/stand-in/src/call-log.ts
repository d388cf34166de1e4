/**
 * What callers asked of the VMs of a rig, and what each was told.
 */
import type { Submission } from '@cornelgauge/model'
import type { History, ToldEntry } from './history.js'
import type { Outcome, Rig } from './rig.js'

/** Time for everything that was accepted to end once every fault is over. */
export const HEALING_MILLISECONDS = 90_000
/** Longest time that a part of a gang may run without the whole. */
export const GANG_BOUND_MILLISECONDS = 13_000

/**
 * Keeps the calls of one run, and makes its history.
 *
 * @example
 * calls.add(submission, vm.router.submit(submission, 5000))
 */
export class CallLog {
  readonly #rig: Rig
  readonly #submissions = new Map<string, Submission>()
  readonly #told: ToldEntry[] = []

  constructor (rig: Rig) {
    this.#rig = rig
  }

  /** Every submission, in order. */
  get submissions (): readonly Submission[] {
    return [...this.#submissions.values()]
  }

  /** What callers were told so far. */
  get told (): readonly ToldEntry[] {
    return this.#told
  }

  /** Notes a call; one that came in at a VM that dies is never answered. */
  add (submission: Submission, call: Promise<unknown>): Promise<void> {
    this.#submissions.set(submission.key, submission)
    return this.#rig.told(call as never).then(outcome => { this.#told.push(this.#entry(submission.key, outcome)) })
  }

  /** Ends every fault, lets everything end, and asks once more about each key. */
  async healed (): Promise<History> {
    this.#rig.heal()
    await this.#rig.advance(HEALING_MILLISECONDS)
    const last = new Map<string, ToldEntry>()
    for (const submission of this.submissions) {
      const outcome = await this.#rig.outcome(this.#rig.read(this.#rig.owner!, submission))
      last.set(submission.key, this.#entry(submission.key, outcome))
    }
    return {
      submitted: this.submissions.map(({ key, idempotent }) => ({ key, idempotent })),
      told: this.#told,
      executions: this.#rig.executions,
      last,
      forgotten: new Set(this.#rig.forgottenKeys),
      gangBoundMilliseconds: GANG_BOUND_MILLISECONDS
    }
  }

  #entry (key: string, { state, code, answer }: Outcome): ToldEntry {
    return { key, at: this.#rig.clock.now(), state, code, answer }
  }
}
