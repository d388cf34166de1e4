/** Counts the work of a call independently of the speed of the machine. */

type Iterate = (this: unknown) => IterableIterator<unknown>

const METERED: readonly (readonly [object, readonly (string | symbol)[]])[] = [
  [Map.prototype, ['entries', 'keys', 'values', Symbol.iterator]],
  [Set.prototype, ['entries', 'keys', 'values', Symbol.iterator]]
]

/**
 * Counts the entries of maps and sets that are read one after the other while a function runs.
 *
 * @example
 * entriesRead(() => world.round())
 */
export function entriesRead (work: () => unknown): number {
  let count = 0
  const restore: (() => void)[] = []
  for (const [prototype, names] of METERED) {
    for (const name of names) {
      const descriptor = Object.getOwnPropertyDescriptor(prototype, name)!
      const iterate = descriptor.value as Iterate
      const metered = function (this: unknown): IterableIterator<unknown> {
        const iterator = iterate.call(this)
        const next = iterator.next.bind(iterator)
        iterator.next = () => {
          const result = next()
          if (result.done !== true) count += 1
          return result
        }
        return iterator
      }
      Object.defineProperty(prototype, name, { ...descriptor, value: metered })
      restore.push(() => Object.defineProperty(prototype, name, descriptor))
    }
  }
  try {
    work()
  } finally {
    for (const each of restore) each()
  }
  return count
}
