/** One backend server on the virtual clock: runs tasks for as long as they truly take. */
import type { ListedEnd, ListedRun, RunEnd, RunNumber, ServerEntry, TaskName } from '@cornelgauge/jobs'

/** One run. */
export interface SimulatedRun {
  readonly task: TaskName
  readonly run: RunNumber
  /** Milliseconds of its work that earlier runs have saved. */
  readonly savedBefore: number
  /** Its whole work here, in milliseconds. */
  readonly work: number
  /** How it ends if nobody stops it, and after how much of its work. */
  readonly ending: Extract<RunEnd, 'done' | 'failed'>
  readonly endsAfter: number
  /** When it began to work; a member of a gang waits for the others. */
  workingSince: number
  readonly coresUsed: number
}

/**
 * Holds runs and lists their ends, as a backend server does.
 *
 * @example
 * server.end(run, 'done', '')
 * const report = server.report(now)
 */
export class SimulatedServer {
  readonly entry: ServerEntry
  readonly slowness: number
  readonly runs = new Map<TaskName, SimulatedRun>()
  #ended: ListedEnd[] = []
  #ends = 0

  constructor (entry: ServerEntry, slowness: number) {
    this.entry = entry
    this.slowness = slowness
  }

  /** Ends a run that is there. */
  end (run: SimulatedRun, how: RunEnd, checkpoint: string): void {
    if (this.runs.get(run.task) !== run) return
    this.runs.delete(run.task)
    this.#ends += 1
    this.#ended.push({ position: this.#ends, task: run.task, run: run.run, how, checkpoint })
  }

  /** Forgets ends up to a position, and gives what is left. */
  listEnded (notedPosition: number): readonly ListedEnd[] {
    this.#ended = this.#ended.filter(end => end.position > notedPosition)
    return this.#ended
  }

  listRunning (now: number): readonly ListedRun[] {
    return [...this.runs.values()].map(run => ({
      task: run.task,
      run: run.run,
      checkpoint: '',
      percent: Math.max(0, Math.min(99, Math.floor(100 * (run.savedBefore + now - run.workingSince) / (run.work + run.savedBefore))))
    }))
  }
}
