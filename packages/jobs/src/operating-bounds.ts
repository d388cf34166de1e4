/** What the platform's settings say of backend servers and of the operators' orders. */

/**
 * The platform's figures that decisions rest on; each is absent where the platform gives none, and a decision that
 * needs it then isn't made.
 *
 * @example
 * const bounds: OperatingBounds = { evacuationMilliseconds: 5000 }
 */
export interface OperatingBounds {
  /** Time within which starts in a failure domain end after its evacuation was ordered; absent where there are no evacuations. */
  readonly evacuationMilliseconds?: number
  /** Work after which a task that saves checkpoints has a new one. */
  readonly checkpointMilliseconds?: number
  /** Time to resume from a checkpoint. */
  readonly restoreMilliseconds?: number
  /** Longest time that a stop takes. */
  readonly stopMilliseconds?: number
  /** Time within which a claim of guaranteed accelerators has to begin. */
  readonly reclaimMilliseconds?: number
  /** Time for which the first members of a gang wait for the others. */
  readonly gangWaitMilliseconds?: number
  /** Bytes of a row of the store, as whose value the progress of a job is stored; `MAXIMUM_ROW_BYTES` if absent. */
  readonly rowBytes?: number
}
