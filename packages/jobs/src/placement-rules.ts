/** Placement rules that a replay can disable to measure their effect. */

/** A placement rule that can be disabled. */
export type PlacementRule =
  /** Reserves capacity for the first waiting gangs. */
  | 'reserve-for-gangs'
  /** Lends the capacity that claims are expected to need only to work with checkpoints. */
  | 'keep-for-claims'
  /** Preempts less urgent work if the gain exceeds the cost. */
  | 'stop-by-worth'
  /** Lets a claim wait for capacity only as long as it can still end in time after the stops. */
  | 'wait-by-slack'
  /** Gives work with a low stretch the fast backend servers where others are too slow for it. */
  | 'place-by-speed'

/** All placement rules. */
export const PLACEMENT_RULES: readonly PlacementRule[] = ['reserve-for-gangs', 'keep-for-claims', 'stop-by-worth', 'wait-by-slack', 'place-by-speed']
