/** Records the runs of a step that were lost with their backend servers. */
import { CrashEvidence, type StoredCrashes } from './crash-evidence.js'
import type { Background } from './crash-history.js'
import { REMEMBERED_LOST_RUNS, SUSPECT_LOST_RUNS } from './limits.js'
import { RankedSet } from './ranked-set.js'

/** Run numbers by the index of a task or unit. */
export type RunsByIndex = Readonly<Record<string, readonly number[]>>

/** The lost runs of a step as they are stored; earlier releases store none. */
export interface StoredLosses {
  /** Numbers of the runs lost with their backend servers, by task index, for a gang under 0. */
  readonly lost?: RunsByIndex
  /** Numbers of the runs whose crash only the task can explain, by task index. */
  readonly attributed?: RunsByIndex
  /** Numbers of the runs that were lost when they had just started, by task index, for a gang under 0. */
  readonly lostAtStart?: RunsByIndex
  /** Crashes under each task that no later run has outlived; earlier releases store none. */
  readonly crashes?: StoredCrashes
  /** Runs of each task that ended otherwise since its starts are counted. */
  readonly otherEnds?: Readonly<Record<string, number>>
}

/**
 * Lost runs by unit: a task, or the gang. A run is counted once, however many of its members
 * are lost.
 *
 * @example
 * step.losses.add(step.unitOf(task), run.run)
 */
