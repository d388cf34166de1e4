/** A set whose members have a rank, to read those with the highest ranks without the others. */

/**
 * Members by rank, a small number; those of the same rank in the order in which they came to it.
 *
 * @example
 * const ranked = new RankedSet<number>()
 * ranked.set(7, 2)
 * ranked.highest(10) // [7]
 */
export class RankedSet<Member> {
  readonly #ranks = new Map<Member, number>()
  readonly #byRank = new Map<number, Set<Member>>()

  /** Adds a member, or changes its rank. */
  set (member: Member, rank: number): void {
    if (this.#ranks.get(member) === rank) return
    this.delete(member)
    this.#ranks.set(member, rank)
    const others = this.#byRank.get(rank)
    if (others === undefined) this.#byRank.set(rank, new Set([member]))
    else others.add(member)
  }

  delete (member: Member): void {
    const rank = this.#ranks.get(member)
    if (rank === undefined) return
    this.#ranks.delete(member)
    const others = this.#byRank.get(rank)!
    others.delete(member)
    if (others.size === 0) this.#byRank.delete(rank)
  }

  /** Returns so many members with the highest ranks, or all if there are fewer. */
  highest (limit: number): readonly Member[] {
    const members: Member[] = []
    for (const rank of [...this.#byRank.keys()].sort((left, right) => right - left)) {
      for (const member of this.#byRank.get(rank)!) {
        if (members.length >= limit) return members
        members.push(member)
      }
    }
    return members
  }
}
