/**
 * An index of runs by backend server, so that handling a server's report takes time in
 * proportion to the runs on that server and not to all runs of the cell.
 */
import type { BackendServerName, RequestId } from '@cornelgauge/model'
import { Map as ImmutableMap, Set as ImmutableSet } from 'immutable'
import type { Run } from './state.js'

/** For each backend server, the ids of the runs with a member there. */
export type RunIndex = ImmutableMap<BackendServerName, ImmutableSet<RequestId>>

/** Builds the index of some runs. */
export function indexRuns (runs: Iterable<Run>): RunIndex {
  let index: RunIndex = ImmutableMap()
  for (const run of runs) index = indexRun(index, run)
  return index
}

/** Adds a run to the index. */
export function indexRun (index: RunIndex, run: Run): RunIndex {
  return index.withMutations(changed => {
    for (const server of run.members.keys()) changed.update(server, ImmutableSet(), ids => ids.add(run.id))
  })
}

/** Removes a run from the index. */
export function unindexRun (index: RunIndex, run: Run): RunIndex {
  return index.withMutations(changed => {
    for (const server of run.members.keys()) removeRun(changed, server, run.id)
  })
}

/** Returns the ids of the runs with a member on a backend server. */
export function runsOn (index: RunIndex, server: BackendServerName): readonly RequestId[] {
  return index.get(server)?.toArray() ?? []
}

function removeRun (index: RunIndex, server: BackendServerName, id: RequestId): void {
  const remaining = index.get(server)?.delete(id)
  if (remaining === undefined || remaining.isEmpty()) index.delete(server)
  else index.set(server, remaining)
}
