/**
 * Binary search over levels, for a monotonic condition: if it succeeds at a level,
 * it succeeds at every later one.
 */

/** Returns the result at the first level where the search succeeds, or `undefined` if it fails at all levels. */
export function bisect<Found> (levels: readonly number[], search: (level: number) => Found | undefined): Found | undefined {
  let best: Found | undefined
  let low = 0
  let high = levels.length
  while (low < high) {
    const middle = (low + high) >> 1
    const found = search(levels[middle] as number)
    if (found === undefined) {
      low = middle + 1
    } else {
      best = found
      high = middle
    }
  }
  return best
}
