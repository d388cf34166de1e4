/**
 * A persistent leftist heap: `push` and `pop` return new heaps in logarithmic time
 * and leave the old ones unchanged. As long as `before` is a total order, items are
 * popped in an order that doesn't depend on the order in which they were pushed.
 */

/** A heap; the empty one is `undefined`. */
export type Heap<Item> = HeapNode<Item> | undefined

/** A node, which holds the smallest item of its subtree. */
export interface HeapNode<Item> {
  readonly item: Item
  readonly rank: number
  readonly left: Heap<Item>
  readonly right: Heap<Item>
}

/** True if the first item comes before the second. */
export type Before<Item> = (first: Item, second: Item) => boolean

function makeNode<Item> (item: Item, first: Heap<Item>, second: Heap<Item>): HeapNode<Item> {
  const firstRank = first?.rank ?? 0
  const secondRank = second?.rank ?? 0
  return firstRank >= secondRank
    ? { item, rank: secondRank + 1, left: first, right: second }
    : { item, rank: firstRank + 1, left: second, right: first }
}

function merge<Item> (first: Heap<Item>, second: Heap<Item>, before: Before<Item>): Heap<Item> {
  if (first === undefined) return second
  if (second === undefined) return first
  return before(second.item, first.item)
    ? makeNode(second.item, second.left, merge(first, second.right, before))
    : makeNode(first.item, first.left, merge(first.right, second, before))
}

/**
 * Returns the heap with one more item.
 *
 * @example
 * push(undefined, 2, (first, second) => first < second)?.item // 2
 */
export function push<Item> (heap: Heap<Item>, item: Item, before: Before<Item>): Heap<Item> {
  return merge(heap, { item, rank: 1, left: undefined, right: undefined }, before)
}

/**
 * Returns the heap without its first item.
 *
 * @example
 * pop(push(undefined, 2, isLess), isLess) // undefined
 */
export function pop<Item> (heap: HeapNode<Item>, before: Before<Item>): Heap<Item> {
  return merge(heap.left, heap.right, before)
}
