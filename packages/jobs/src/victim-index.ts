/** Indexes running groups by backend server, so that a search doesn't examine all of them for each one. */
import type { Capacity } from './capacity.js'
import type { ServerId } from './ids.js'
import type { VictimGroup } from './reclaim.js'
import type { RoundWork } from './round-work.js'

/** The members of a group on one backend server. */
export interface GroupShare {
  readonly group: VictimGroup
  /** What stopping the group frees there. */
  readonly need: Capacity
}

/**
 * Running groups by backend server, the cheapest first.
 *
 * @example
 * const shares = new VictimIndex(groups, work).at(server.id)
 */
export class VictimIndex {
  readonly #shares = new Map<ServerId, GroupShare[]>()

  constructor (groups: readonly VictimGroup[], work: RoundWork) {
    for (const group of groups) {
      work.add(group.members.length)
      for (const { server, need } of group.needs) {
        const shares = this.#shares.get(server)
        if (shares === undefined) this.#shares.set(server, [{ group, need }])
        else shares.push({ group, need })
      }
    }
    for (const shares of this.#shares.values()) shares.sort((left, right) => left.group.cost - right.group.cost)
  }

  /** Returns the groups on a backend server. */
  at (server: ServerId): readonly GroupShare[] {
    return this.#shares.get(server) ?? []
  }

  /** Removes a group that is being stopped. */
  remove (group: VictimGroup): void {
    for (const { server } of group.needs) this.#shares.set(server, this.at(server).filter(share => share.group !== group))
  }
}
