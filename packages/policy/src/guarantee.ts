/**
 * Guarantees: each guaranteed shape has a hold, a fixed place of its own on the
 * backend servers. Work that cannot be reclaimed stays out of the holds of others,
 * so whatever runs in an idle hold can be sent away within the reclaim bound.
 */
import type { Member, RequestId, Shape, WorkspaceName } from '@cornelgauge/model'
import { addAmount, type Amount } from './amount.js'
import { allServers, arrangeServers, compareNames, emptyServer, enter, findServer, isOpen, type Capacity, type Server } from './capacity.js'
import { place, spotsOf } from './placement.js'
import { shapeKey } from './queue.js'
import { pinnableAmount, type Room } from './room.js'
import type { PolicySettings, ServerDescription } from './scheduler.js'

/** The place of one guaranteed shape. */
export interface Hold {
  readonly id: string
  readonly workspace: WorkspaceName
  readonly shape: Shape
  readonly members: readonly Member[]
  /** Running jobs of the workspace inside the hold. */
  readonly occupants: readonly RequestId[]
}

/** A guaranteed shape that has no place at the moment. */
export interface UnmetGuarantee {
  readonly workspace: WorkspaceName
  readonly shape: Shape
}

/** All holds. */
export interface Guarantees {
  readonly holds: ReadonlyMap<string, Hold>
  readonly byWorkspace: ReadonlyMap<WorkspaceName, readonly string[]>
  readonly unmet: readonly UnmetGuarantee[]
  /** Backend servers or settings have changed since the holds were laid out. */
  readonly stale: boolean
}

export const NO_GUARANTEES: Guarantees = { holds: new Map(), byWorkspace: new Map(), unmet: [], stale: true }

/** Where the running job of a workspace already stands in the very shape. */
export interface Standing {
  readonly id: RequestId
  readonly workspace: WorkspaceName
  readonly shape: Shape
  readonly members: readonly Member[]
}

interface Wanted extends UnmetGuarantee {
  readonly id: string
}

/** True of two shapes that ask for the same. */
export function isSameShape (first: Shape, second: Shape): boolean {
  return shapeKey(first) === shapeKey(second)
}

/** The guaranteed shapes of a document, the largest first. */
function wantedShapes (settings: PolicySettings): readonly Wanted[] {
  const wanted = settings.workspaces.flatMap(workspace => workspace.guarantees.flatMap(({ shape, count }) =>
    Array.from({ length: count }, (_, index): Wanted =>
      ({ id: `${workspace.name}/${shapeKey(shape)}/${index}`, workspace: workspace.name, shape }))))
  return wanted.sort((first, second) => second.shape.accelerators - first.shape.accelerators ||
    second.shape.slots - first.shape.slots || compareNames(first.id, second.id))
}

function guaranteeRoom (server: Server): Amount {
  return !isOpen(server) ? { slots: 0, accelerators: 0 } : addAmount(server.description, server.guaranteed, -1)
}

function unpinnedRoom (server: Server): Amount {
  return !isOpen(server) ? { slots: 0, accelerators: 0 } : pinnableAmount(server)
}

/** The capacity and its holds, laid out together. */
export interface Layout {
  readonly capacity: Capacity
  readonly guarantees: Guarantees
}

/**
 * Lays out the holds. A hold whose backend servers are all there stays where it
 * is; any other gets the place of a running job of its workspace and shape, else a
 * place that no pinned work stands on, else any place outside the other holds.
 */
export function layOutGuarantees (settings: PolicySettings, before: Guarantees, capacity: Capacity, standing: readonly Standing[]): Layout {
  let current = arrangeServers(allServers(capacity).map(server => ({ ...server, guaranteed: { slots: 0, accelerators: 0 } })))
  const holds = new Map<string, Hold>()
  const unmet: UnmetGuarantee[] = []
  const wanted = wantedShapes(settings)
  const keep = (hold: Hold): void => {
    holds.set(hold.id, hold)
    current = enter(current, 'guaranteed', hold.members, 1)
  }
  for (const { id } of wanted) {
    const hold = before.holds.get(id)
    if (hold !== undefined && isWhole(current, hold.members)) keep(hold)
  }
  const settled = new Set([...holds.values()].flatMap(hold => hold.occupants))
  const homeless = [...standing].filter(({ id }) => !settled.has(id)).sort((first, second) => compareNames(first.id, second.id))
  for (const { id, workspace, shape } of wanted) {
    if (holds.has(id)) continue
    const found = homeless.findIndex(candidate => candidate.workspace === workspace &&
      isSameShape(candidate.shape, shape) && isWhole(current, candidate.members))
    const occupant = found < 0 ? undefined : homeless.splice(found, 1)[0]
    const members = occupant?.members ?? findHome(current, shape)
    if (members === undefined) unmet.push({ workspace, shape })
    else keep({ id, workspace, shape, members, occupants: occupant === undefined ? [] : [occupant.id] })
  }
  return { capacity: current, guarantees: { holds, byWorkspace: groupHolds(holds), unmet, stale: false } }
}

function findHome (capacity: Capacity, shape: Shape): readonly Member[] | undefined {
  const rooms: readonly Room[] = [unpinnedRoom, guaranteeRoom]
  for (const room of rooms) {
    const members = place(spotsOf(capacity, room), shape, 'best-fit')
    if (members !== undefined) return members
  }
  return undefined
}

function isWhole (capacity: Capacity, members: readonly Member[]): boolean {
  return members.every(member => {
    const server = findServer(capacity, member.server)
    if (server === undefined || !isOpen(server)) return false
    const room = guaranteeRoom(server)
    return room.slots >= member.slots && room.accelerators >= member.accelerators
  })
}

function groupHolds (holds: ReadonlyMap<string, Hold>): ReadonlyMap<WorkspaceName, readonly string[]> {
  const groups = new Map<WorkspaceName, string[]>()
  for (const hold of [...holds.values()].sort((first, second) => compareNames(first.id, second.id))) {
    groups.set(hold.workspace, [...groups.get(hold.workspace) ?? [], hold.id])
  }
  return groups
}

/** The guarantees with one hold changed. */
export function replaceHold (guarantees: Guarantees, hold: Hold): Guarantees {
  return { ...guarantees, holds: new Map(guarantees.holds).set(hold.id, hold) }
}

/**
 * The guaranteed shapes of a document that these backend servers cannot give all
 * together; a document with any is to be refused.
 *
 * @example
 * unmetGuarantees(settings, servers).map(({ workspace }) => workspace) // []
 */
export function unmetGuarantees (settings: PolicySettings, servers: readonly ServerDescription[]): readonly UnmetGuarantee[] {
  return layOutGuarantees(settings, NO_GUARANTEES, arrangeServers(servers.map(emptyServer)), []).guarantees.unmet
}
