/**
 * The runs by backend server, so that what one server says costs as much as it
 * runs, and not as much as the whole cell does.
 */
import type { BackendServerName, RequestId } from '@cornelgauge/model'
import { Map as ImmutableMap, Set as ImmutableSet } from 'immutable'
import type { Run } from './state.js'

/** Ids of the runs with a member on each backend server. */
export type RunIndex = ImmutableMap<BackendServerName, ImmutableSet<RequestId>>

/** The index of these runs. */
export function indexRuns (runs: Iterable<Run>): RunIndex {
  let index: RunIndex = ImmutableMap()
  for (const run of runs) index = indexRun(index, run)
  return index
}

/** The index with one more run. */
export function indexRun (index: RunIndex, run: Run): RunIndex {
  return index.withMutations(changed => {
    for (const server of run.members.keys()) changed.update(server, ImmutableSet(), ids => ids.add(run.id))
  })
}

/** The index without a run. */
export function unindexRun (index: RunIndex, run: Run): RunIndex {
  return index.withMutations(changed => {
    for (const server of run.members.keys()) removeRun(changed, server, run.id)
  })
}

/** Ids of the runs with a member on a backend server. */
export function runsOn (index: RunIndex, server: BackendServerName): readonly RequestId[] {
  return index.get(server)?.toArray() ?? []
}

function removeRun (index: RunIndex, server: BackendServerName, id: RequestId): void {
  const left = index.get(server)?.delete(id)
  if (left === undefined || left.isEmpty()) index.delete(server)
  else index.set(server, left)
}
