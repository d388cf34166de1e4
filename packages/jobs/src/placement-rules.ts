/** Rules of the placement that a replay can leave out, to tell what each of them earns. */

/** One rule. */
export type PlacementRule =
  /** Keeps room for the first gangs that wait. */
  | 'reserve-for-gangs'
  /** Lends what claims are expected to need only to work with checkpoints. */
  | 'keep-for-claims'
  /** Stops less urgent work where that earns more than it loses. */
  | 'stop-by-worth'

/** All of them. */
export const PLACEMENT_RULES: readonly PlacementRule[] = ['reserve-for-gangs', 'keep-for-claims', 'stop-by-worth']
