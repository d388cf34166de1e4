/**
 * The evacuation orders as this VM has last read them, and whether it may start work by them. A VM that reads late, or is cut
 * off, can't know which failure domains are open.
 */
import { elapsedSince, moment, type Moment } from './elapsed.js'
import { EVACUATION_READING_SHARE } from './limits.js'

/** Options of the orders of a VM. */
export interface EvacuationOrdersOptions {
  /** Time after an order within which starts in its failure domain end; undefined if there are no evacuations. */
  readonly boundMilliseconds: number | undefined
  /** Milliseconds since the store last answered this VM, or one that follows it. */
  readonly storeAge: () => number
  /** Called after each reading whose orders differ from the last one's, the first included. */
  readonly onChange: (failureDomains: ReadonlySet<string>) => void
  /** Called when starts begin to be held since the last reading is too old, with its age. */
  readonly onOutdated: (milliseconds: number) => void
  /** The time by both clocks. */
  readonly now?: () => Moment
}

/**
 * Holds the evacuated failure domains.
 *
 * @example
 * orders.update(new Set(['north']), readAt)
 * if (orders.mayStart) start(task)
 */
export class EvacuationOrders {
  readonly #options: EvacuationOrdersOptions
  #failureDomains: ReadonlySet<string> | undefined
  #readAt: Moment | undefined
  #isOutdated = false

  constructor (options: EvacuationOrdersOptions) {
    this.#options = options
  }

  /** The evacuated failure domains; undefined before the first reading. */
  get failureDomains (): ReadonlySet<string> | undefined {
    return this.#failureDomains
  }

  /** Applies all orders of a reading that began at `readAt`. */
  update (failureDomains: ReadonlySet<string>, readAt: Moment): void {
    this.#readAt = readAt
    this.#isOutdated = false
    const known = this.#failureDomains
    this.#failureDomains = failureDomains
    if (known === undefined || known.size !== failureDomains.size || [...known].some(name => !failureDomains.has(name))) this.#options.onChange(failureDomains)
  }

  /**
   * True if no other order can have been in force for longer than a share of the bound: the last reading is recent, or the store has
   * answered neither this VM nor its followers since, as in an outage in which nobody can write one.
   */
  get mayStart (): boolean {
    const { boundMilliseconds, storeAge, onOutdated, now = moment } = this.#options
    if (boundMilliseconds === undefined) return true
    if (this.#readAt === undefined) return false
    const age = elapsedSince(this.#readAt, now())
    const limit = EVACUATION_READING_SHARE * boundMilliseconds
    if (age <= limit || age - storeAge() <= limit) return true
    if (!this.#isOutdated) onOutdated(age)
    this.#isOutdated = true
    return false
  }
}
