/** The configuration in force on this VM, and the time since the store confirmed it. */
import type { Configuration } from '@cornelgauge/jobs'
import { elapsedSince, type Moment } from './elapsed.js'

/**
 * Holds the newest configuration; an older version never replaces it.
 *
 * @example
 * current.update(configuration, readAt)
 * if (current.confirmationAge < limit) serve(current.value)
 */
export class CurrentConfiguration {
  #value: Configuration | undefined
  #confirmedAt: Moment | undefined
  readonly #onChange: (configuration: Configuration) => void

  constructor (onChange: (configuration: Configuration) => void) {
    this.#onChange = onChange
  }

  /** The newest known configuration. */
  get value (): Configuration | undefined {
    return this.#value
  }

  /** Milliseconds since the start of the newest successful read that confirmed or updated it. */
  get confirmationAge (): number {
    return this.#confirmedAt === undefined ? Infinity : elapsedSince(this.#confirmedAt)
  }

  /** Applies the result of a read that started at `readAt`; undefined means that there is no usable newer configuration. */
  update (configuration: Configuration | undefined, readAt: Moment): void {
    this.confirm(readAt)
    if (configuration === undefined || configuration.version <= (this.#value?.version ?? -1)) return
    this.#value = configuration
    this.#onChange(configuration)
  }

  /** Records that a read that started at `readAt` has found no newer configuration; an earlier read than the last one changes nothing. */
  confirm (readAt: Moment): void {
    if (elapsedSince(readAt) < this.confirmationAge) this.#confirmedAt = readAt
  }
}
