/**
 * Decides how a VM goes on with the write of a hand-in or a cancellation while the store fails. The load: all callers of
 * some seconds in which the store, or the way of one VM to it, is away, each with its own deadline.
 */

/** The most that the attempts so far may have done: `undone` if none can have been carried out, now or later. */
export type WriteOutcomeSoFar = 'undone' | 'unknown'

/** What a VM knows of a write and of the store. */
export interface WriteKnowledge {
  readonly outcome: WriteOutcomeSoFar
  /** The store's calls from this VM fail at the moment. */
  readonly isStoreAway: boolean
  /** Milliseconds within which attempts may still begin: until the caller's deadline, less the time of an attempt, or as long as refused ones are repeated. */
  readonly millisecondsLeft: Readonly<Record<WriteOutcomeSoFar, number>>
  /** The write hasn't been relayed yet, and another VM reaches the store. */
  readonly canRelay: boolean
}

/**
 * - `attempt`: reads the row back if the outcome is unknown, and writes it on condition that it doesn't exist.
 * - `relay`: another VM carries out the write.
 * - `refuse`: answers at once that nothing was stored or will be.
 * - `report-unknown`: answers that the outcome can't be determined by the deadline.
 */
export type WriteStep = 'attempt' | 'relay' | 'refuse' | 'report-unknown'

/** State of a write's prospects: `late` if no attempt is worthwhile any more. */
type Prospect = 'open' | 'away' | 'late'

/**
 * What follows without another VM. While the store is away, a write of which nothing was carried out isn't begun: it may
 * be delivered after the caller was refused. A write that may have been carried out is read back until the deadline, since
 * no other answer than its outcome helps its caller.
 */
const STEPS: Readonly<Record<WriteOutcomeSoFar, Readonly<Record<Prospect, WriteStep>>>> = {
  undone: { open: 'attempt', away: 'refuse', late: 'refuse' },
  unknown: { open: 'attempt', away: 'attempt', late: 'report-unknown' }
}

/**
 * Returns the next step for a write. The write is relayed before anything is given up, and also while the store is away.
 *
 * @example
 * nextWriteStep({ outcome: 'undone', isStoreAway: true, millisecondsLeft: { undone: 250, unknown: 2000 }, canRelay: false }) // 'refuse'
 */
export function nextWriteStep (knowledge: WriteKnowledge): WriteStep {
  const { outcome, canRelay } = knowledge
  const prospect = prospectOf(knowledge)
  return canRelay && prospect !== 'open' ? 'relay' : STEPS[outcome][prospect]
}

function prospectOf ({ outcome, isStoreAway, millisecondsLeft }: WriteKnowledge): Prospect {
  if (millisecondsLeft[outcome] <= 0) return 'late'
  return isStoreAway ? 'away' : 'open'
}
