/** Collects the parts of a body in one buffer that grows with what has arrived. */

const FIRST_BYTES = 1024

/**
 * A growing buffer. Parts are copied: a part kept as it came would hold the whole read buffer that it is a view of.
 *
 * @example
 * const buffer = new BodyBuffer(262_144)
 * buffer.append(part)
 * const text = buffer.toText()
 */
export class BodyBuffer {
  readonly #maximumBytes: number
  #content = Buffer.alloc(0)
  #bytes = 0

  constructor (maximumBytes: number) {
    this.#maximumBytes = maximumBytes
  }

  /** Memory taken up, in bytes. */
  get heldBytes (): number {
    return this.#content.buffer.byteLength
  }

  /** Adds a part; returns false, and keeps nothing of it, if the body is then over its maximum. */
  append (part: Uint8Array): boolean {
    const bytes = this.#bytes + part.length
    if (bytes > this.#maximumBytes) return false
    if (bytes > this.#content.length) this.#grow(bytes)
    this.#content.set(part, this.#bytes)
    this.#bytes = bytes
    return true
  }

  #grow (neededBytes: number): void {
    const doubled = Math.max(neededBytes, FIRST_BYTES, 2 * this.#content.length)
    // A buffer of its own: one from the shared pool would keep the pool's memory.
    const content = Buffer.allocUnsafeSlow(Math.min(doubled, this.#maximumBytes))
    content.set(this.#content.subarray(0, this.#bytes))
    this.#content = content
  }

  /** The text so far. */
  toText (): string {
    return this.#content.toString('utf8', 0, this.#bytes)
  }

  /** Drops what has arrived. */
  clear (): void {
    this.#content = Buffer.alloc(0)
    this.#bytes = 0
  }
}
