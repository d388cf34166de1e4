/**
 * The type of a case of `npm run prove`, and the setup that most cases share: a rig
 * under load, with seeded random choices.
 */
import { seededRandom, type Random } from '@cornelgauge/coordination'
import type { Submission } from '@cornelgauge/model'
import { swap } from './builders.js'
import { CallLog } from './call-log.js'
import type { Evidence } from './prove-rules.js'
import { Rig, type RigInterfaces, type RigVm, type RecordedEvent } from './rig.js'

/** The result of one run of a case. */
export interface CaseResult {
  readonly evidence: Evidence
  readonly events: readonly RecordedEvent[]
}

/** One case; the seed determines the run. */
export type ProveCase = (seed: number, interfaces: RigInterfaces) => Promise<CaseResult>

const VM_COUNT = 3
const STEP_MILLISECONDS = 10

/** One run of a case: a rig, its callers and a seeded random number generator. */
export class CaseRun {
  readonly rig: Rig
  readonly calls: CallLog
  readonly random: Random
  #swapCount = 0

  private constructor (rig: Rig, seed: number) {
    this.rig = rig
    this.calls = new CallLog(rig)
    this.random = seededRandom(seed)
  }

  static async start (seed: number, interfaces: RigInterfaces): Promise<CaseRun> {
    return new CaseRun(await Rig.start(VM_COUNT, interfaces), seed)
  }

  /** A random integer from `minimum` up to, but not including, `limit`. */
  randomInteger (minimum: number, limit: number): number {
    return minimum + Math.floor(this.random() * (limit - minimum))
  }

  /** Picks one of the values at random. */
  pick<Value> (values: readonly Value[]): Value {
    return values[this.randomInteger(0, values.length)]!
  }

  /** Makes a swap with a new key and this run time. */
  swap (runMilliseconds: number, changes: Partial<Submission> = {}): Submission {
    const key = `swap-${this.#swapCount++}`
    return swap(key, this.rig.clock.now(), { payload: { durationMilliseconds: runMilliseconds, echo: { key } }, ...changes })
  }

  /** Submits through a VM. */
  submit (vm: RigVm, submission: Submission, waitMilliseconds = 5000): void {
    this.calls.add(submission, vm.router.submit(submission, waitMilliseconds))
  }

  /** Submits swaps of random run times, each through a random VM unless one is given. */
  submitMany (count: number, vm?: RigVm): void {
    for (let index = 0; index < count; index++) this.submit(vm ?? this.pick(this.runningVms), this.swap(this.randomInteger(1, 600)))
  }

  /** Submits one swap per interval, each through a random one of the entries. */
  async runLoad (milliseconds: number, intervalMilliseconds: number, entries: () => readonly RigVm[] = () => this.runningVms): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += intervalMilliseconds) {
      this.submit(this.pick(entries()), this.swap(this.randomInteger(50, 300)))
      await this.rig.advance(intervalMilliseconds)
    }
  }

  /** The VMs that have neither been killed nor paused. */
  get runningVms (): readonly RigVm[] {
    return this.rig.vms.filter(vm => vm.isAlive && !vm.clock.isPaused)
  }

  /** Advances the clock until the condition holds, or until the longest time has passed. */
  async advanceUntil (condition: () => boolean, longestMilliseconds: number): Promise<void> {
    for (let passed = 0; passed < longestMilliseconds && !condition(); passed += STEP_MILLISECONDS) await this.rig.advance(STEP_MILLISECONDS)
  }

  /** Ends every fault and returns the evidence and the events of the run. */
  async finish (evidence: Evidence = {}): Promise<CaseResult> {
    const history = await this.calls.collectHistory()
    return { evidence: { history, ...evidence }, events: this.rig.events }
  }

  /** When the owner was lost, and when another one had recovered the cell. */
  recoveryAfter (lostAt: number): { lostAt: number, servedAt: number | undefined } {
    return { lostAt, servedAt: this.rig.events.find(event => event.name === 'cell-recovered' && event.at > lostAt)?.at }
  }
}
