/** Records, by task, the crashes of backend servers on which it ran: the evidence that the task is their cause. */
import type { Background } from './crash-history.js'
import { ALIKE_EXPOSURES_MILLISECONDS, COUNTED_AFTER_CRASHES, CRASH_AT_START_MILLISECONDS, GIVE_UP_ATTRIBUTED_CRASHES, GIVE_UP_CRASHES_AT_START, GIVE_UP_STARTS, MOST_COINCIDENCES, MOST_COINCIDENCES_IF_ALIKE, QUIET_COINCIDENCES, REMEMBERED_CRASHES, SHORT_EXPOSURE_MILLISECONDS } from './limits.js'

/** The crash of a backend server under one task's run. */
interface TaskCrash {
  readonly run: number
  /** Time from the start of the run to the first sign of the crash, in milliseconds; Infinity if another owner started it. */
  readonly exposure: number
}

/** Crashes as they are stored: run number and exposure in milliseconds, null if it isn't known, by task index. */
export type StoredCrashes = Readonly<Record<string, readonly (readonly [number, number | null])[]>>

/**
 * Crashes by task. Those that a run of the task has outlived are discarded: the task doesn't crash its
 * backend servers after that time.
 *
 * @example
 * step.losses.evidence.add(task.index, run.run, 1800)
 */
export class CrashEvidence {
  readonly #onChange: (task: number) => void
  /** By task index and run number. */
  readonly #crashes = new Map<number, Map<number, TaskCrash>>()
  /** Runs that ended otherwise since starts are counted, by task index. */
  readonly #otherEnds = new Map<number, number>()

  /** `onChange` is called when the crashes of a task, or its runs that ended otherwise, have changed. */
  constructor (onChange: (task: number) => void = () => {}) {
    this.#onChange = onChange
  }

  /** Adds a crash of the task's own backend server. False if it is known. */
  add (task: number, run: number, exposure: number): boolean {
    const crashes = this.#crashes.get(task) ?? new Map<number, TaskCrash>()
    if (crashes.has(run)) return false
    this.#crashes.set(task, crashes.set(run, { run, exposure }))
    const [earliest] = crashes.keys()
    if (crashes.size > REMEMBERED_CRASHES) crashes.delete(earliest!)
    this.#onChange(task)
    return true
  }

  /** Removes a crash that doesn't count. False if there is none. */
  remove (task: number, run: number): boolean {
    const crashes = this.#crashes.get(task)
    if (crashes?.delete(run) !== true) return false
    if (crashes.size === 0) this.#crashes.delete(task)
    if (crashes.size < COUNTED_AFTER_CRASHES) this.#otherEnds.delete(task)
    this.#onChange(task)
    return true
  }

  /** Discards the crashes of a task that one of its runs has outlived, and returns the numbers of their runs. */
  refute (task: number, workedMilliseconds: number): readonly number[] {
    const crashes = this.#crashes.get(task)
    if (crashes === undefined) return []
    const outlived = [...crashes.values()].filter(({ exposure }) => (Number.isFinite(exposure) ? exposure : SHORT_EXPOSURE_MILLISECONDS) <= workedMilliseconds).map(({ run }) => run)
    for (const run of outlived) this.remove(task, run)
    return outlived
  }

  /** Counts a run that neither ended in a crash that counts nor has refuted those before. False if starts aren't counted yet. */
  addOtherEnd (task: number): boolean {
    if (this.count(task) < COUNTED_AFTER_CRASHES) return false
    this.#otherEnds.set(task, (this.#otherEnds.get(task) ?? 0) + 1)
    this.#onChange(task)
    return true
  }

