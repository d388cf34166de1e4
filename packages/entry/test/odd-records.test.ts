import { decodeProgress, Planner, type Job, type JobProgress } from '@cornelgauge/jobs'
import { asFailure, epoch } from '@cornelgauge/model'
import { MemoryRowStore, type RowValue } from '@cornelgauge/ports'
import { expect } from 'chai'
import * as fc from 'fast-check'
import { decodeJob } from '../src/job-record.js'
import { JobStore } from '../src/job-store.js'
import { decodeOwner } from '../src/owner-record.js'
import { STEP } from './sample-job.js'

const FUZZ_SEED = 20_261_205
const FUZZ_RUNS = 3000
const KEY = '00000000000000a1'
const RECORD = { format: 1, queue: 'check', pool: 'pool', workspace: 'brno', specification: 'work', steps: [STEP], acceptedAt: 1000, acceptedUnder: 3 }
const SCHEDULE = { occurrences: 2, startAt: 1000, intervalMilliseconds: 10 }
const OWNER = { vm: 'vm-a', address: '10.0.0.1:7000', epoch: 3, claim: 'c' }

const nested = JSON.parse('['.repeat(50_000) + ']'.repeat(50_000)) as unknown[]

function codeOf (work: () => unknown): string {
  try {
    work()
    return 'none'
  } catch (thrown) {
    return asFailure(thrown).code
  }
}

/** Plans a stored job long after all of its occurrences are due. */
function plan (job: Job, progress?: JobProgress): void {
  const times = { now: 1000, wallTime: 1e300 }
  new Planner(epoch(9), [{ job, isCancelled: false, ...(progress === undefined ? {} : { progress }) }], times).decide(times)
}

const withStep = (change: object): object => ({ ...RECORD, steps: [{ ...STEP, ...change }] })

const ODD_JOBS: readonly (readonly [string, object])[] = [
  ['a billion tasks', withStep({ count: 1e9 })],
  ['more tasks than a job may have over its occurrences', { ...withStep({ count: 60_000 }), schedule: SCHEDULE }],
  ['half a task', withStep({ count: 1.5 })],
  ['a negative number of tasks', withStep({ count: -1 })],
  ['a number of tasks beyond a double', withStep({ count: Infinity })],
  ['a need that is a text', withStep({ need: { ...STEP.need, memory: '1' } })],
  ['a need below 0', withStep({ need: { ...STEP.need, accelerators: -1 } })],
  ['a need beyond a double', withStep({ need: { ...STEP.need, processor: Infinity } })],
  ['a need of 1e308', withStep({ need: { ...STEP.need, processor: 1e308 } })],
  ['a step after itself', withStep({ after: [0] })],
  ['a step after one that is no number', withStep({ after: ['x'] })],
  ['a nested list of earlier steps', withStep({ after: nested })],
  ['an image that is nested deeply', withStep({ image: nested })],
  ['a label that is a number', withStep({ requiredLabel: 7 })],
  ['a limit per server that is a text', withStep({ mostPerServer: '1' })],
  ['a gang that is a text', withStep({ isGang: 'yes' })],
  ['terms that are a text', { ...RECORD, terms: 'urgent' }],
  ['terms without attempts', { ...RECORD, terms: { priority: 0, stretch: 1, latencyMilliseconds: 0 } }],
  ['terms with a priority below 0', { ...RECORD, terms: { priority: -1e9, attempts: 1, stretch: 1, latencyMilliseconds: 0 } }],
  ['terms without a single attempt', { ...RECORD, terms: { priority: 0, attempts: 0, stretch: 1, latencyMilliseconds: 0 } }],
  ['terms with a negative objective', { ...RECORD, terms: { priority: 0, attempts: 1, stretch: -1, latencyMilliseconds: 0 } }],
  ['terms with advice that is null', { ...RECORD, terms: { priority: 0, attempts: 1, stretch: 1, latencyMilliseconds: 0, advice: null } }],
  ['a schedule of 1e12 occurrences', { ...RECORD, schedule: { ...SCHEDULE, occurrences: 1e12 } }],
  ['a schedule that is a text', { ...RECORD, schedule: 'daily' }],
  ['a schedule that is null', { ...RECORD, schedule: null }],
  ['an interval below 0', { ...RECORD, schedule: { ...SCHEDULE, intervalMilliseconds: -1 } }],
  ['an interval beyond a double', { ...RECORD, schedule: { ...SCHEDULE, intervalMilliseconds: Infinity } }],
  ['a time of acceptance beyond a double', { ...RECORD, acceptedAt: Infinity }],
  ['an epoch beyond the whole numbers of a double', { ...RECORD, acceptedUnder: 2 ** 60 }],
  ['an epoch below 0', { ...RECORD, acceptedUnder: -1 }],
  ['a step that is null', { ...RECORD, steps: [null] }],
  ['100,001 steps', { ...RECORD, steps: Array.from({ length: 100_001 }, () => ({ ...STEP, count: 0 })) }]
]

