/** Bisection over levels of which every later one admits what an earlier one does. */

/** The result at the first level that has one, where every later level has one too. */
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