  /** Numbers of the runs of a task that crashes have ended, the earliest first. */
  runsOf (task: number): readonly number[] {
    return [...this.#crashes.get(task)?.keys() ?? []]
  }

  /** Indexes of the tasks with crashes. */
  get tasks (): readonly number[] {
    return [...this.#crashes.keys()]
  }

  /** True if a task that crashes its backend servers may not be started once more. */
  isExhausted (task: number): boolean {
    const count = this.count(task)
    return count >= COUNTED_AFTER_CRASHES && count + (this.#otherEnds.get(task) ?? 0) >= GIVE_UP_STARTS
  }

  /** True if there are so many crashes of a task that it may show to be the cause. */
  maySuffice (task: number): boolean {
    return this.count(task) >= Math.min(COUNTED_AFTER_CRASHES, GIVE_UP_CRASHES_AT_START, GIVE_UP_ATTRIBUTED_CRASHES)
  }

  /**
   * True if a task has shown to be the cause: it is exhausted, and coincidence doesn't explain its crashes. Crashes
   * that only the task can explain show it sooner, if few others crash or if all came when it had just started.
   * The background covers recent crashes only, so it is compared with later exposures only right after a crash under the task.
   */
  isCause (task: number, attributed: ReadonlySet<number>, { crashesPerServerMillisecond, isKnown }: Background, hasJustCrashed: boolean): boolean {
    const crashes = [...this.#crashes.get(task)?.values() ?? []]
    const exposures = crashes.map(({ exposure }) => exposure)
    const coincidences = (milliseconds: readonly number[]): number => crashesPerServerMillisecond * milliseconds.reduce((sum, each) => sum + each, 0)
    if (this.isExhausted(task)) {
      const known = exposures.filter(Number.isFinite)
      // A run of at least the short exposure refutes those that aren't known.
      if (known.every(exposure => exposure <= SHORT_EXPOSURE_MILLISECONDS)) return true
      return isKnown && hasJustCrashed && coincidences(known) < (areAlike(known) ? MOST_COINCIDENCES_IF_ALIKE : MOST_COINCIDENCES)
    }
    const count = crashes.filter(({ run }) => attributed.has(run)).length
    const areAtStart = exposures.every(exposure => exposure <= CRASH_AT_START_MILLISECONDS)
    if (areAtStart && count > 0 && crashes.length >= GIVE_UP_CRASHES_AT_START) return true
    const isQuiet = isKnown && exposures.every(Number.isFinite) && coincidences(exposures) < QUIET_COINCIDENCES
    return count >= GIVE_UP_ATTRIBUTED_CRASHES && (areAtStart || (isQuiet && areAlike(exposures)))
  }

  /** Forgets a task that isn't started any more. */
  forget (task: number): void {
    this.#crashes.delete(task)
    this.#otherEnds.delete(task)
    this.#onChange(task)
  }

  /** The stored form of the crashes of these tasks. */
  progressOf (tasks: readonly number[]): StoredCrashes {
    return Object.fromEntries(tasks.filter(task => this.#crashes.has(task)).map(task => [task, [...this.#crashes.get(task)!.values()].map(toStored)]))
  }

  /** The counted runs of these tasks that ended otherwise, by task index; undefined if there are none. */
  otherEndsOf (tasks: readonly number[]): Readonly<Record<string, number>> | undefined {
    const listed = tasks.filter(task => this.#otherEnds.has(task)).map(task => [task, this.#otherEnds.get(task)])
    return listed.length === 0 ? undefined : Object.fromEntries(listed) as Readonly<Record<string, number>>
  }

  /** True if there are crashes of a task, or counted ends. */
  has (task: number): boolean {
    return this.#crashes.has(task) || this.#otherEnds.has(task)
  }

  /** Restores the stored form. */
  restore (stored: StoredCrashes, otherEnds: Readonly<Record<string, number>>): void {
    for (const [task, crashes] of Object.entries(stored)) {
      for (const [run, exposure] of crashes) this.add(Number(task), run, exposure ?? Infinity)
    }
    for (const [task, count] of Object.entries(otherEnds)) {
      this.#otherEnds.set(Number(task), count)
      this.#onChange(Number(task))
    }
  }

  /** Counts the crashes of a task that weren't discarded. */
  count (task: number): number {
    return this.#crashes.get(task)?.size ?? 0
  }
}

/** True if crashes came at about the same time after the start. */
function areAlike (exposures: readonly number[]): boolean {
  return Math.max(...exposures) - Math.min(...exposures) <= ALIKE_EXPOSURES_MILLISECONDS
}

function toStored ({ run, exposure }: TaskCrash): readonly [number, number | null] {
  return [run, Number.isFinite(exposure) ? Math.round(exposure) : null]
}
