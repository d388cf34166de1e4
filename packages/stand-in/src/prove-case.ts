/**
 * What a case of the proof is, and the run that most of them share: a rig under
 * load, with seeded choices.
 */
import { seededRandom, type Random } from '@cornelgauge/coordination'
import type { Submission } from '@cornelgauge/model'
import { swap } from './builders.js'
import { CallLog } from './call-log.js'
import type { Evidence } from './prove-rules.js'
import { Rig, type RigInterfaces, type RigVm, type SeenEvent } from './rig.js'

/** What one run of a case gives. */
export interface CaseResult {
  readonly evidence: Evidence
  readonly events: readonly SeenEvent[]
}

/** One case: a run is given by its seed. */
export type ProveCase = (seed: number, interfaces: RigInterfaces) => Promise<CaseResult>

const VM_COUNT = 3
const STEP_MILLISECONDS = 10

/** A rig, its callers and a source of seeded choices. */
export class CaseRun {
  readonly rig: Rig
  readonly calls: CallLog
  readonly random: Random
  #keys = 0

  private constructor (rig: Rig, seed: number) {
    this.rig = rig
    this.calls = new CallLog(rig)
    this.random = seededRandom(seed)
  }

  static async start (seed: number, interfaces: RigInterfaces): Promise<CaseRun> {
    return new CaseRun(await Rig.start(VM_COUNT, interfaces), seed)
  }

  /** A whole number from `least` up to, and without, `limit`. */
  between (least: number, limit: number): number {
    return least + Math.floor(this.random() * (limit - least))
  }

  /** One of these. */
  oneOf<Value> (values: readonly Value[]): Value {
    return values[this.between(0, values.length)]!
  }

  /** A new swap that runs as long as asked. */
  swap (runMilliseconds: number, changes: Partial<Submission> = {}): Submission {
    const key = `swap-${this.#keys++}`
    return swap(key, this.rig.clock.now(), { payload: { durationMilliseconds: runMilliseconds, echo: { key } }, ...changes })
  }

  /** Submits through a VM. */
  submit (vm: RigVm, submission: Submission, waitMilliseconds = 5000): void {
    this.calls.add(submission, vm.router.submit(submission, waitMilliseconds))
  }

  /** Submits so many swaps, through any VM unless one is named. */
  submitMany (count: number, vm?: RigVm): void {
    for (let index = 0; index < count; index++) this.submit(vm ?? this.oneOf(this.alive), this.swap(this.between(1, 600)))
  }

  /** One swap every so often, through any of these VMs. */
  async load (milliseconds: number, intervalMilliseconds: number, entries: () => readonly RigVm[] = () => this.alive): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += intervalMilliseconds) {
      this.submit(this.oneOf(entries()), this.swap(this.between(50, 300)))
      await this.rig.advance(intervalMilliseconds)
    }
  }

  /** The VMs that live and are not paused. */
  get alive (): readonly RigVm[] {
    return this.rig.vms.filter(vm => vm.isAlive && !vm.clock.isPaused)
  }

  /** Lets time pass until this holds; gives up after so long. */
  async until (holds: () => boolean, longestMilliseconds: number): Promise<void> {
    for (let passed = 0; passed < longestMilliseconds && !holds(); passed += STEP_MILLISECONDS) await this.rig.advance(STEP_MILLISECONDS)
  }

  /** Heals everything and gives what was seen. */
  async finish (evidence: Evidence = {}): Promise<CaseResult> {
    const history = await this.calls.healed()
    return { evidence: { history, ...evidence }, events: this.rig.events }
  }

  /** When another owner served after this one was lost. */
  servedAfter (lostAt: number): { lostAt: number, servedAt: number | undefined } {
    return { lostAt, servedAt: this.rig.events.find(event => event.name === 'cell-recovered' && event.at > lostAt)?.at }
  }
}
