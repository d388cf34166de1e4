/** Arithmetic on amounts of capacity, which are vectors of slots and accelerators. */

/** Slots and accelerators, on one backend server or summed over several. */
export interface Amount {
  readonly slots: number
  readonly accelerators: number
}

export const NO_AMOUNT: Amount = { slots: 0, accelerators: 0 }

/**
 * Returns the first amount plus `times` times the second; -1 subtracts it.
 *
 * @example
 * addAmount({ slots: 1, accelerators: 8 }, { slots: 1, accelerators: 0 }, -1) // { slots: 0, accelerators: 8 }
 */
export function addAmount (first: Amount, second: Amount, times = 1): Amount {
  return { slots: first.slots + times * second.slots, accelerators: first.accelerators + times * second.accelerators }
}

/** Returns the minimum of the two amounts, resource by resource. */
export function minimumAmount (first: Amount, second: Amount): Amount {
  return { slots: Math.min(first.slots, second.slots), accelerators: Math.min(first.accelerators, second.accelerators) }
}

/** True if the first amount is at least the second in each resource. */
export function coversAmount (first: Amount, second: Amount): boolean {
  return first.slots >= second.slots && first.accelerators >= second.accelerators
}

/** Returns the sum of a list of amounts. */
export function sumAmounts (amounts: readonly Amount[]): Amount {
  return amounts.reduce((sum, amount) => addAmount(sum, amount), NO_AMOUNT)
}

/**
 * Returns the dominant share of `amount`: the larger of its fractions of the total
 * slots and of the total accelerators.
 */
export function dominantShare (amount: Amount, total: Amount): number {
  const ofSlots = total.slots === 0 ? 0 : amount.slots / total.slots
  const ofAccelerators = total.accelerators === 0 ? 0 : amount.accelerators / total.accelerators
  return Math.max(ofSlots, ofAccelerators)
}
