/** Sends the starts of an owner: each waits for its record, for its turn, and then for a connection to its backend server. */
import type { Epoch } from '@cornelgauge/model'
import type { Planner, ServerId, StartCommand, StartOutcome } from '@cornelgauge/jobs'
import type { EmitEvent } from '@cornelgauge/telemetry'
import type { BackendServerCalls, ServerTarget } from './backend-server-calls.js'
import { CALL_SLACK_MILLISECONDS } from './limits.js'
import { StartGate } from './start-gate.js'
import { StartQueue } from './start-queue.js'
import { StartTimes, type LongestStartTimes } from './start-times.js'

/** Options of a sender. */
export interface StartSenderOptions {
  readonly planner: Planner
  readonly epoch: Epoch
  readonly servers: BackendServerCalls
  readonly targetOf: (id: ServerId) => ServerTarget
  readonly emit: EmitEvent
  /** True while this VM may send starts. */
  readonly maySend: () => boolean
  /** Called with the outcome of each start that was released. */
  readonly onOutcome: (command: StartCommand, outcome: StartOutcome) => void
  readonly onCrash: (thrown: unknown) => void
}

/**
 * The starts of one owner, from the decision to the outcome.
 *
 * @example
 * sender.add(command)
 * sender.release(mayStartUnrecorded)
 */
export class StartSender {
  readonly #options: StartSenderOptions
  readonly #gate: StartGate
  readonly #queue = new StartQueue(command => this.#send(command).catch(this.#options.onCrash))
  readonly #times = new StartTimes()
  #hasSent = false

  constructor (options: StartSenderOptions) {
    this.#options = options
    this.#gate = new StartGate(options.planner)
  }

  /** True if the store has not recorded earlier starts in time, and nothing since. */
  get isLate (): boolean {
    return this.#gate.isLate
  }

  /** Notes that the store has recorded something. */
  noteStored (): void {
    this.#gate.noteStored()
  }

  /** Keeps a start until it is recorded. */
  add (command: StartCommand): void {
    const now = performance.now()
    this.#times.noteDecided(command, now)
    this.#gate.add(command, now)
  }

  /** Sends the starts that are recorded by now, or need not be. */
  release (mayStartUnrecorded: boolean): void {
    const { due, dropped } = this.#gate.release(performance.now(), mayStartUnrecorded)
    for (const command of due) {
      this.#times.noteReleased(command, performance.now())
      this.#queue.add(command)
    }
    this.#drop(dropped)
  }

  /** Drops the starts that haven't been sent. */
  clear (): void {
    this.#drop([...this.#gate.clear(), ...this.#queue.clear()])
  }

  /** Returns the longest times of the starts that have ended since the last call. */
  takeTimes (): LongestStartTimes {
    return this.#times.take()
  }

  async #send (command: StartCommand): Promise<void> {
    const { planner, servers, targetOf, epoch, emit, maySend, onOutcome } = this.#options
    if (!this.#hasSent) emit('planner-first-start', { details: { epoch, task: command.task } })
    this.#hasSent = true
    const mayBeSent = (): boolean => {
      this.#times.noteSent(command, performance.now())
      return maySend() && planner.isStartDue(command)
    }
    const outcome = await servers.start(targetOf(command.server), command, epoch, CALL_SLACK_MILLISECONDS, mayBeSent)
    this.#times.noteEnded(command, performance.now())
    onOutcome(command, outcome)
  }

  #drop (commands: readonly StartCommand[]): void {
    const { planner, epoch, emit } = this.#options
    for (const command of commands) {
      const { server, task, run } = command
      this.#times.noteEnded(command, performance.now())
      planner.applyStartOutcome(server, task, run, 'unsent', performance.now())
      emit('task-started', { details: { task, run, server, epoch, outcome: 'unsent', resumed: false } })
    }
  }
}
