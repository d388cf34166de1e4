/** Logs what happens to runs: a line for each up to a rate, and beyond it a line for many. */
import type { EmitEvent, EventDetails } from '@cornelgauge/telemetry'
import { RUN_LINE_CHARACTERS, RUN_LINES_PER_INTERVAL, RUN_LOG_INTERVAL_MILLISECONDS, RUNS_PER_LINE } from './limits.js'

/** Events of one run that are logged together at a high rate. */
type RunEventName = 'task-started' | 'task-stopped' | 'task-ended' | 'run-lost-with-server' | 'crashes-refuted'

/** Runs on one backend server, for one line. */
interface ServerRuns {
  /** Indexes of the tasks by the rest of their names. */
  readonly tasks: Map<string, number[]>
  count: number
  firstRun: number
  lastRun: number
}

/** Events of one kind with the same outcome. */
interface Group {
  readonly name: RunEventName
  /** Outcome and reason, as far as the events have them. */
  readonly result: Readonly<Record<string, unknown>>
  readonly servers: Map<string, ServerRuns>
  count: number
}

/** What a line has for many runs. */
interface Summary {
  readonly servers: number
  readonly count: number
  readonly firstRun: number
  readonly lastRun: number
  readonly tasks: string
}

const RUN_EVENTS: ReadonlySet<string> = new Set<RunEventName>(['task-started', 'task-stopped', 'task-ended', 'run-lost-with-server', 'crashes-refuted'])

const EMITTERS: { readonly [Name in RunEventName]: (emit: EmitEvent, summary: Summary, result: Readonly<Record<string, unknown>>) => void } = {
  'task-started': (emit, summary, { outcome, epoch }) => emit('tasks-started', { details: { ...summary, outcome, epoch } }),
  'task-stopped': (emit, summary, { outcome, reason, stoppedFor }) => emit('tasks-stopped', { details: { ...summary, outcome, reason, ...(stoppedFor === undefined ? {} : { stoppedFor }) } }),
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
    const key = `${name} ${Object.values(result).join(' ')}`
    const group = this.#groups.get(key) ?? { name, result, servers: new Map<string, ServerRuns>(), count: 0 }
    this.#groups.set(key, group)
    addRun(group.servers, String(server), String(task), Number(run))
    group.count += 1
    if (group.count < RUNS_PER_LINE) return
    this.#groups.delete(key)
    this.#write(group)
  }

  /** Writes as few lines as their length allows. */
  #write ({ name, servers, result }: Group): void {
    let line: Summary | undefined
    for (const [server, runs] of servers) {
      const next = summaryOf(server, runs)
      const both = line === undefined ? next : joined(line, next)
      const isTooLong = line !== undefined && both.tasks.length > RUN_LINE_CHARACTERS
      if (isTooLong) EMITTERS[name](this.#emit, line!, result)
      line = isTooLong ? next : both
    }
    if (line !== undefined) EMITTERS[name](this.#emit, line, result)
  }
}

function addRun (servers: Map<string, ServerRuns>, server: string, task: string, run: number): void {
  let runs = servers.get(server)
  if (runs === undefined) servers.set(server, runs = { tasks: new Map<string, number[]>(), count: 0, firstRun: run, lastRun: run })
  const end = task.lastIndexOf('.')
  const step = task.slice(0, end)
  const index = Number(task.slice(end + 1))
  const indexes = runs.tasks.get(step)
  if (indexes === undefined) runs.tasks.set(step, [index])
  else indexes.push(index)
  runs.count += 1
  runs.firstRun = Math.min(runs.firstRun, run)
  runs.lastRun = Math.max(runs.lastRun, run)
}

function summaryOf (server: string, { tasks, count, firstRun, lastRun }: ServerRuns): Summary {
  const text = [...tasks].map(([step, indexes]) => `${step}.${toRanges(indexes)}`).join(' ')
  return { servers: 1, count, firstRun, lastRun, tasks: `${server}: ${text}` }
}

function joined (line: Summary, next: Summary): Summary {
  return {
    servers: line.servers + next.servers,
    count: line.count + next.count,
    firstRun: Math.min(line.firstRun, next.firstRun),
    lastRun: Math.max(line.lastRun, next.lastRun),
    tasks: `${line.tasks}; ${next.tasks}`
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