const ODD_PROGRESS: readonly (readonly [string, unknown])[] = [
  ['an occurrence of 1e9', { '1000000000.0': { done: [0], failed: {} } }],
  ['an occurrence beyond a double', { '1e400.0': { done: [0], failed: {} } }],
  ['an occurrence that is no number', { 'x.0': { done: [0], failed: {} } }],
  ['a key without a step', { 0: { done: [0], failed: {} } }],
  ['an index that is a text', { '0.0': { done: ['0'], failed: {} } }],
  ['an index with a fraction', { '0.0': { done: [0.5], failed: {} } }],
  ['a list of failed runs that is a number', { '0.0': { done: [], failed: { 0: 7 } } }],
  ['a failed run that is a text', { '0.0': { done: [], failed: { 0: ['7'] } } }],
  ['a step that is null', { '0.0': null }]
]

describe('records of another writer', function () {
  // Many seeded runs without a pause; their time depends on the machine alone.
  this.timeout(120_000)

  it('are read if they are those of a job, with and without a schedule', () => {
    expect(decodeJob(KEY, RECORD)).to.deep.include({ id: KEY, queue: 'check', acceptedUnder: 3 })
    expect(decodeJob(KEY, { ...RECORD, schedule: SCHEDULE }).schedule).to.deep.equal(SCHEDULE)
  })

  describe('of a job', () => {
    for (const [name, record] of ODD_JOBS) {
      it(`are damaged with ${name}`, () => {
        expect(codeOf(() => decodeJob(KEY, record as RowValue))).to.equal('record-damaged')
      })
    }

    it('are damaged with a key that can\'t be part of a task\'s name', () => {
      for (const key of ['', 'a.b', 'a b', 'a\nb', 'x'.repeat(201)]) expect(codeOf(() => decodeJob(key, RECORD)), key).to.equal('record-damaged')
    })

    it('are damaged or make a job whose state can be built, whatever a field is', () => {
      const change = fc.dictionary(fc.constantFrom(...Object.keys(RECORD), 'schedule'), fc.oneof(fc.jsonValue(), fc.double()))
      const stepChange = fc.dictionary(fc.constantFrom(...Object.keys(STEP), 'image', 'mayBeAway'), fc.oneof(fc.jsonValue(), fc.double()))
      fc.assert(fc.property(change, stepChange, (changes, stepChanges) => {
        const code = codeOf(() => plan(decodeJob(KEY, { ...withStep(stepChanges), ...changes } as unknown as RowValue)))
        expect(code).to.be.oneOf(['none', 'record-damaged'])
      }), { seed: FUZZ_SEED, numRuns: FUZZ_RUNS })
    })
  })

  describe('of progress', () => {
    for (const [name, steps] of ODD_PROGRESS) {
      it(`are damaged with ${name}, and leave the job out`, async () => {
        const store = new MemoryRowStore()
        const text = JSON.stringify({ hasBegun: true, steps })
        store.apply({ conditions: [], puts: [{ table: 'jobs', key: KEY, value: RECORD }, { table: 'progress', key: KEY, value: { text } }] })
        const { jobs, damaged } = await new JobStore(store.view()).load()
        expect(jobs).to.deep.equal([])
        expect(damaged).to.have.length(1)
      })
    }

    it('restore nothing of an occurrence that the job doesn\'t have', () => {
      plan(decodeJob(KEY, RECORD), decodeProgress(JSON.stringify({ hasBegun: true, steps: { '99999.0': { done: [0], failed: {} } } })))
    })

    it('are damaged if their text is no text', async () => {
      const store = new MemoryRowStore()
      expect(codeOf(() => decodeProgress(nested))).to.equal('record-damaged')
      for (const text of [{ toString: 1, valueOf: 1 }, [], 7, null]) {
        store.apply({ conditions: [], puts: [{ table: 'jobs', key: KEY, value: RECORD }, { table: 'progress', key: KEY, value: { text } as unknown as RowValue }] })
        const view = new JobStore(store.view())
        expect((await view.load()).damaged).to.have.length(1)
        expect(await view.phaseOf(KEY as never).then(() => 'none', (thrown: unknown) => asFailure(thrown).code)).to.equal('record-damaged')
      }
    })

    it('are damaged or can be restored, whatever a field is', () => {
      const steps = fc.dictionary(fc.constantFrom('0.0', '1.0', '0.1', '99999999.0', '-1.0', 'x'), fc.oneof(fc.jsonValue(), fc.record({ done: fc.array(fc.oneof(fc.double(), fc.jsonValue())), failed: fc.jsonValue() })))
      fc.assert(fc.property(steps, fc.jsonValue(), (changed, phase) => {
        const text = JSON.stringify({ hasBegun: true, steps: changed, ...(phase === null ? {} : { phase }) })
        expect(codeOf(() => plan(decodeJob(KEY, RECORD), decodeProgress(text)))).to.be.oneOf(['none', 'record-damaged'])
      }), { seed: FUZZ_SEED, numRuns: FUZZ_RUNS })
    })
  })

  describe('of the owner', () => {
    for (const odd of [Infinity, NaN, -1, 0.5, 2 ** 60, '3', nested]) {
      it(`are damaged with the epoch ${typeof odd === 'object' ? 'nested' : String(odd)}`, () => {
        expect(codeOf(() => decodeOwner({ key: 'planner', version: 1, value: { ...OWNER, epoch: odd } as unknown as RowValue }))).to.equal('record-damaged')
      })
    }
  })
})
