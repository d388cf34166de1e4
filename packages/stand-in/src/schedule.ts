/**
 * Random schedules of calls and faults on the rig, for property-based tests.
 */
import fc from 'fast-check'
import { rota, swap } from './builders.js'
import { CallLog } from './call-log.js'
import type { History } from './history.js'
import { Rig, type RigInterfaces } from './rig.js'

const VM_COUNT = 3
const SERVER_COUNT = 4

/** One step of a schedule. */
export type Step =
  | { readonly type: 'submit', readonly kind: 'swap' | 'rota', readonly vm: number, readonly runMilliseconds: number, readonly deadlineMilliseconds: number }
  | { readonly type: 'read' | 'cancel', readonly vm: number, readonly request: number }
  | { readonly type: 'repeat', readonly vm: number, readonly request: number }
  | { readonly type: 'kill' | 'pause' | 'resume' | 'leave', readonly vm: number }
  | { readonly type: 'table', readonly mode: 'none' | 'down' | 'lose-answers' | 'slow' }
  | { readonly type: 'server', readonly server: number, readonly mode: 'none' | 'down' | 'lose-answers' | 'slow' }
  | { readonly type: 'restart-server', readonly server: number }
  | { readonly type: 'advance', readonly milliseconds: number }

const arbitraryVm = fc.nat(VM_COUNT - 1)
const arbitraryServer = fc.nat(SERVER_COUNT - 1)

