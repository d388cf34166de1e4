/** Reads the registry of backend servers, and logs the rows that name no usable one. */
import { serverId, type ServerEntry } from '@cornelgauge/jobs'
import type { RowValue } from '@cornelgauge/ports'
import type { EmitEvent } from '@cornelgauge/telemetry'
import type { PlatformView } from './platform-view.js'

/** The registry as read. */
export interface RegistryReading {
  readonly entries: readonly ServerEntry[]
  /** Number of rows without an entry. */
  readonly unreadable: number
}

/**
 * Decodes the registry. A row that is skipped is logged once for each version of it that was read.
 *
 * @example
 * const reader = new RegistryReader(platform, emit)
 * const { entries } = reader.read(rows)
 */
export class RegistryReader {
  readonly #readRegistry: PlatformView['readRegistry']
  readonly #emit: EmitEvent
  /** Values of skipped rows; each version of a row that is read has a value of its own. */
  readonly #logged = new WeakSet<RowValue>()

  constructor ({ readRegistry }: Pick<PlatformView, 'readRegistry'>, emit: EmitEvent) {
    this.#readRegistry = readRegistry
    this.#emit = emit
  }

  read (rows: ReadonlyMap<string, RowValue>): RegistryReading {
    const entries = this.#readRegistry(rows)
    const usable = new Set(entries.map(entry => entry.id))
    for (const [key, value] of rows) {
      if (usable.has(serverId(key)) || this.#logged.has(value)) continue
      this.#logged.add(value)
      this.#emit('registry-row-skipped', { details: { row: key } })
    }
    return { entries, unreadable: rows.size - entries.length }
  }
}
