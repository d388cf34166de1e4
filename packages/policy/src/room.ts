/**
 * The room on a backend server, as different jobs see it. All of them come from
 * the server's ledger, so a placement needs no look at single tasks.
 */
import { addAmount, leastAmount, NO_AMOUNT, type Amount } from './amount.js'
import type { Server } from './capacity.js'

/** A view of a backend server's room. */
export type Room = (server: Server) => Amount

/** What no task uses. */
export function freeAmount (server: Server): Amount {
  return addAmount(server.description, server.used, -1)
}

/** For anything that can be reclaimed: all that is free and not claimed already. */
export function reclaimableRoom (server: Server): Amount {
  return server.leaving ? NO_AMOUNT : addAmount(freeAmount(server), server.claimed, -1)
}

/** The same, but outside of idle guarantees and of reservations. */
export function commonRoom (server: Server): Amount {
  const idleGuarantee = addAmount(server.guaranteed, server.entitled, -1)
  return addAmount(addAmount(reclaimableRoom(server), idleGuarantee, -1), server.reserved, -1)
}

/** What may be given to work that cannot be reclaimed, whether it is free now or not. */
export function pinnableAmount (server: Server): Amount {
  return addAmount(addAmount(server.description, server.guaranteed, -1), server.pinned, -1)
}

/** For urgent work that cannot be reclaimed: it passes reservations until they close. */
export function urgentRoom (server: Server): Amount {
  return leastAmount(reclaimableRoom(server), addAmount(pinnableAmount(server), server.closed, -1))
}

/** For other work that cannot be reclaimed. */
export function pinnedRoom (server: Server): Amount {
  return leastAmount(reclaimableRoom(server), addAmount(pinnableAmount(server), server.reserved, -1))
}

/** What an empty backend server gives. */
export function wholeAmount (server: Server): Amount {
  return server.leaving ? NO_AMOUNT : server.description
}
