/**
 * Chooses the form of a job's progress that fits a row of the store: lists as long as they fit, then bits in place of the
 * completed tasks, then no placements, and in the end ever fewer failed and lost runs.
 */
import type { JobState } from './job-state.js'
import { ENTRY_CHARACTERS, FAILURE_CHARACTERS, MAXIMUM_LISTED_ENTRIES, PLACEMENT_CHARACTERS, STEP_ENTRIES } from './limits.js'
import { encodeProgress, type JobProgress, type StepProgress } from './progress.js'
import type { StepState } from './step-state.js'
import { encodeBits } from './task-bits.js'

/** Progress in the form that is stored. */
export interface StoredForm {
  readonly progress: JobProgress
  /** False if there are placements that it doesn't list. */
  readonly arePlacementsListed: boolean
}

/** How often the characters for failed and lost runs are halved before none are stored. */
const FAILURE_HALVINGS = 4

/**
 * Returns the first form that takes at most so many bytes as the value of a row; the last one, which has bits only, if none does.
 *
 * @example
 * storedForm(job, 60_000).progress
 */
export function storedForm (job: JobState, mostBytes: number): StoredForm {
  let last: StoredForm | undefined
  for (const form of formsOf(job)) {
    last = form
    if (rowBytes(form.progress) <= mostBytes) break
  }
  return last!
}

/** Bytes of progress as the value of a row, which is JSON with the encoded progress as a text. */
function rowBytes (progress: JobProgress): number {
  return Buffer.byteLength(JSON.stringify({ text: encodeProgress(progress) }))
}

function * formsOf (job: JobState): Iterable<StoredForm> {
  const all = besideDone(job, FAILURE_CHARACTERS)
  const placements = Object.values(all).reduce((sum, step) => sum + placementEntries(step), 0)
  if (placements <= MAXIMUM_LISTED_ENTRIES && (job.arePlacementsListed || !job.isOpen)) yield * formsWith(job, all, placements, true)
  const unlisted = withoutPlacements(all)
  yield * formsWith(job, unlisted, 0, false)
  for (let characters = FAILURE_CHARACTERS / 2; characters >= FAILURE_CHARACTERS / 2 ** FAILURE_HALVINGS; characters /= 2) yield withBits(job, withoutPlacements(besideDone(job, characters)), false)
  yield withBits(job, {}, false)
}

/** The form with lists of the completed tasks, if they aren't too many, and that with bits. */
function * formsWith (job: JobState, steps: JobProgress['steps'], placements: number, arePlacementsListed: boolean): Iterable<StoredForm> {
  const withLists = job.done.size <= MAXIMUM_LISTED_ENTRIES ? withDone(job, steps) : steps
  const entries = job.done.size + STEP_ENTRIES * Object.keys(withLists).length + placements
  if (entries <= MAXIMUM_LISTED_ENTRIES) yield { progress: { ...headOf(job, arePlacementsListed), steps: withLists }, arePlacementsListed }
  yield withBits(job, steps, arePlacementsListed)
}

function withBits (job: JobState, steps: JobProgress['steps'], arePlacementsListed: boolean): StoredForm {
  return { progress: { ...headOf(job, arePlacementsListed), steps, doneBits: encodeBits(job.done) }, arePlacementsListed }
}

function headOf ({ isOpen, phase, finishedAt, hasUnlistedRuns }: JobState, arePlacementsListed: boolean): Omit<JobProgress, 'steps'> {
  return {
    ...(isOpen ? {} : { phase, ...(finishedAt === undefined ? {} : { finishedAt }) }),
    ...(hasUnlistedRuns || !arePlacementsListed ? { hasUnlistedRuns: true } : {}),
    hasBegun: phase !== 'queued'
  }
}

/** The progress of steps without the tasks that are done, and with as many failed and lost runs as so many characters hold. */
function besideDone (job: JobState, characters: number): JobProgress['steps'] {
  const steps: Record<string, StepProgress> = {}
  let left = characters
  for (const step of job.steps) {
    const progress = step.progressWithin(left)
    if (progress === undefined) continue
    steps[stepKey(step)] = { done: [], ...progress }
    const { placements, ...failures } = progress
    left -= JSON.stringify(failures).length
  }
  return steps
}

/** Adds the lists of completed tasks. */
function withDone (job: JobState, progress: JobProgress['steps']): JobProgress['steps'] {
  const lists = new Map<string, number[]>()
  for (const number of job.done) {
    const { key, index } = addressOf(job, number)
    const list = lists.get(key)
    if (list === undefined) lists.set(key, [index])
    else list.push(index)
  }
  const steps: Record<string, StepProgress> = { ...progress }
  for (const [key, done] of lists) steps[key] = { failed: {}, ...steps[key], done }
  return steps
}

/** Returns the key of a task's step in the progress, and its index there. */
function addressOf ({ job: { steps }, tasksPerOccurrence }: JobState, number: number): { readonly key: string, readonly index: number } {
  let index = number % tasksPerOccurrence
  let step = 0
  for (; index >= steps[step]!.count; step += 1) index -= steps[step]!.count
  return { key: `${Math.floor(number / tasksPerOccurrence)}.${step}`, index }
}

function stepKey ({ occurrence, number }: StepState): string {
  return `${occurrence}.${number}`
}

/** Counts the entries of a list of tasks that take as much room as the placements of a step. */
function placementEntries ({ placements = {} }: StepProgress): number {
  return Object.entries(placements).reduce((sum, [id, { address, tasks }]) => sum + Math.ceil((id.length + address.length + PLACEMENT_CHARACTERS) / ENTRY_CHARACTERS) + tasks.length, 0)
}

/** Drops the backend servers on which tasks may run, and the steps that have nothing else. */
function withoutPlacements (steps: JobProgress['steps']): JobProgress['steps'] {
  return Object.fromEntries(Object.entries(steps)
    .map(([key, { placements, ...step }]): [string, StepProgress] => [key, step])
    .filter(([, { done, failed, ...rest }]) => done.length + Object.keys(failed).length + Object.keys(rest).length > 0))
}
