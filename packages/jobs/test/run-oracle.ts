/** Knows what all processes execute, and checks the rules on runs whenever one begins or is acknowledged. */
import { parseTaskName, stepName, type RunEnd } from '../src/index.js'

/** A process as it is named in findings. */
export interface NamedProcess {
  readonly name: string
  readonly isUp: boolean
}

interface ExecutingRun {
  readonly process: NamedProcess
  readonly run: number
}

/** An end `done`, and whether the owners have acknowledged it. */
interface DoneEnd {
  readonly process: NamedProcess
  readonly position: number
  readonly order: number
  isAcknowledged: boolean
}

/** What has happened to a task, or to a gang, which ends as one. */
interface Unit {
  readonly done: DoneEnd[]
  hasDone: boolean
  /** Order of the last run that has begun. */
  lastBegun: number
  readonly history: string[]
}

/** A rule that was broken. */
export interface Finding {
  readonly rule: 'TWICE' | 'GANG' | 'LIMIT' | 'LOST' | 'ORPHAN' | 'MIXED' | 'EVAC'
  readonly text: string
}

const HISTORY_LINES = 60

/**
 * Checks that no task has two runs at the same time, and none after an end `done` that is acknowledged then or later.
 *
 * @example
 * oracle.noteBegun(process, task, run)
 * oracle.findings
 */
export class RunOracle {
  readonly findings: Finding[] = []
  readonly #now: () => number
  readonly #isGang: (task: string) => boolean
  readonly #executing = new Map<string, Set<ExecutingRun>>()
  readonly #units = new Map<string, Unit>()
  /** Runs that have begun. */
  begun = 0
  /** When a run has last begun or ended. */
  lastChangeAt = 0
  #order = 0
  /** From when on nothing disturbs the runs any more. */
  calmSince = Infinity

  constructor (now: () => number, isGang: (task: string) => boolean) {
    this.#now = now
    this.#isGang = isGang
  }

  /** Adds a line to what is printed of a task. */
  note (task: string, text: string): void {
    const { history } = this.#unit(task)
    history.push(`${this.#now().toFixed(1)} ${task} ${text}`)
    if (history.length > HISTORY_LINES) history.shift()
  }

  noteBegun (process: NamedProcess, task: string, run: number): void {
    this.note(task, `run ${run} begins on ${process.name}`)
    this.begun += 1
    this.lastChangeAt = this.#now()
    this.#order += 1
    const unit = this.#unit(task)
    unit.lastBegun = this.#order
    const runs = this.#executing.get(task) ?? new Set<ExecutingRun>()
    this.#executing.set(task, runs)
    for (const other of runs) if (other.process.isUp) this.#report('TWICE', task, `run ${run} on ${process.name} begins beside run ${other.run} on ${other.process.name}`)
    const done = unit.done.find(({ isAcknowledged }) => isAcknowledged)
    if (done !== undefined) this.#report('TWICE', task, `run ${run} on ${process.name} begins after the acknowledged end on ${done.process.name}`)
    runs.add({ process, run })
  }

  noteEnded (process: NamedProcess, task: string, run: number, how: RunEnd | 'crashed', position = 0): void {
    this.note(task, `run ${run} ends ${how} on ${process.name}`)
    this.#order += 1
    this.lastChangeAt = this.#now()
    const runs = this.#executing.get(task) ?? new Set<ExecutingRun>()
    for (const each of runs) if (each.process === process && each.run === run) runs.delete(each)
    if (how === 'done') {
      this.#unit(task).done.push({ process, position, order: this.#order, isAcknowledged: false })
      this.#unit(task).hasDone = true
    }
    if (how === 'alone' && this.#now() > this.calmSince) this.#report('GANG', task, `run ${run} ends alone on ${process.name}`)
  }

  /** Notes that a run begins for which its process has no room. */
  noteOverload (process: NamedProcess, task: string, run: number): void {
    this.#report('LIMIT', task, `run ${run} on ${process.name} exceeds its capacity`)
  }

  /** Notes that the end at a position is acknowledged. */
  noteAcknowledged (process: NamedProcess, task: string, position: number): void {
    const unit = this.#unit(task)
    for (const end of unit.done) {
      if (end.process !== process || end.position !== position || end.isAcknowledged) continue
      end.isAcknowledged = true
      this.note(task, `the end ${position} on ${process.name} is acknowledged`)
      if (unit.lastBegun > end.order) this.#report('TWICE', task, `the end on ${process.name} is acknowledged after a further run has begun`)
    }
  }

  /** Notes that the lease of a process has lapsed: its earlier ends don't count unless they are acknowledged. */
  noteLapsed (process: NamedProcess): void {
    for (const { done } of this.#units.values()) {
      for (const end of [...done]) if (end.process === process && !end.isAcknowledged) done.splice(done.indexOf(end), 1)
    }
  }

  /** True if a run of a task, or of its gang, has ended `done`. */
  hasDone (task: string): boolean {
    return this.#unit(task).hasDone
  }

  /** Reports what is wrong with a task at the end. */
  noteLeft (rule: 'LOST' | 'ORPHAN' | 'MIXED' | 'EVAC', task: string, text: string): void {
    this.#report(rule, task, text)
  }

  #report (rule: Finding['rule'], task: string, text: string): void {
    this.findings.push({ rule, text: [`${rule} ${task}: ${text}`, ...this.#unit(task).history].join('\n  ') })
  }

  #unit (task: string): Unit {
    const address = parseTaskName(task)
    const key = address !== undefined && this.#isGang(task) ? stepName(address.job, address.occurrence, address.step) : task
    const unit = this.#units.get(key) ?? { done: [], hasDone: false, lastBegun: 0, history: [] }
    this.#units.set(key, unit)
    return unit
  }
}
