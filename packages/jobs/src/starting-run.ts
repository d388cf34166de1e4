/** The state of a run whose start is sent. */
import { countedNeed } from './capacity-snapshot.js'
import type { RunNumber } from './ids.js'
import type { Run, Server } from './server.js'
import type { TaskState } from './task-state.js'

/**
 * Creates the run of a task that is started on the current incarnation of a backend server.
 *
 * @example
 * server.add(startingRun(task, server, state.nextRun(), now))
 */
export function startingRun (task: TaskState, { id, entry }: Server, run: RunNumber, now: number, isolatedUntil?: number): Run {
  return {
    task: task.name,
    run,
    server: id,
    address: entry.address,
    incarnation: entry.incarnation,
    need: countedNeed(task.step),
    step: task.step,
    state: 'starting',
    ...(task.readySince === undefined ? {} : { readySince: task.readySince }),
    startSentAt: now,
    confirmedAt: Infinity,
    isStopConfirmed: false,
    stopConfirmedAt: Infinity,
    percent: 0,
    progressedAt: now,
    checkpoint: '',
    stopSentAt: -Infinity,
    ...(isolatedUntil === undefined ? {} : { isolatedUntil })
  }
}
