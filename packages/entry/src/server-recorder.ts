/** Keeps the record of backend servers for the next owner up to date, and holds those that it lists as unreached; all until it is first stored. */
import { pause, systemClock } from '@cornelgauge/coordination'
import { ALL_SERVERS, type Planner, type ServerId } from '@cornelgauge/jobs'
import { BUSY_POLL_WAIT_MILLISECONDS, SERVER_RECORD_PAUSE_MILLISECONDS } from './limits.js'
import type { ServerRecord } from './server-record.js'

/** Options of a recorder. */
export interface ServerRecorderOptions {
  readonly planner: Planner
  readonly record: ServerRecord
  /** Runs a call to the store; false if it failed, which is logged. */
  readonly tryStoreCall: (call: () => Promise<void>) => Promise<boolean>
  /** Called when backend servers may have been released. */
  readonly onReleased: () => void
  readonly signal: AbortSignal
  /** Monotonic time in milliseconds. */
  readonly now?: () => number
}

/**
 * Writes the record one write at a time. A backend server that the stored record may list as unreached by this
 * owner gets no start and no renewal of its leases until a record without it is stored: the next owner relies on it. Until
 * the first record is stored, this holds for all backend servers: the next owner relies on the record before.
 *
 * @example
 * const recorder = new ServerRecorder(options)
 * await recorder.update()
 */
export class ServerRecorder {
  readonly #options: Required<ServerRecorderOptions>
  #updating: Promise<void> | undefined

  constructor (options: ServerRecorderOptions) {
    this.#options = { now: () => performance.now(), ...options }
    this.#hold([])
  }

  /** True once the first record is stored. */
  get hasStored (): boolean {
    return this.#options.record.hasStored
  }

  /** Writes the record if it has changed. A write that fails is made again by the next call. */
  async update (): Promise<void> {
    this.#updating ??= this.#update().finally(() => { this.#updating = undefined })
    await this.#updating
  }

  /**
   * Returns once a backend server that has answered may be used, or after as long as a poll waits: while the store refuses
   * writes, the backend servers that wait are polled no more often than others.
   */
  async release (server: ServerId): Promise<void> {
    const { planner, signal, now } = this.#options
    const end = now() + BUSY_POLL_WAIT_MILLISECONDS
    // The write under way may have begun before the answer.
    await this.#updating
    while (planner.isWaitingForRecord(server) && !signal.aborted && now() < end) {
      await this.update()
      if (planner.isWaitingForRecord(server)) await pause(systemClock, SERVER_RECORD_PAUSE_MILLISECONDS, signal)
    }
  }

  async #update (): Promise<void> {
    const { planner, record, tryStoreCall, onReleased, signal, now } = this.#options
    if (signal.aborted) return
    const ids = planner.serversToRecover(now())
    const unreached = planner.unreachedServers(ids)
    const held = this.#hold(unreached.keys())
    const settled = planner.settledServers(ids)
    await tryStoreCall(() => record.write(ids, unreached, settled))
    if (this.#hold([]) < held) onReleased()
  }

  /** Holds the backend servers that the record may list as unreached, and more of them; all before the first record. Returns how many. */
  #hold (more: Iterable<ServerId>): number {
    const { planner, record } = this.#options
    const held = record.hasStored ? new Set([...record.unreachedServers, ...more]) : ALL_SERVERS
    planner.holdServers(held)
    return held.size
  }
}