/** Generates schedules; calls and time steps are more frequent than faults. */
export const arbitrarySchedule: fc.Arbitrary<readonly Step[]> = fc.array(fc.oneof(
  { weight: 8, arbitrary: fc.record({ type: fc.constant('submit' as const), kind: fc.constantFrom('swap' as const, 'swap' as const, 'rota' as const), vm: arbitraryVm, runMilliseconds: fc.integer({ min: 1, max: 8000 }), deadlineMilliseconds: fc.integer({ min: 500, max: 60_000 }) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constantFrom('read' as const, 'cancel' as const, 'repeat' as const), vm: arbitraryVm, request: fc.nat(20) }) },
  { weight: 8, arbitrary: fc.record({ type: fc.constant('advance' as const), milliseconds: fc.oneof(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 100, max: 5000 })) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constantFrom('kill' as const, 'pause' as const, 'resume' as const, 'resume' as const, 'leave' as const), vm: arbitraryVm }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('table' as const), mode: fc.constantFrom('none' as const, 'none' as const, 'down' as const, 'lose-answers' as const, 'slow' as const) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('server' as const), server: arbitraryServer, mode: fc.constantFrom('none' as const, 'none' as const, 'down' as const, 'lose-answers' as const, 'slow' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restart-server' as const), server: arbitraryServer }) }
), { minLength: 10, maxLength: 60 })

/** Executes one schedule, and clears all faults afterwards. */
export class ScheduleRun {
  readonly #rig: Rig
  readonly #calls: CallLog
  #replacements = 0

  constructor (rig: Rig) {
    this.#rig = rig
    this.#calls = new CallLog(rig)
  }

  /** Runs the steps, and returns the history with the rig. */
  static async run (schedule: readonly Step[], interfaces: RigInterfaces = {}): Promise<{ history: History, rig: Rig }> {
    const rig = await Rig.start(VM_COUNT, interfaces)
    const run = new ScheduleRun(rig)
    for (const step of schedule) await run.#runStep(step)
    return { history: await run.#calls.collectHistory(), rig }
  }

  async #runStep (step: Step): Promise<void> {
    const handle = STEP_HANDLERS[step.type] as (actions: ScheduleActions, step: Step) => void | Promise<void>
    await handle(this.#actions, step)
  }

  readonly #actions: ScheduleActions = {
    submit: (vmIndex, kind, runMilliseconds, deadlineMilliseconds) => {
      const key = `${kind}-${this.#calls.submissions.length}`
      const build = kind === 'swap' ? swap : rota
      const submission = build(key, this.#rig.clock.now(), { payload: { durationMilliseconds: runMilliseconds, echo: { key } }, deadline: this.#rig.clock.now() + deadlineMilliseconds })
      this.#calls.add(submission, this.#vm(vmIndex).router.submit(submission, 5000))
    },
    repeatCall: (vmIndex, index, action) => {
      const { submissions } = this.#calls
      const submission = submissions[index % Math.max(1, submissions.length)]
      if (submission === undefined) return
      const { router } = this.#vm(vmIndex)
      const calls = {
        read: () => router.read(submission.workspace, submission.key, 100),
        cancel: () => router.cancel(submission.workspace, submission.key),
        repeat: () => router.submit(submission, 1000)
      }
      this.#calls.add(submission, calls[action]())
    },
    disturbVm: async (vmIndex, action) => { await this.#disturb(vmIndex, action) },
    setTableFault: mode => { this.#rig.table.faults.set({ mode, delayMilliseconds: 700 }) },
    setServerFault: (index, mode) => { this.#rig.servers[index]!.faults.set({ mode, delayMilliseconds: 700 }) },
    restartServer: index => { this.#rig.restartServer(index) },
    advance: milliseconds => this.#rig.advance(milliseconds)
  }

  #vm (index: number): Rig['vms'][number] {
    const alive = this.#rig.vms.filter(candidate => candidate.isAlive)
    return alive[index % alive.length]!
  }

  async #disturb (index: number, action: 'kill' | 'pause' | 'resume' | 'leave'): Promise<void> {
    const target = this.#vm(index)
    if (action === 'pause') return target.clock.pause()
    if (action === 'resume') return target.clock.resume()
    if (action === 'leave') target.host.leave().then(() => { target.kill() })
    else target.kill()
    this.#replacements += 1
    await this.#rig.addVm(`new-${this.#replacements}`, 100 + this.#replacements).start()
  }
}

/** What the steps of a schedule do to the rig. */
interface ScheduleActions {
  readonly submit: (vm: number, kind: 'swap' | 'rota', runMilliseconds: number, deadlineMilliseconds: number) => void
  readonly repeatCall: (vm: number, request: number, action: 'read' | 'cancel' | 'repeat') => void
  readonly disturbVm: (vm: number, action: 'kill' | 'pause' | 'resume' | 'leave') => Promise<void>
  readonly setTableFault: (mode: 'none' | 'down' | 'lose-answers' | 'slow') => void
  readonly setServerFault: (server: number, mode: 'none' | 'down' | 'lose-answers' | 'slow') => void
  readonly restartServer: (server: number) => void
  readonly advance: (milliseconds: number) => Promise<void>
}

type StepHandler<Type extends Step['type']> = (actions: ScheduleActions, step: Extract<Step, { type: Type }>) => void | Promise<void>

const handleRepeatedCall: StepHandler<'read' | 'cancel' | 'repeat'> = (actions, step) => { actions.repeatCall(step.vm, step.request, step.type) }
const handleDisturbance: StepHandler<'kill' | 'pause' | 'resume' | 'leave'> = (actions, step) => actions.disturbVm(step.vm, step.type)

const STEP_HANDLERS: { readonly [Type in Step['type']]: StepHandler<Type> } = {
  submit: (actions, step) => { actions.submit(step.vm, step.kind, step.runMilliseconds, step.deadlineMilliseconds) },
  read: handleRepeatedCall as never,
  cancel: handleRepeatedCall as never,
  repeat: handleRepeatedCall as never,
  kill: handleDisturbance as never,
  pause: handleDisturbance as never,
  resume: handleDisturbance as never,
  leave: handleDisturbance as never,
  table: (actions, step) => { actions.setTableFault(step.mode) },
  server: (actions, step) => { actions.setServerFault(step.server, step.mode) },
  'restart-server': (actions, step) => { actions.restartServer(step.server) },
  advance: (actions, step) => actions.advance(step.milliseconds)
}
