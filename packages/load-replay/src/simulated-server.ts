/** A simulated backend server on the virtual clock. */
import type { ListedEnd, ListedRun, RunEnd, RunNumber, ServerEntry, TaskName } from '@cornelgauge/jobs'

/** A simulated run. */
export interface SimulatedRun {
  readonly task: TaskName
  readonly run: RunNumber
  /** Work that earlier runs of the task have saved, in milliseconds. */
  readonly savedWork: number
  /** Work left for this run, in milliseconds. */
  readonly remainingWork: number
  /** How the run ends unless it is stopped. */
  readonly plannedEnd: Extract<RunEnd, 'done' | 'failed'>
  /** Work after which the run ends in this way, in milliseconds. */
  readonly endsAfterWork: number
  /** When the run starts its work, which for a gang is when all members are present; Infinity until this is known. */
  workingSince: number
  /** Cores of its task, counting each accelerator as several. */
  readonly coreEquivalents: number
}

/**
 * Holds active runs and lists ended ones, as a backend server does.
 *
 * @example
 * server.end(run, 'done', '')
 * const ended = server.acknowledgeEnded(0)
 */
export class SimulatedServer {
  readonly entry: ServerEntry
  readonly slowness: number
  readonly runs = new Map<TaskName, SimulatedRun>()
  #ended: ListedEnd[] = []
  #endCount = 0

  constructor (entry: ServerEntry, slowness: number) {
    this.entry = entry
    this.slowness = slowness
  }

  /** Ends a run, if it is active. */
  end (run: SimulatedRun, how: RunEnd, checkpoint: string): void {
    if (this.runs.get(run.task) !== run) return
    this.runs.delete(run.task)
    this.#endCount += 1
    this.#ended.push({ position: this.#endCount, task: run.task, run: run.run, how, checkpoint })
  }

  /** Removes ended runs up to a position, and returns the remaining ones. */
  acknowledgeEnded (acknowledgedPosition: number): readonly ListedEnd[] {
    this.#ended = this.#ended.filter(end => end.position > acknowledgedPosition)
    return this.#ended
  }

  listRunning (now: number): readonly ListedRun[] {
    return [...this.runs.values()].map(run => ({
      task: run.task,
      run: run.run,
      checkpoint: '',
      percent: Math.max(0, Math.min(99, Math.floor(100 * (run.savedWork + now - run.workingSince) / (run.remainingWork + run.savedWork))))
    }))
  }
}
