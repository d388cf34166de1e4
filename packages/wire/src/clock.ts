/**
 * The logical clock (Lamport clock) of a process, whose time each frame carries. This
 * package ticks it for each frame sent and advances it by each frame received from an
 * authenticated peer; other parts of the process use it to order their events.
 */
export interface LogicalClock {
  /** Advances the clock by one event and returns the time of that event. */
  tick (): number
  /** Advances the clock to at least the logical time received from a peer. */
  witness (logicalTime: number): void
}
