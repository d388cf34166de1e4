/** Stores the speeds of the backend servers for the next owner, while they matter. They are estimates: what is lost is learnt anew. */
import { pause, systemClock } from '@cornelgauge/coordination'
import { serverId, type Planner, type StoredSpeed } from '@cornelgauge/jobs'
import { asFailure, CornelgaugeError } from '@cornelgauge/model'
import type { RowStore } from '@cornelgauge/ports'
import { SPEED_RECORD_INTERVAL_MILLISECONDS, SPEED_RECORD_SERVERS, STORE_RETRY_MILLISECONDS } from './limits.js'
import type { OwnerRecord } from './owner-record.js'
import { OWNER_KEY, OWNER_TABLE, SPEEDS_KEY, SPEEDS_TABLE } from './tables.js'
import { readTable } from './table-reader.js'

/** Steps to which logarithms are rounded, so that noise alone changes little of what is stored. */
const STEPS_PER_UNIT = 20

/** Id, incarnation, slowness and deviation, the last two as logarithms in steps. */
type WireSpeed = readonly [id: string, incarnation: number, logSlowness: number, deviation: number]

/** Options of a speed recorder. */
export interface SpeedRecorderOptions {
  readonly planner: Planner
  readonly store: RowStore
  readonly owner: OwnerRecord
  /** Runs a call to the store; false if it failed, which is logged. */
  readonly tryStoreCall: (call: () => Promise<void>) => Promise<boolean>
  /** Called with any other failure. */
  readonly onCrash: (thrown: unknown) => void
  readonly signal: AbortSignal
}

/**
 * Reads what the last owner stored, and then stores what has changed, at a low rate.
 *
 * @example
 * SpeedRecorder.start({ planner, store, owner, tryStoreCall, onCrash, signal })
 */
export class SpeedRecorder {
  readonly #options: SpeedRecorderOptions
  #stored = ''

  constructor (options: SpeedRecorderOptions) {
    this.#options = options
  }

  /** Runs until the signal aborts. */
  static start (options: SpeedRecorderOptions): void {
    const recorder = new SpeedRecorder(options)
    const { signal, tryStoreCall, onCrash } = options
    const run = async (): Promise<void> => {
      while (!signal.aborted && !await recorder.read()) await pause(systemClock, STORE_RETRY_MILLISECONDS, signal)
      for (;;) {
        await pause(systemClock, SPEED_RECORD_INTERVAL_MILLISECONDS, signal)
        if (signal.aborted) return
        await tryStoreCall(() => recorder.write())
      }
    }
    run().catch(onCrash)
  }

  /** Hands what the last owner stored to the planner. False if the store doesn't answer. */
  async read (): Promise<boolean> {
    const { planner, store, signal } = this.#options
    try {
      const { rows } = await readTable(store, SPEEDS_TABLE, { signal })
      planner.inheritSpeeds(rows.flatMap(row => decodeSpeeds(row.value.speeds)))
      return true
    } catch (thrown) {
      asFailure(thrown)
      return false
    }
  }

  /**
   * Stores the speeds if they have changed, on condition that this VM still owns the planner.
   *
   * @throws {CornelgaugeError} `stale-epoch` if another VM owns the planner, or the store's failure
   */
  async write (): Promise<void> {
    const { planner, store, owner } = this.#options
    const speeds = planner.speedsToStore().slice(0, SPEED_RECORD_SERVERS).map(encodeSpeed)
    const content = JSON.stringify(speeds)
    if (speeds.length === 0 || content === this.#stored) return
    const outcome = await store.write({
      conditions: [{ table: OWNER_TABLE, key: OWNER_KEY, version: owner.version }],
      puts: [{ table: SPEEDS_TABLE, key: SPEEDS_KEY, value: { speeds } }]
    })
    if (outcome.type === 'conflict') throw new CornelgaugeError('stale-epoch', { detail: `Another VM owns the planner since epoch ${owner.epoch}` })
    this.#stored = content
  }
}

function encodeSpeed ({ id, incarnation, logSlowness, deviation }: StoredSpeed): WireSpeed {
  return [id, incarnation, Math.round(STEPS_PER_UNIT * logSlowness), Math.max(1, Math.round(STEPS_PER_UNIT * deviation))]
}

/** Decodes what can be read; the rest counts as unknown. */
function decodeSpeeds (value: unknown): readonly StoredSpeed[] {
  if (!Array.isArray(value)) return []
  return value.filter(isWireSpeed).map(([id, incarnation, logSlowness, deviation]) => ({ id: serverId(id), incarnation, logSlowness: logSlowness / STEPS_PER_UNIT, deviation: deviation / STEPS_PER_UNIT }))
}

function isWireSpeed (value: unknown): value is WireSpeed {
  if (!Array.isArray(value) || value.length !== 4) return false
  const [id, incarnation, logSlowness, deviation] = value as readonly unknown[]
  return typeof id === 'string' && [incarnation, logSlowness].every(Number.isSafeInteger) && Number.isSafeInteger(deviation) && Number(deviation) > 0
}
