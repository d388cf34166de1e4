/** The configuration in force on this VM, and how long ago the store confirmed it. */
import type { Configuration } from '@cornelgauge/jobs'
import { elapsedSince, type Moment } from './elapsed.js'

/**
 * Holds the newest configuration; its version never falls.
 *
 * @example
 * current.take(configuration, asked)
 * if (current.age < limit) serve(current.value)
 */
export class CurrentConfiguration {
  #value: Configuration | undefined
  #confirmed: Moment | undefined
  readonly #onChange: (configuration: Configuration) => void

  constructor (onChange: (configuration: Configuration) => void) {
    this.#onChange = onChange
  }

  /** The newest one known. */
  get value (): Configuration | undefined {
    return this.#value
  }

  /** Milliseconds since the store was asked and had nothing newer. */
  get age (): number {
    return this.#confirmed === undefined ? Infinity : elapsedSince(this.#confirmed)
  }

  /** Takes what the store had when it was asked; nothing means that there is no newer one. */
  take (configuration: Configuration | undefined, asked: Moment): void {
    this.#confirmed = asked
    if (configuration === undefined || configuration.version <= (this.#value?.version ?? -1)) return
    this.#value = configuration
    this.#onChange(configuration)
  }
}