export class LossRecord {
  /** Run numbers by unit, the earliest first. */
  readonly #runs = new Map<number, Set<number>>()
  /** Where members of a run were lost, as far as this owner knows. */
  readonly #places = new Map<number, Set<string>>()
  /** Numbers of the runs whose crash only the task can explain, by task index. */
  readonly #attributed = new Map<number, Set<number>>()
  /** Numbers of the runs that were lost when they had just started, by unit. */
  readonly #lostAtStart = new Map<number, Set<number>>()
  /** Crashes by task. */
  readonly evidence = new CrashEvidence(task => this.#update(task))
  /** What has lost runs, or crashes, by their number. */
  readonly #ranked = new RankedSet<number>()
  /** The units of which so many runs were lost that they may be the cause. */
  readonly #suspects = new Set<number>()
  /** Number of the change of the job that includes the last loss. */
  change = 0
  /** The restored losses are those of a gang. */
  #isGang = false

  /** Adds a run that was lost at this place. False if it is counted already. */
  add (unit: number, run: number, place: string): boolean {
    const places = this.#places.get(run) ?? new Set()
    this.#places.set(run, places.add(place))
    const runs = this.#runs.get(unit) ?? new Set()
    if (runs.has(run)) return false
    this.#runs.set(unit, runs.add(run))
    const [earliest] = runs
    if (runs.size > REMEMBERED_LOST_RUNS) this.#forget(runs, earliest!)
    this.#update(unit)
    return true
  }

  /**
   * Corrects the loss of a run that is running at the place after all. True if it no longer counts. An earlier owner stored no
   * places: other members of a gang may have been lost all the same.
   */
  correct (unit: number, run: number, place: string): boolean {
    const places = this.#places.get(run)
    const isCorrected = places === undefined ? !this.#isGang && this.#runs.get(unit)?.has(run) === true : places.delete(place) && places.size === 0
    if (!isCorrected) return false
    for (const attributed of this.#attributed.values()) attributed.delete(run)
    this.#lostAtStart.get(unit)?.delete(run)
    const isCounted = this.#runs.get(unit)?.delete(run) === true
    this.#update(unit)
    return isCounted
  }

  /** Discounts the loss of a run that the unit hasn't caused. False if it isn't counted. */
  discount (unit: number, run: number): boolean {
    if (this.#runs.get(unit)?.delete(run) !== true) return false
    this.#update(unit)
    return true
  }

  /** Counts the lost runs of a unit. */
  count (unit: number): number {
    return this.#runs.get(unit)?.size ?? 0
  }

  /** True if so many runs were lost that the unit may be the cause. */
  isSuspect (unit: number): boolean {
    return this.count(unit) >= SUSPECT_LOST_RUNS
  }

  /** The units of which that is true. */
  get suspects (): Iterable<number> {
    return this.#suspects
  }

  /** Where members of a run were lost, as far as this owner knows. */
  placesOf (run: number): ReadonlySet<string> {
    return this.#places.get(run) ?? new Set()
  }

  /** Records that only this task can explain the crash in which a run was lost. Returns how many such crashes there are. */
  attribute (task: number, run: number): number {
    const remembered = this.evidence.runsOf(task).filter(each => each === run || this.#attributed.get(task)?.has(each) === true)
    this.#attributed.set(task, new Set([...remembered, run]))
    this.#update(task)
    return this.#attributed.get(task)!.size
  }

  /** Records that a run was lost when it had just started. */
  addLossAtStart (unit: number, run: number): void {
    this.#lostAtStart.set(unit, (this.#lostAtStart.get(unit) ?? new Set<number>()).add(run))
    this.#update(unit)
  }

  /** Updates what is derived from the runs and crashes of a task or unit. */
  #update (task: number): void {
    if (this.isSuspect(task)) this.#suspects.add(task)
    else this.#suspects.delete(task)
    const hasRuns = [this.#runs, this.#attributed, this.#lostAtStart].some(runs => runs.has(task))
    if (hasRuns || this.evidence.has(task)) this.#ranked.set(task, this.count(task) + this.evidence.count(task))
    else this.#ranked.delete(task)
  }

  /** True if a task has shown to be the cause of the crashes under it. */
  isCause (task: number, background: Background, hasJustCrashed: boolean): boolean {
    return this.evidence.isCause(task, this.#attributed.get(task) ?? new Set(), background, hasJustCrashed)
  }

  /** Discards the crashes of a task that one of its runs has outlived, and returns how many. */
  refute (task: number, workedMilliseconds: number): number {
    const outlived = this.evidence.refute(task, workedMilliseconds)
    for (const run of outlived) this.#attributed.get(task)?.delete(run)
    return outlived.length
  }

  /** Forgets the earliest run: a task that isn't the cause is started however often it was lost. */
  #forget (runs: Set<number>, earliest: number): void {
    runs.delete(earliest)
    this.#places.delete(earliest)
    for (const lostAtStart of this.#lostAtStart.values()) lostAtStart.delete(earliest)
  }

  /** Forgets a task that isn't started any more; of a gang, the unit with its first task. */
  forgetTask (task: number): void {
    for (const runs of [this.#runs, this.#attributed, this.#lostAtStart]) runs.delete(task)
    // Updates what is derived from all of them.
    this.evidence.forget(task)
  }

  /**
   * The stored form; runs that there are none of are omitted. If it takes more than so many characters, it lists the tasks
   * under which most runs were lost: the next owner counts the losses of the others anew.
   */
  progressWithin (characters: number): StoredLosses {
    const most = Math.floor(characters / TASK_CHARACTERS)
    const ranked = this.#ranked.highest(most)
    for (let length = Math.min(most, ranked.length); length > 0; length = Math.floor(length / 2)) {
      const part = this.#progressOf(ranked.slice(0, length))
      if (charactersOf(part) <= characters) return part
    }
    return {}
  }

  #progressOf (tasks: readonly number[]): StoredLosses {
    const lost = toRecord(this.#runs, tasks)
    const attributed = toRecord(this.#attributed, tasks)
    const lostAtStart = toRecord(this.#lostAtStart, tasks)
    const crashes = this.evidence.progressOf(tasks)
    const otherEnds = this.evidence.otherEndsOf(tasks)
    // Losses without this field are decoded as those of an earlier release.
    const hasCrashes = lost !== undefined || Object.keys(crashes).length > 0
    return { ...(otherEnds === undefined ? {} : { otherEnds }), ...(hasCrashes ? { crashes } : {}), ...(lost === undefined ? {} : { lost }), ...(attributed === undefined ? {} : { attributed }), ...(lostAtStart === undefined ? {} : { lostAtStart }) }
  }

  /** Restores the stored form. */
  restore ({ lost = {}, attributed = {}, lostAtStart = {}, crashes, otherEnds = {} }: StoredLosses, isGang: boolean): void {
    this.#isGang = isGang
    for (const [unit, runs] of Object.entries(lost)) this.#runs.set(Number(unit), new Set(runs))
    for (const [task, runs] of Object.entries(attributed)) this.#attributed.set(Number(task), new Set(runs))
    for (const [unit, runs] of Object.entries(lostAtStart)) this.#lostAtStart.set(Number(unit), new Set(runs))
    this.evidence.restore(crashes ?? earlierCrashes({ lost, attributed, lostAtStart }, isGang), otherEnds)
    for (const task of [lost, attributed, lostAtStart].flatMap(runs => Object.keys(runs))) this.#update(Number(task))
  }
}

/** Crashes from the progress of an earlier release. Of a gang it stores only the members to which a crash was attributed. */
function earlierCrashes ({ lost, attributed, lostAtStart }: Required<Pick<StoredLosses, 'lost' | 'attributed' | 'lostAtStart'>>, isGang: boolean): StoredCrashes {
  const toCrashes = ([task, runs]: readonly [string, readonly number[]]): readonly [string, readonly (readonly [number, number | null])[]] => {
    const atStart = lostAtStart[isGang ? '0' : task] ?? []
    return [task, runs.map(run => [run, atStart.includes(run) ? 0 : null] as const)]
  }
  return Object.fromEntries(Object.entries(isGang ? attributed : lost).map(toCrashes))
}

/** Characters that the losses of one task take at least. */
const TASK_CHARACTERS = 40

const charactersOf = (losses: StoredLosses): number => JSON.stringify(losses).length

function toRecord (runsByIndex: ReadonlyMap<number, ReadonlySet<number>>, tasks: readonly number[]): RunsByIndex | undefined {
  const entries = tasks.map(task => [task, [...runsByIndex.get(task) ?? []]] as const).filter(([, runs]) => runs.length > 0)
  return entries.length === 0 ? undefined : Object.fromEntries(entries) as RunsByIndex
}
