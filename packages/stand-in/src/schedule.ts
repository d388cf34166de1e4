/**
 * A random schedule of calls and faults over the rig, and the history that it gives.
 */
import type { Submission } from '@cornelgauge/model'
import fc from 'fast-check'
import { rota, swap } from './builders.js'
import type { History, ToldEntry } from './history.js'
import { Rig, type Outcome } from './rig.js'

const VM_COUNT = 3
const SERVER_COUNT = 4
const HEALING_MILLISECONDS = 90_000
const GANG_BOUND_MILLISECONDS = 13_000

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

const vm = fc.nat(VM_COUNT - 1)
const server = fc.nat(SERVER_COUNT - 1)

/** Arbitrary steps: calls and time more often than faults. */
export const steps: fc.Arbitrary<readonly Step[]> = fc.array(fc.oneof(
  { weight: 8, arbitrary: fc.record({ type: fc.constant('submit' as const), kind: fc.constantFrom('swap' as const, 'swap' as const, 'rota' as const), vm, runMilliseconds: fc.integer({ min: 1, max: 8000 }), deadlineMilliseconds: fc.integer({ min: 500, max: 60_000 }) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constantFrom('read' as const, 'cancel' as const, 'repeat' as const), vm, request: fc.nat(20) }) },
  { weight: 8, arbitrary: fc.record({ type: fc.constant('advance' as const), milliseconds: fc.oneof(fc.integer({ min: 1, max: 60 }), fc.integer({ min: 100, max: 5000 })) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constantFrom('kill' as const, 'pause' as const, 'resume' as const, 'resume' as const, 'leave' as const), vm }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('table' as const), mode: fc.constantFrom('none' as const, 'none' as const, 'down' as const, 'lose-answers' as const, 'slow' as const) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('server' as const), server, mode: fc.constantFrom('none' as const, 'none' as const, 'down' as const, 'lose-answers' as const, 'slow' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restart-server' as const), server }) }
), { minLength: 10, maxLength: 60 })

/** Carries out one schedule and heals everything afterwards. */
export class ScheduleRun {
  readonly #rig: Rig
  readonly #submissions: Submission[] = []
  readonly #told: ToldEntry[] = []
  readonly #calls: Promise<void>[] = []
  #replacements = 0

  constructor (rig: Rig) {
    this.#rig = rig
  }

  /** Runs the steps and gives the history. */
  static async run (schedule: readonly Step[]): Promise<{ history: History, rig: Rig }> {
    const rig = await Rig.start(VM_COUNT)
    const run = new ScheduleRun(rig)
    for (const step of schedule) await run.#take(step)
    return { history: await run.#finish(), rig }
  }

  async #take (step: Step): Promise<void> {
    const take = TAKE[step.type] as (run: ScheduleActions, step: Step) => void | Promise<void>
    await take(this.#actions, step)
  }

  readonly #actions: ScheduleActions = {
    submit: (vmIndex, kind, runMilliseconds, deadlineMilliseconds) => {
      const key = `${kind}-${this.#submissions.length}`
      const build = kind === 'swap' ? swap : rota
      const submission = build(key, this.#rig.clock.now(), { payload: { durationMilliseconds: runMilliseconds, echo: { key } }, deadline: this.#rig.clock.now() + deadlineMilliseconds })
      this.#submissions.push(submission)
      this.#call(submission, this.#vm(vmIndex).router.submit(submission, 5000))
    },
    again: (vmIndex, index, how) => {
      const submission = this.#submissions[index % Math.max(1, this.#submissions.length)]
      if (submission === undefined) return
      const { router } = this.#vm(vmIndex)
      const calls = {
        read: () => router.read(submission.workspace, submission.key, 100),
        cancel: () => router.cancel(submission.workspace, submission.key),
        repeat: () => router.submit(submission, 1000)
      }
      this.#call(submission, calls[how]())
    },
    vm: async (vmIndex, how) => { await this.#disturb(vmIndex, how) },
    table: mode => { this.#rig.table.faults.set({ mode, delayMilliseconds: 700 }) },
    server: (index, mode) => { this.#rig.servers[index]!.faults.set({ mode, delayMilliseconds: 700 }) },
    restartServer: index => { this.#rig.restartServer(index) },
    advance: milliseconds => this.#rig.advance(milliseconds)
  }

  /** A caller's call; one that came in at a VM that dies is never answered. */
  #call (submission: Submission, call: Promise<unknown>): void {
    const told = this.#rig.told(call as never).then(outcome => { this.#note(submission.key, outcome) })
    this.#calls.push(told)
  }

  #note (key: string, outcome: Outcome): void {
    this.#told.push({ key, at: this.#rig.clock.now(), state: outcome.state, code: outcome.code, answer: outcome.answer })
  }

  #vm (index: number): Rig['vms'][number] {
    const alive = this.#rig.vms.filter(candidate => candidate.isAlive)
    return alive[index % alive.length]!
  }

  async #disturb (index: number, how: 'kill' | 'pause' | 'resume' | 'leave'): Promise<void> {
    const target = this.#vm(index)
    if (how === 'pause') return target.clock.pause()
    if (how === 'resume') return target.clock.resume()
    if (how === 'leave') target.host.leave().then(() => { target.kill() })
    else target.kill()
    this.#replacements += 1
    await this.#rig.addVm(`new-${this.#replacements}`, 100 + this.#replacements).start()
  }

  async #finish (): Promise<History> {
    this.#rig.table.faults.set({ mode: 'none' })
    this.#rig.servers.forEach(candidate => { candidate.faults.set({ mode: 'none' }) })
    this.#rig.vms.forEach(candidate => { candidate.clock.resume() })
    await this.#rig.advance(HEALING_MILLISECONDS)
    const last = new Map<string, ToldEntry>()
    for (const submission of this.#submissions) {
      const outcome = await this.#rig.outcome(this.#rig.read(this.#rig.owner!, submission))
      last.set(submission.key, { key: submission.key, at: this.#rig.clock.now(), state: outcome.state, code: outcome.code, answer: outcome.answer })
    }
    return {
      submitted: this.#submissions.map(({ key, idempotent }) => ({ key, idempotent })),
      told: this.#told,
      executions: this.#rig.executions,
      last,
      forgotten: new Set(this.#rig.forgottenKeys),
      gangBoundMilliseconds: GANG_BOUND_MILLISECONDS
    }
  }
}

interface ScheduleActions {
  readonly submit: (vm: number, kind: 'swap' | 'rota', runMilliseconds: number, deadlineMilliseconds: number) => void
  readonly again: (vm: number, request: number, how: 'read' | 'cancel' | 'repeat') => void
  readonly vm: (vm: number, how: 'kill' | 'pause' | 'resume' | 'leave') => Promise<void>
  readonly table: (mode: 'none' | 'down' | 'lose-answers' | 'slow') => void
  readonly server: (server: number, mode: 'none' | 'down' | 'lose-answers' | 'slow') => void
  readonly restartServer: (server: number) => void
  readonly advance: (milliseconds: number) => Promise<void>
}

type Take<Type extends Step['type']> = (actions: ScheduleActions, step: Extract<Step, { type: Type }>) => void | Promise<void>

const again: Take<'read' | 'cancel' | 'repeat'> = (actions, step) => { actions.again(step.vm, step.request, step.type) }
const disturb: Take<'kill' | 'pause' | 'resume' | 'leave'> = (actions, step) => actions.vm(step.vm, step.type)

const TAKE: { readonly [Type in Step['type']]: Take<Type> } = {
  submit: (actions, step) => { actions.submit(step.vm, step.kind, step.runMilliseconds, step.deadlineMilliseconds) },
  read: again as never,
  cancel: again as never,
  repeat: again as never,
  kill: disturb as never,
  pause: disturb as never,
  resume: disturb as never,
  leave: disturb as never,
  table: (actions, step) => { actions.table(step.mode) },
  server: (actions, step) => { actions.server(step.server, step.mode) },
  'restart-server': (actions, step) => { actions.restartServer(step.server) },
  advance: (actions, step) => actions.advance(step.milliseconds)
}
