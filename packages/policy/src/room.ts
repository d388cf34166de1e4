/**
 * The room on a backend server, as different jobs see it. All of them come from
 * the server's ledger, so a placement needs no look at single tasks.
 */
import { addAmount, leastAmount, NO_AMOUNT, type Amount } from './amount.js'
import { isOpen, type Server } from './capacity.js'

/** A view of a backend server's room. */
export type Room = (server: Server) => Amount

/** What no task uses. */
export function freeAmount ({ description, used }: Server): Amount {
  return { slots: description.slots - used.slots, accelerators: description.accelerators - used.accelerators }
}

/** For anything that can be reclaimed: all that is free and not claimed already. */
export function reclaimableRoom (server: Server): Amount {
  if (!isOpen(server)) return NO_AMOUNT
  const { description, used, claimed } = server
  return {
    slots: description.slots - used.slots - claimed.slots,
    accelerators: description.accelerators - used.accelerators - claimed.accelerators
  }
}

/** The same, but outside of idle guarantees and of reservations. */
export function commonRoom (server: Server): Amount {
  const { guaranteed, entitled, reserved } = server
  const room = reclaimableRoom(server)
  return {
    slots: room.slots - (guaranteed.slots - entitled.slots) - reserved.slots,
    accelerators: room.accelerators - (guaranteed.accelerators - entitled.accelerators) - reserved.accelerators
  }
}

/** What may be given to work that cannot be reclaimed, whether it is free now or not. */
export function pinnableAmount ({ description, guaranteed, pinned }: Server): Amount {
  return {
    slots: description.slots - guaranteed.slots - pinned.slots,
    accelerators: description.accelerators - guaranteed.accelerators - pinned.accelerators
  }
}

/** For urgent work that cannot be reclaimed: it passes reservations until they close. */
export function urgentRoom (server: Server): Amount {
  return leastAmount(reclaimableRoom(server), addAmount(pinnableAmount(server), server.closed, -1))
}

/** For what can be reclaimed, but outside of reservations. */
export function unreservedRoom (server: Server): Amount {
  return addAmount(reclaimableRoom(server), server.reserved, -1)
}

/** For what can be reclaimed: only what urgent work may not use, and nobody has reserved. */
export function lentRoom (server: Server): Amount {
  const room = unreservedRoom(server)
  return { ...room, slots: room.slots - Math.max(0, urgentRoom(server).slots) }
}

/** For other work that cannot be reclaimed. */
export function pinnedRoom (server: Server): Amount {
  return leastAmount(reclaimableRoom(server), addAmount(pinnableAmount(server), server.reserved, -1))
}

/** What an empty backend server gives. */
export function wholeAmount (server: Server): Amount {
  return !isOpen(server) ? NO_AMOUNT : server.description
}
