/** A set of numbered tasks as bits: a task that is in no other collection costs one bit. */

const BITS = 8
const FULL_BYTE = 0xff
/** Bytes up to which a list takes less memory than an array of bytes. */
const SMALL_SET_BYTES = 8

/**
 * Numbers from 0 up to a limit. No memory is taken before the first one is added.
 *
 * @example
 * const done = new TaskSet(100_000)
 * done.add(7)
 * done.nextAbsent(7) // 8
 */
export class TaskSet implements Iterable<number> {
  readonly #limit: number
  #bytes: Uint8Array | number[] | undefined
  #size = 0

  /** All numbers are below `limit`. */
  constructor (limit: number) {
    this.#limit = limit
  }

  get size (): number {
    return this.#size
  }

  /** Adds a number. False if it is in the set already, or isn't below the limit. */
  add (number: number): boolean {
    if (number >= this.#limit || this.has(number)) return false
    this.#bytes ??= emptyBytes(Math.ceil(this.#limit / BITS))
    this.#bytes[Math.floor(number / BITS)]! |= 1 << (number % BITS)
    this.#size += 1
    return true
  }

  /** Removes a number. False if it isn't in the set. */
  delete (number: number): boolean {
    if (!this.has(number)) return false
    this.#bytes![Math.floor(number / BITS)]! &= ~(1 << (number % BITS))
    this.#size -= 1
    return true
  }

  has (number: number): boolean {
    return ((this.#bytes?.[Math.floor(number / BITS)] ?? 0) & (1 << (number % BITS))) !== 0
  }

  /** Counts the members from `start` up to `end`, which is excluded. */
  countWithin (start: number, end: number): number {
    let count = 0
    if (this.#bytes !== undefined) for (let number = start; number < end; number += 1) if (this.has(number)) count += 1
    return count
  }

  /** Returns the lowest number from `start` on that isn't in the set; the limit if there is none. */
  nextAbsent (start: number): number {
    let number = start
    while (number < this.#limit && this.has(number)) {
      const isAtFullByte = number % BITS === 0 && this.#bytes![number / BITS] === FULL_BYTE
      number += isAtFullByte ? BITS : 1
    }
    return Math.min(number, this.#limit)
  }

  /** The members, in ascending order. */
  * [Symbol.iterator] (): Iterator<number> {
    for (const [index, byte] of (this.#bytes ?? []).entries()) {
      if (byte === 0) continue
      for (let bit = 0; bit < BITS; bit += 1) if ((byte & (1 << bit)) !== 0) yield BITS * index + bit
    }
  }
}

function emptyBytes (length: number): Uint8Array | number[] {
  return length <= SMALL_SET_BYTES ? Array.from({ length }, () => 0) : new Uint8Array(length)
}
