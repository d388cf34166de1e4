/** How many members a gang may have. */
import { GANG_STARTS_PER_SECOND, MAXIMUM_GANG_MEMBERS } from './limits.js'
import type { OperatingBounds } from './operating-bounds.js'

/**
 * Returns how many members a gang may have at most: as many as an owner starts while the first ones wait for the others. A larger
 * one could never begin.
 *
 * @example
 * mostGangMembers({ gangWaitMilliseconds: 3000 })
 */
export function mostGangMembers ({ gangWaitMilliseconds = Infinity }: OperatingBounds): number {
  return Math.min(MAXIMUM_GANG_MEMBERS, Math.floor(GANG_STARTS_PER_SECOND * gangWaitMilliseconds / 1000))
}
