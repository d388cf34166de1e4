/**
 * Room: the capacity of a backend server that is available to a class of jobs. All
 * views are computed from the server's allocation totals, so that a placement
 * doesn't have to iterate over tasks.
 */
import { addAmount, minimumAmount, NO_AMOUNT, type Amount } from './amount.js'
import { isOpen, type Server } from './capacity.js'

/** Computes the capacity of a backend server that is available to some class of job. */
export type RoomView = (server: Server) => Amount

/** Returns the capacity that no task uses. */
export function freeAmount ({ description, used }: Server): Amount {
  return { slots: description.slots - used.slots, accelerators: description.accelerators - used.accelerators }
}

/** For reclaimable jobs: all free capacity that is not claimed. */
export function reclaimableRoom (server: Server): Amount {
  if (!isOpen(server)) return NO_AMOUNT
  const { description, used, claimed } = server
  return {
    slots: description.slots - used.slots - claimed.slots,
    accelerators: description.accelerators - used.accelerators - claimed.accelerators
  }
}

/** For reclaimable jobs, outside of idle guarantees and reservations. */
export function unguaranteedRoom (server: Server): Amount {
  const { guaranteed, entitled, reserved } = server
  const room = reclaimableRoom(server)
  return {
    slots: room.slots - (guaranteed.slots - entitled.slots) - reserved.slots,
    accelerators: room.accelerators - (guaranteed.accelerators - entitled.accelerators) - reserved.accelerators
  }
}

/**
 * Returns the capacity that further non-reclaimable jobs may use: all outside
 * guarantees and other such jobs, whether it is free now or not.
 */
export function pinnableAmount ({ description, guaranteed, pinned }: Server): Amount {
  return {
    slots: description.slots - guaranteed.slots - pinned.slots,
    accelerators: description.accelerators - guaranteed.accelerators - pinned.accelerators
  }
}

/** For urgent jobs that are not reclaimable: they may use reserved capacity, unless the reservation is exclusive. */
export function urgentRoom (server: Server): Amount {
  return minimumAmount(reclaimableRoom(server), addAmount(pinnableAmount(server), server.exclusive, -1))
}

/** For reclaimable jobs, outside of reservations. */
export function unreservedRoom (server: Server): Amount {
  return addAmount(reclaimableRoom(server), server.reserved, -1)
}

/** For reclaimable jobs: only the slots that are not reserved and that urgent work may not use. */
export function nonUrgentRoom (server: Server): Amount {
  const room = unreservedRoom(server)
  return { ...room, slots: room.slots - Math.max(0, urgentRoom(server).slots) }
}

/** For other jobs that are not reclaimable. */
export function pinnedRoom (server: Server): Amount {
  return minimumAmount(reclaimableRoom(server), addAmount(pinnableAmount(server), server.reserved, -1))
}

/** Returns the full capacity of a backend server, as if nothing ran there. */
export function totalRoom (server: Server): Amount {
  return !isOpen(server) ? NO_AMOUNT : server.description
}
