/** A set of numbered tasks as bits, of which a hundred thousand fit a row of the store. */

/**
 * Encodes the numbers of a set as bits in base64.
 *
 * @example
 * encodeBits([0, 9]) // 'AQI='
 */
export function encodeBits (numbers: Iterable<number>): string {
  const bytes: number[] = []
  for (const number of numbers) {
    const index = number >> 3
    while (bytes.length <= index) bytes.push(0)
    bytes[index]! |= 1 << (number & 7)
  }
  return Buffer.from(bytes).toString('base64')
}

/**
 * Decodes the numbers of a set, in ascending order.
 *
 * @example
 * [...decodeBits('AQI=')] // [0, 9]
 */
export function * decodeBits (text: string): Iterable<number> {
  for (const [index, byte] of Buffer.from(text, 'base64').entries()) {
    for (let bit = 0; bit < 8; bit += 1) if ((byte & (1 << bit)) !== 0) yield 8 * index + bit
  }
}
