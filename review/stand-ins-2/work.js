// What works on the workers, from the events that they print, and the record of a case.
import { writeFileSync } from 'node:fs'

export class Work {
  live = new Map()
  done = new Map()
  #doneOf = new Map()

  apply ({ type, worker, task, run, how, at }) {
    const key = `${worker} ${task} ${run}`
    if (type === 'start') this.live.set(key, { worker, task })
    if (type !== 'end') return
    this.live.delete(key)
    if (how !== 'done' || this.done.has(task)) return
    this.done.set(task, at)
    const job = task.slice(0, 16)
    this.#doneOf.set(job, (this.#doneOf.get(job) ?? 0) + 1)
  }

  /** A worker that crashes runs nothing any more. */
  crash (worker) {
    for (const [key, run] of this.live) if (run.worker === worker) this.live.delete(key)
  }

  /** Number of runs by job. */
  get liveByJob () {
    const counts = new Map()
    for (const { task } of this.live.values()) counts.set(task.slice(0, 16), (counts.get(task.slice(0, 16)) ?? 0) + 1)
    return counts
  }

  /** Number of completed tasks of a job. */
  doneOf (job) {
    return this.#doneOf.get(job) ?? 0
  }

  isStepDone (job, step, count) {
    return Array.from({ length: count }, (_, index) => this.done.has(`${job}.0.${step}.${index}`)).every(Boolean)
  }
}

/** Writes the events in order; starts and ends of tasks that `isSummed` selects are summed by second and worker. */
export function writeRecord (url, events, isSummed) {
  const lines = []
  const sums = new Map()
  const first = events[0]?.at ?? 0
  let second = -1
  const flush = () => {
    for (const [what, count] of sums) lines.push(`${what} x ${count}`)
    sums.clear()
  }
  for (const { at, type, ...rest } of events.sort((left, right) => left.at - right.at)) {
    if (rest.task === undefined || !isSummed(rest.task)) {
      lines.push(`${((at - first) / 1000).toFixed(3)} ${type} ${JSON.stringify(rest)}`)
      continue
    }
    if (Math.floor((at - first) / 1000) !== second) flush()
    second = Math.floor((at - first) / 1000)
    const what = `${second} s: ${rest.worker}: ${type} ${rest.how ?? ''}`.trim()
    sums.set(what, (sums.get(what) ?? 0) + 1)
  }
  flush()
  writeFileSync(url, `${lines.join('\n')}\n`)
}

/** Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export function runCase (play) {
  setTimeout(() => process.exit(2), 119_000).unref()
  play().then(isBroken => process.exit(isBroken ? 1 : 0), thrown => {
    console.error(thrown)
    process.exit(2)
  })
}
