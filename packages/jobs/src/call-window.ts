/** Limits the calls of one kind that are under way at a time. */
import type { ServerId } from './ids.js'
import { MAXIMUM_CALLS_PER_SERVER, MAXIMUM_CALLS_UNDER_WAY } from './limits.js'

/**
 * Counts calls that are under way. Calls beyond the limits are decided in a later round, in which they may no longer be
 * needed; the time limit of a call that is sent is then its own.
 *
 * @example
 * const window = new CallWindow()
 * if (window.hasRoomFor(server.id)) window.add(server.id)
 */
export class CallWindow {
  readonly #byServer = new Map<ServerId, number>()
  readonly #limit: number
  #count = 0
  #fullServers = 0

  /** `limit` is that of all backend servers together. */
  constructor (limit = MAXIMUM_CALLS_UNDER_WAY) {
    this.#limit = limit
  }

  add (server: ServerId): void {
    const count = (this.#byServer.get(server) ?? 0) + 1
    this.#byServer.set(server, count)
    this.#count += 1
    if (count === MAXIMUM_CALLS_PER_SERVER) this.#fullServers += 1
  }

  /** How many further calls may be made. */
  get room (): number {
    return Math.max(0, this.#limit - this.#count)
  }

  /** True if no further call is to be made to any backend server. */
  get isFull (): boolean {
    return this.room === 0
  }

  /** True if none is to be made to some of them. */
  get hasFullServers (): boolean {
    return this.#fullServers > 0
  }

  /** True if a call may be made to a backend server, of which at most `limit` may be under way. */
  hasRoomFor (server: ServerId, limit = MAXIMUM_CALLS_PER_SERVER): boolean {
    return !this.isFull && (this.#byServer.get(server) ?? 0) < limit
  }
}
