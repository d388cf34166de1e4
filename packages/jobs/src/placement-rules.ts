/** Placement rules that a replay can disable to measure their effect. */

/** A placement rule that can be disabled. */
export type PlacementRule =
  /** Reserves capacity for the first waiting gangs. */
  | 'reserve-for-gangs'
  /** Lends the capacity that claims are expected to need only to work with checkpoints. */
  | 'keep-for-claims'
  /** Preempts less urgent work if the gain exceeds the cost. */
  | 'stop-by-worth'

/** All placement rules. */
export const PLACEMENT_RULES: readonly PlacementRule[] = ['reserve-for-gangs', 'keep-for-claims', 'stop-by-worth']
