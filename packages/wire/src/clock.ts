/**
 * The logical clock that the frames carry. Its owner is whoever orders the events
 * of a process; this package only ticks it at each frame sent and lets it witness
 * each frame received from an authenticated peer.
 */
export interface LogicalClock {
  /** Counts one event and gives its logical time. */
  tick (): number
  /** Raises the clock to at least the logical time that a peer has sent. */
  witness (logicalTime: number): void
}
