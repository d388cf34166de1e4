/** Amounts of capacity: slots and accelerators. */

/** Slots and accelerators, on one backend server or over several. */
export interface Amount {
  readonly slots: number
  readonly accelerators: number
}

export const NO_AMOUNT: Amount = { slots: 0, accelerators: 0 }

/**
 * The sum of two amounts, the second one taken `times` times.
 *
 * @example
 * addAmount({ slots: 1, accelerators: 8 }, { slots: 1, accelerators: 0 }, -1) // { slots: 0, accelerators: 8 }
 */
export function addAmount (first: Amount, second: Amount, times = 1): Amount {
  return { slots: first.slots + times * second.slots, accelerators: first.accelerators + times * second.accelerators }
}

/** The smaller of each of the two. */
export function leastAmount (first: Amount, second: Amount): Amount {
  return { slots: Math.min(first.slots, second.slots), accelerators: Math.min(first.accelerators, second.accelerators) }
}

/** True where the first amount holds the second. */
export function holdsAmount (first: Amount, second: Amount): boolean {
  return first.slots >= second.slots && first.accelerators >= second.accelerators
}

/** The sum over a list. */
export function sumAmounts (amounts: readonly Amount[]): Amount {
  return amounts.reduce((sum, amount) => addAmount(sum, amount), NO_AMOUNT)
}

/** The larger part of the two resources: the dominant share of `amount` in `whole`. */
export function dominantShare (amount: Amount, whole: Amount): number {
  const ofSlots = whole.slots === 0 ? 0 : amount.slots / whole.slots
  const ofAccelerators = whole.accelerators === 0 ? 0 : amount.accelerators / whole.accelerators
  return Math.max(ofSlots, ofAccelerators)
}
