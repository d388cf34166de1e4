/** The order in which VMs claim a planner without an owner. */
import { LONGEST_TURN_MILLISECONDS, START_SPREAD_MILLISECONDS, STARTUP_MILLISECONDS, SUCCESSION_STEP_MILLISECONDS } from './limits.js'
import type { Member } from './messages.js'

/**
 * Order of succession: most weight first, then by name.
 *
 * @example
 * members.sort(compareSuccession)
 */
export function compareSuccession (left: Member, right: Member): number {
  return (right.weight ?? 0) - (left.weight ?? 0) || (left.vm < right.vm ? -1 : 1)
}

/**
 * How long a VM waits for those before it in the order of succession, in milliseconds. It waits longer
 * soon after its own start, when one of them may have started later.
 *
 * @example
 * await pause(clock, turnMilliseconds(self, others, uptimeMilliseconds))
 */
export function turnMilliseconds (self: Member, others: readonly Member[], uptimeMilliseconds: number): number {
  const rank = others.filter(member => compareSuccession(member, self) < 0).length
  const hasJustStarted = uptimeMilliseconds < 2 * STARTUP_MILLISECONDS
  return Math.min(rank * SUCCESSION_STEP_MILLISECONDS, LONGEST_TURN_MILLISECONDS) + (rank > 0 && hasJustStarted ? START_SPREAD_MILLISECONDS : 0)
}
