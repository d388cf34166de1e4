/**
 * Bounds the bytes of all bodies that a process holds. Answers a load of many bodies that stand
 * open: those that hold most for longest are given up, so that a body that arrives promptly is read.
 */

/** After giving up bodies, this share of the bound is in use, so that the next ones arrive without a new choice. */
const LOW_SHARE = 7 / 8

/** A body in the budget. */
export interface HeldBody {
  /** Sets the bytes that the body holds; may give up other bodies, or this one. */
  readonly resize: (bytes: number) => void
  /** The body is complete: its request may run, so it is not given up any more. */
  readonly complete: () => void
  /** Called when the body is given up. */
  onGivenUp: () => void
  /** Nothing is held any more. */
  readonly release: () => void
}

interface OpenBody {
  readonly held: HeldBody
  readonly openedAt: number
  bytes: number
}

/**
 * The bodies that are held.
 *
 * @example
 * const budget = new BodyBudget(() => 26_000_000, () => performance.now())
 * const held = budget.open()
 * held.resize(1024)
 */
export class BodyBudget {
  readonly #maximumBytes: () => number
  readonly #now: () => number
  readonly #onGivenUp: () => void
  /** Bodies that are not complete yet. */
  readonly #open = new Set<OpenBody>()
  #heldBytes = 0
  #givenUp = 0

  /** @param maximumBytes returns the bound; it is read anew each time */
  constructor (maximumBytes: () => number, now: () => number, onGivenUp = () => {}) {
    this.#maximumBytes = maximumBytes
    this.#now = now
    this.#onGivenUp = onGivenUp
  }

  /** Bytes held by all bodies. */
  get heldBytes (): number {
    return this.#heldBytes
  }

  /** Number of bodies given up so far. */
  get givenUp (): number {
    return this.#givenUp
  }

  /** Adds a body that holds nothing yet. */
  open (): HeldBody {
    const body: OpenBody = {
      openedAt: this.#now(),
      bytes: 0,
      held: {
        resize: bytes => this.#resize(body, bytes),
        complete: () => { this.#open.delete(body) },
        onGivenUp: () => {},
        release: () => this.#release(body)
      }
    }
    this.#open.add(body)
    return body.held
  }

  #resize (body: OpenBody, bytes: number): void {
    this.#heldBytes += bytes - body.bytes
    body.bytes = bytes
    const maximumBytes = this.#maximumBytes()
    if (this.#heldBytes > maximumBytes) this.#giveUpSome(maximumBytes)
  }

  #giveUpSome (maximumBytes: number): void {
    const now = this.#now()
    const cost = ({ bytes, openedAt }: OpenBody): number => bytes * (now - openedAt)
    const candidates = [...this.#open].filter(({ bytes }) => bytes > 0).sort((left, right) => cost(right) - cost(left))
    for (const body of candidates) {
      if (this.#heldBytes <= maximumBytes * LOW_SHARE) return
      this.#release(body)
      this.#givenUp += 1
      body.held.onGivenUp()
      this.#onGivenUp()
    }
  }

  #release (body: OpenBody): void {
    this.#heldBytes -= body.bytes
    body.bytes = 0
    this.#open.delete(body)
  }
}
