/** Logs what happens to runs: a line for each up to a rate, and beyond it a line for many. */
import type { EmitEvent, EventDetails } from '@cornelgauge/telemetry'
import { RUN_LINES_PER_INTERVAL, RUN_LOG_INTERVAL_MILLISECONDS, RUNS_PER_LINE } from './limits.js'

/** Events of one run that are logged together at a high rate. */
type RunEventName = 'task-started' | 'task-stopped' | 'task-ended' | 'run-lost-with-server' | 'crashes-refuted'

/** Events of one kind, with the same outcome on the same backend server. */
interface Group {
  readonly name: RunEventName
  readonly server: string
  /** Outcome and reason, as far as the events have them. */
  readonly result: Readonly<Record<string, unknown>>
  /** Indexes of the tasks by the rest of their names. */
  readonly tasks: Map<string, number[]>
  count: number
  firstRun: number
  lastRun: number
}

/** What a line has for many runs. */
interface Summary {
  readonly server: string
  readonly count: number
  readonly firstRun: number
  readonly lastRun: number
  readonly tasks: string
}

const RUN_EVENTS: ReadonlySet<string> = new Set<RunEventName>(['task-started', 'task-stopped', 'task-ended', 'run-lost-with-server', 'crashes-refuted'])

const EMITTERS: { readonly [Name in RunEventName]: (emit: EmitEvent, summary: Summary, result: Readonly<Record<string, unknown>>) => void } = {
  'task-started': (emit, summary, { outcome, epoch }) => emit('tasks-started', { details: { ...summary, outcome, epoch } }),
  'task-stopped': (emit, summary, { outcome, reason }) => emit('tasks-stopped', { details: { ...summary, outcome, reason } }),
  'task-ended': (emit, summary, { how, cause }) => emit('tasks-ended', { details: { ...summary, how, ...(cause === undefined ? {} : { cause }) } }),
  'run-lost-with-server': (emit, summary) => emit('runs-lost-with-server', { details: summary }),
  'crashes-refuted': (emit, summary) => emit('crashes-refuted-by-runs', { details: summary })
}

/**
 * Passes events on, and sums up those of runs beyond a rate.
 *
 * @example
 * const log = new RunLog(emit)
 * log.emit('task-started', { details: { task, run, server, epoch, outcome, resumed: false } })
 * log.flushDue()
 */
export class RunLog {
  readonly #emit: EmitEvent
  readonly #now: () => number
  readonly #groups = new Map<string, Group>()
  #intervalEndsAt = -Infinity
  #lines = 0

  /** `now` is the monotonic time in milliseconds. */
  constructor (emit: EmitEvent, now: () => number = () => performance.now()) {
    this.#emit = emit
    this.#now = now
  }

  /** Logs an event, or adds one of a run to the next line for many. */
  readonly emit: EmitEvent = (name, facts) => {
    if (!RUN_EVENTS.has(name) || this.#takeLine()) this.#emit(name, facts)
    else this.#add(name as RunEventName, facts?.details as EventDetails<RunEventName>)
  }

  /** Logs what has been summed up, if the interval is over. */
  flushDue (): void {
    if (this.#now() >= this.#intervalEndsAt) this.flush()
  }

  /** Logs what has been summed up. */
  flush (): void {
    for (const group of this.#groups.values()) this.#write(group)
    this.#groups.clear()
  }

  /** True if the event of a run may have a line of its own. */
  #takeLine (): boolean {
    if (this.#now() >= this.#intervalEndsAt) {
      this.flush()
      this.#intervalEndsAt = this.#now() + RUN_LOG_INTERVAL_MILLISECONDS
      this.#lines = 0
    }
    this.#lines += 1
    return this.#lines <= RUN_LINES_PER_INTERVAL
  }

  #add (name: RunEventName, { task, run, server, resumed, lostRuns, alone, discarded, workedMilliseconds, ...result }: Readonly<Record<string, unknown>>): void {
    const key = `${name} ${String(server)} ${Object.values(result).join(' ')}`
    const number = Number(run)
    const group = this.#groups.get(key) ?? { name, server: String(server), result, tasks: new Map<string, number[]>(), count: 0, firstRun: number, lastRun: number }
    this.#groups.set(key, group)
    const end = String(task).lastIndexOf('.')
    const step = String(task).slice(0, end)
    const indexes = group.tasks.get(step)
    const index = Number(String(task).slice(end + 1))
    if (indexes === undefined) group.tasks.set(step, [index])
    else indexes.push(index)
    group.count += 1
    group.firstRun = Math.min(group.firstRun, number)
    group.lastRun = Math.max(group.lastRun, number)
    if (group.count < RUNS_PER_LINE) return
    this.#groups.delete(key)
    this.#write(group)
  }

  #write ({ name, server, result, tasks, count, firstRun, lastRun }: Group): void {
    const text = [...tasks].map(([step, indexes]) => `${step}.${toRanges(indexes)}`).join(' ')
    EMITTERS[name](this.#emit, { server, count, firstRun, lastRun, tasks: text }, result)
  }
}

/**
 * Writes numbers as ranges, in ascending order.
 *
 * @example
 * toRanges([3, 1, 2, 7]) // '1-3,7'
 */
export function toRanges (numbers: readonly number[]): string {
  const ranges: { readonly first: number, last: number }[] = []
  for (const number of [...numbers].sort((left, right) => left - right)) {
    const range = ranges.at(-1)
    if (range !== undefined && number <= range.last + 1) range.last = number
    else ranges.push({ first: number, last: number })
  }
  return ranges.map(({ first, last }) => first === last ? String(first) : `${first}-${last}`).join(',')
}
