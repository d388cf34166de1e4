/**
 * What a VM learns of the configuration from others while the store doesn't confirm it. The load: callers of VMs that are
 * cut off from the store for seconds, while others reach it: their routes and keys are known, but not whether they still hold.
 */
import type { Configuration } from '@cornelgauge/jobs'
import type { RowValue } from '@cornelgauge/ports'
import type { EmitEvent } from '@cornelgauge/telemetry'
import type { CurrentConfiguration } from './current-configuration.js'
import { before, moment, type Moment } from './elapsed.js'
import { CONFIGURATION_STALE_MILLISECONDS } from './limits.js'

/** How old a VM's configuration is. */
export interface ConfirmedConfiguration {
  readonly version: number
  /** Milliseconds since the start of the store's read that last confirmed this version as the newest. */
  readonly age: number
}

/** A configuration as one VM gives it to another. */
export interface ConfigurationRows extends ConfirmedConfiguration {
  /** Rows of the configuration's table, by their keys. */
  readonly rows: Readonly<Record<string, RowValue>>
}

/** Options of `ConfigurationExchange`. */
export interface ConfigurationExchangeOptions {
  readonly current: CurrentConfiguration
  /** Decodes the rows of the configuration's table. */
  readonly read: (rows: ReadonlyMap<string, RowValue>) => Configuration | undefined
  /** Requests the rows of the VM at an address; undefined if it doesn't answer. */
  readonly fetch: (address: string) => Promise<ConfigurationRows | undefined>
  readonly emit?: EmitEvent
}

/** The version of a VM that knows no configuration. */
const NO_CONFIGURATION = -1

/**
 * Requests the age of the configuration from other VMs while the own one is old, and answers their requests. An age counts from the start of
 * the read that some VM has made, and the way of the message is added to it, so it is never too small, however many VMs pass it on. Heartbeats carry only the age: rows
 * may be long, and a heartbeat that waits for them would count as missed.
 *
 * @example
 * const exchange = new ConfigurationExchange({ current, read, fetch })
 * const reply = await send({ staleConfiguration: exchange.staleVersion })
 * await exchange.receive(reply.configuration, sentAt, address)
 */
export class ConfigurationExchange {
  readonly #options: ConfigurationExchangeOptions
  #rows: ReadonlyMap<string, RowValue> = new Map()
  #isFetching = false

  constructor (options: ConfigurationExchangeOptions) {
    this.#options = options
  }

  /** Applies rows that were complete at `readAt`, as the store or another VM has given them. */
  apply (rows: ReadonlyMap<string, RowValue>, readAt: Moment): void {
    this.#rows = rows
    this.#options.current.update(this.#options.read(rows), readAt)
  }

  /** The version to be confirmed or replaced by another VM; undefined while the store confirms it itself. */
  get staleVersion (): number | undefined {
    return this.#options.current.confirmationAge > CONFIGURATION_STALE_MILLISECONDS ? this.#version : undefined
  }

  /** How old the configuration of this VM is, for one that has the given version; undefined if that can't help it. */
  answer (staleVersion: number | undefined): ConfirmedConfiguration | undefined {
    const age = this.#options.current.confirmationAge
    const version = this.#version
    const isHelpful = staleVersion !== undefined && version !== NO_CONFIGURATION && version >= staleVersion && Number.isFinite(age)
    return isHelpful ? { version, age } : undefined
  }

  /** The rows of this VM, for one that has requested them. */
  get rows (): ConfigurationRows {
    return { version: this.#version, age: this.#options.current.confirmationAge, rows: Object.fromEntries(this.#rows) }
  }

  /** Takes over what the VM at an address knows, from its reply to a message that was sent at `sentAt`; fetches its rows if they are newer. */
  async receive (confirmed: ConfirmedConfiguration | undefined, sentAt: Moment, address: string): Promise<void> {
    if (confirmed === undefined || confirmed.version < this.#version) return
    if (confirmed.version === this.#version) this.#confirm(before(sentAt, confirmed.age), address)
    else if (!this.#isFetching) await this.#fetchFrom(address)
  }

  #confirm (readAt: Moment, address: string): void {
    const { current, emit = () => {} } = this.#options
    const age = current.confirmationAge
    current.confirm(readAt)
    if (current.confirmationAge < age) emit('configuration-confirmed', { details: { version: this.#version, address, age: Math.round(current.confirmationAge), earlier: Math.round(age) } })
  }

  async #fetchFrom (address: string): Promise<void> {
    this.#isFetching = true
    const sentAt = moment()
    const fetched = await this.#options.fetch(address)
    this.#isFetching = false
    if (fetched === undefined || fetched.version <= this.#version) return
    const rows = new Map(Object.entries(fetched.rows))
    if (this.#versionOf(rows) === fetched.version) this.apply(rows, before(sentAt, fetched.age))
  }

  /** Version of rows; undefined if this release can't decode them. */
  #versionOf (rows: ReadonlyMap<string, RowValue>): number | undefined {
    try {
      return this.#options.read(rows)?.version
    } catch {
      return undefined
    }
  }

  get #version (): number {
    return this.#options.current.value?.version ?? NO_CONFIGURATION
  }
}
