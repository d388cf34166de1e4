/**
 * Guarantees: each guaranteed shape has members set aside for it on the backend servers.
 * Jobs that can't be preempted are not placed in guarantees of other workspaces, so
 * every job that runs in a lent guarantee can be preempted within the reclaim bound.
 */
import type { PlacementMember, RequestId, Shape, WorkspaceName } from '@cornelgauge/model'
import { addAmount, type Amount } from './amount.js'
import { addAllocation, allServers, arrangeServers, compareNames, emptyServer, findServer, isOpen, type Capacity, type Server } from './capacity.js'
import { place, roomByRack } from './placement.js'
import { shapeKey } from './queue.js'
import { pinnableAmount, type RoomView } from './room.js'
import type { PolicySettings, ServerDescription } from './interface.js'

/** One guaranteed shape, and the members set aside for it. */
export interface Guarantee {
  readonly id: string
  readonly workspace: WorkspaceName
  readonly shape: Shape
  readonly members: readonly PlacementMember[]
  /** Jobs of the workspace that run inside the guarantee. */
  readonly occupants: readonly RequestId[]
}

/** A guaranteed shape for which there is no capacity at present. */
export interface UnmetGuarantee {
  readonly workspace: WorkspaceName
  readonly shape: Shape
}

/** All guarantees of the cell. */
export interface Guarantees {
  readonly byId: ReadonlyMap<string, Guarantee>
  readonly byWorkspace: ReadonlyMap<WorkspaceName, readonly string[]>
  readonly unmet: readonly UnmetGuarantee[]
  /** True if backend servers or settings have changed since the guarantees were laid out. */
  readonly stale: boolean
}

export const NO_GUARANTEES: Guarantees = { byId: new Map(), byWorkspace: new Map(), unmet: [], stale: true }

/** A running job's shape and members. A guarantee of the same workspace and shape can be laid out on them. */
export interface RunningPlacement {
  readonly id: RequestId
  readonly workspace: WorkspaceName
  readonly shape: Shape
  readonly members: readonly PlacementMember[]
}

interface DeclaredGuarantee extends UnmetGuarantee {
  readonly id: string
}

/** True if two shapes request the same capacity. */
export function isSameShape (first: Shape, second: Shape): boolean {
  return shapeKey(first) === shapeKey(second)
}

/** Returns the guaranteed shapes of the settings, the largest first. */
function declaredGuarantees (settings: PolicySettings): readonly DeclaredGuarantee[] {
  const wanted = settings.workspaces.flatMap(workspace => workspace.guarantees.flatMap(({ shape, count }) =>
    Array.from({ length: count }, (_, index): DeclaredGuarantee =>
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

/** Guarantees, and the capacity in which they are allocated. */
export interface Layout {
  readonly capacity: Capacity
  readonly guarantees: Guarantees
}

/**
 * Chooses members for all guarantees. A guarantee keeps its members while all their
 * backend servers are open. Any other gets the members of a running job of the same
 * workspace and shape, else members free of pinned jobs, else any members outside the
 * other guarantees.
 */
export function layOutGuarantees (settings: PolicySettings, before: Guarantees, capacity: Capacity, running: readonly RunningPlacement[]): Layout {
  let current = arrangeServers(allServers(capacity).map(server => ({ ...server, guaranteed: { slots: 0, accelerators: 0 } })))
  const byId = new Map<string, Guarantee>()
  const unmet: UnmetGuarantee[] = []
  const declared = declaredGuarantees(settings)
  const add = (guarantee: Guarantee): void => {
    byId.set(guarantee.id, guarantee)
    current = addAllocation(current, 'guaranteed', guarantee.members, 1)
  }
  for (const { id } of declared) {
    const guarantee = before.byId.get(id)
    if (guarantee !== undefined && areMembersAvailable(current, guarantee.members)) add(guarantee)
  }
  const occupantIds = new Set([...byId.values()].flatMap(guarantee => guarantee.occupants))
  const unplaced = [...running].filter(({ id }) => !occupantIds.has(id)).sort((first, second) => compareNames(first.id, second.id))
  for (const { id, workspace, shape } of declared) {
    if (byId.has(id)) continue
    const found = unplaced.findIndex(candidate => candidate.workspace === workspace &&
      isSameShape(candidate.shape, shape) && areMembersAvailable(current, candidate.members))
    const occupant = found < 0 ? undefined : unplaced.splice(found, 1)[0]
    const members = occupant?.members ?? findMembers(current, shape)
    if (members === undefined) unmet.push({ workspace, shape })
    else add({ id, workspace, shape, members, occupants: occupant === undefined ? [] : [occupant.id] })
  }
  return { capacity: current, guarantees: { byId, byWorkspace: groupByWorkspace(byId), unmet, stale: false } }
}

function findMembers (capacity: Capacity, shape: Shape): readonly PlacementMember[] | undefined {
  const rooms: readonly RoomView[] = [unpinnedRoom, guaranteeRoom]
  for (const room of rooms) {
    const members = place(roomByRack(capacity, room), shape, 'best-fit')
    if (members !== undefined) return members
  }
  return undefined
}

function areMembersAvailable (capacity: Capacity, members: readonly PlacementMember[]): boolean {
  return members.every(member => {
    const server = findServer(capacity, member.server)
    if (server === undefined || !isOpen(server)) return false
    const room = guaranteeRoom(server)
    return room.slots >= member.slots && room.accelerators >= member.accelerators
  })
}

function groupByWorkspace (byId: ReadonlyMap<string, Guarantee>): ReadonlyMap<WorkspaceName, readonly string[]> {
  const groups = new Map<WorkspaceName, string[]>()
  for (const guarantee of [...byId.values()].sort((first, second) => compareNames(first.id, second.id))) {
    groups.set(guarantee.workspace, [...groups.get(guarantee.workspace) ?? [], guarantee.id])
  }
  return groups
}

/** Returns the guarantees with one of them replaced. */
export function replaceGuarantee (guarantees: Guarantees, guarantee: Guarantee): Guarantees {
  return { ...guarantees, byId: new Map(guarantees.byId).set(guarantee.id, guarantee) }
}

/**
 * Returns the guaranteed shapes of the settings that don't fit on these backend servers
 * together with the others. A document with unmet guarantees has to be refused.
 *
 * @example
 * unmetGuarantees(settings, servers).map(({ workspace }) => workspace) // []
 */
export function unmetGuarantees (settings: PolicySettings, servers: readonly ServerDescription[]): readonly UnmetGuarantee[] {
  return layOutGuarantees(settings, NO_GUARANTEES, arrangeServers(servers.map(emptyServer)), []).guarantees.unmet
}
