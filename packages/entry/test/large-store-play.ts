/** Loads a store with more than a heap in a process of its own, whose heap the caller limits: prints how many jobs are planned, and how many wait. */
import { epoch } from '@cornelgauge/model'
import { jobId, Planner, type Job } from '@cornelgauge/jobs'
import type { PageRange, RowPage, RowStore, StoredRow } from '@cornelgauge/ports'
import { JobIntake } from '../src/job-intake.js'
import { encodeJob } from '../src/job-record.js'
import { JobStore } from '../src/job-store.js'
import { JOB, STEP } from './sample-job.js'

const SPECIFICATION = 'x'.repeat(4000)
/** Ended occurrences of a schedule, as many as a row lists. */
const ENDED_OCCURRENCES = 700
const idOf = (number: number): string => String(number).padStart(16, '0')

/** Jobs that others have accepted, in different shapes. */
const SHAPES: Readonly<Record<string, { readonly count: number, readonly jobOf: (number: number) => Job }>> = {
  'jobs with long descriptions': { count: 4000, jobOf: number => ({ ...JOB, id: jobId(idOf(number)), specification: SPECIFICATION, steps: Array.from({ length: 200 }, () => STEP) }) },
  'jobs of ordinary size': { count: 60_000, jobOf: number => ({ ...JOB, id: jobId(idOf(number)), specification: SPECIFICATION }) },
  'begun schedules': { count: 5000, jobOf: number => ({ ...JOB, id: jobId(idOf(number)), schedule: { occurrences: 1440, startAt: 0, intervalMilliseconds: 60_000 } }) },
  'jobs that have ended': { count: 10_000, jobOf: number => ({ ...JOB, id: jobId(idOf(number)), specification: SPECIFICATION, steps: Array.from({ length: 50 }, () => STEP) }) }
}

const [shape = ''] = process.argv.slice(2)
const { count, jobOf } = SHAPES[shape]!
/** Progress of all jobs of a shape; none of the others. */
const PROGRESS: Readonly<Record<string, object>> = {
  'begun schedules': { hasBegun: true, steps: Object.fromEntries(Array.from({ length: ENDED_OCCURRENCES }, (_, occurrence) => [`${occurrence}.0`, { done: [0, 1], failed: {} }])) },
  'jobs that have ended': { phase: 'completed', finishedAt: 1, hasBegun: true, steps: { '0.0': { done: Array.from({ length: 500 }, (_, index) => index), failed: {} } } }
}
const progress = PROGRESS[shape]

/** Makes each page anew, so that the rows take no memory here. */
class GeneratedStore implements Pick<RowStore, 'read' | 'readPage'> {
  async read (_table: string, key: string): Promise<StoredRow> {
    return { key, value: encodeJob(jobOf(Number(key))), version: 1 }
  }

  async readPage (table: string, { after, limit }: PageRange): Promise<RowPage> {
    const first = after === undefined ? 0 : Number(after) + 1
    const length = table === 'jobs' || (table === 'progress' && progress !== undefined) ? Math.max(0, Math.min(limit, count - first)) : 0
    const rows = Array.from({ length }, (_, index) => this.#row(table, first + index))
    return { rows, version: 1, hasMore: first + length < count && length > 0, bytes: JSON.stringify(rows).length }
  }

  #row (table: string, number: number): StoredRow {
    const value = table === 'jobs' ? encodeJob(jobOf(number)) : { text: JSON.stringify(progress) }
    return { key: idOf(number), value, version: 1 }
  }
}

const jobs = new JobStore(new GeneratedStore() as unknown as RowStore)
const stored = await jobs.load()
const planner = new Planner(epoch(2), stored.jobs, { now: 0, wallTime: 0 })
const intake = new JobIntake({ planner, readJob: id => jobs.read(id), readProgress: async () => undefined, emit: () => {}, onReplaced: () => {}, onCrash: thrown => { throw thrown }, signal: new AbortController().signal }, { waiting: stored.waiting, planned: stored.jobs.map(({ job }) => job) })
process.stdout.write(JSON.stringify({ known: stored.jobs.length + intake.waitingCount, planned: planner.plannedLoad() }))
process.exit()
