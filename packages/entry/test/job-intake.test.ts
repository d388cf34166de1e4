import { epoch, workspaceName, CornelgaugeError } from '@cornelgauge/model'
import { configurationVersion, jobId, MAXIMUM_PLANNED_LOAD, Planner, planningLoad, poolName, queueName, type Configuration, type Job, type JobId, type JobProgress, type ServerReport, type TaskName } from '@cornelgauge/jobs'
import { MemoryRowStore } from '@cornelgauge/ports'
import { expect } from 'chai'
import { JobIntake } from '../src/job-intake.js'
import { encodeJob } from '../src/job-record.js'
import { JobSelection } from '../src/job-selection.js'
import { JobStore } from '../src/job-store.js'
import { TURN_INTERVAL_MILLISECONDS, TURN_MILLISECONDS } from '../src/limits.js'
import { TableFollower } from '../src/table-follower.js'
import { JOB } from './sample-job.js'

const BULK = { priority: 2, attempts: 4, stretch: 2, latencyMilliseconds: 250 }
const idOf = (number: number): JobId => jobId(String(number).padStart(16, '0'))
const jobNumber = (number: number, overrides: Partial<Job> = {}): Job => ({ ...JOB, id: idOf(number), queue: queueName('bulk'), terms: BULK, acceptedAt: 1000 + number, acceptedUnder: epoch(1), ...overrides })

const CONFIGURATION: Configuration = {
  version: configurationVersion(1),
  queues: [{ ...BULK, name: queueName('bulk'), host: 'jobs.example', prefix: '/bulk/', pool: JOB.pool, timeoutMilliseconds: 3000, isPublic: true }],
  pools: [{ name: JOB.pool, maximumConnections: 64, enforcesCapacity: true, isStandby: false }],
  workspaces: [{ name: workspaceName('brno'), keys: [], guaranteedAccelerators: 0 }],
  limits: { headerBytes: 16_384, bodyBytes: 262_144, headerMilliseconds: 3000, idleMilliseconds: 15_000 }
}

/** Ordinary jobs that an owner may plan at most. */
const MOST_PLANNED = Math.floor(MAXIMUM_PLANNED_LOAD / planningLoad(jobNumber(0)))

/** An owner with what it has stored. */
class Owner {
  readonly planner: Planner
  readonly intake: JobIntake
  readonly stored: Map<JobId, Job>
  readonly progress: Map<JobId, JobProgress>
  readonly events: string[] = []
  isStoreAvailable = true
  now = 0

  constructor (jobs: readonly Job[], progress: readonly (readonly [JobId, JobProgress])[] = []) {
    this.stored = new Map(jobs.map(job => [job.id, job]))
    this.progress = new Map(progress)
    const selection = new JobSelection(0)
    for (const job of jobs) selection.add({ job, isCancelled: false, ...(this.progress.has(job.id) ? { progress: this.progress.get(job.id)! } : {}) })
    const { jobs: selected, waiting } = selection.selected
    this.planner = new Planner(epoch(2), selected, { now: 0, wallTime: 0 })
    this.planner.configure(CONFIGURATION)
    this.intake = new JobIntake({
      planner: this.planner,
      readJob: async id => {
        if (!this.isStoreAvailable) throw new CornelgaugeError('timeout')
        return this.stored.get(id)
      },
      readProgress: async id => this.progress.get(id),
      emit: event => { this.events.push(event) },
      onReplaced: () => { this.events.push('replaced') },
      onCrash: thrown => { throw thrown },
      signal: new AbortController().signal,
      now: () => this.now,
      wallTime: () => this.now
    }, { waiting, planned: selected.map(({ job }) => job) })
  }

  isPlanned (number: number): boolean {
    return this.planner.phaseOf(idOf(number)) !== undefined
  }

  submit (job: Job): void {
    this.stored.set(job.id, job)
    this.intake.submit(job)
  }

  /** Stores what is unstored. */
  store (): void {
    for (const id of this.planner.unstoredJobs.keys()) this.progress.set(id, this.planner.progressOf(id)!)
    this.planner.markStored(this.planner.unstoredJobs)
  }

  /** Reads what there is room for. */
  async fill (times = 1): Promise<void> {
    for (let time = 0; time < times; time += 1) {
      this.intake.fill()
      await new Promise(resolve => setImmediate(resolve))
    }
  }
}

// Guards against owners that end with their heaps full of jobs that others have accepted, or that leave out some of them.
describe('the intake of jobs', () => {
  const numbers = (count: number): readonly number[] => Array.from({ length: count }, (_, index) => index)

  describe('with more jobs in the store than an owner may plan', () => {
    it('plans the first ones, and counts the others', () => {
      const owner = new Owner(numbers(2 * MOST_PLANNED).map(number => jobNumber(number)).reverse())
      expect(owner.planner.plannedLoad()).to.be.at.most(MAXIMUM_PLANNED_LOAD)
      expect(numbers(MOST_PLANNED).every(number => owner.isPlanned(number))).to.equal(true)
      expect(owner.intake.waitingCount).to.equal(MOST_PLANNED)
      expect(owner.intake.waitingIn(queueName('bulk'))).to.equal(MOST_PLANNED)
    })

    it('plans each of the others once there is room, in order', async () => {
      const owner = new Owner(numbers(MOST_PLANNED + 100).map(number => jobNumber(number)))
      for (const number of numbers(50)) owner.planner.cancel(idOf(number), 0)
      await owner.fill(10)
      expect(owner.intake.waitingCount).to.equal(50)
      expect(owner.isPlanned(MOST_PLANNED + 49)).to.equal(true)
      expect(owner.isPlanned(MOST_PLANNED + 50)).to.equal(false)
    })

    it('loses none while the store fails', async () => {
      const owner = new Owner(numbers(MOST_PLANNED + 10).map(number => jobNumber(number)))
      for (const number of numbers(20)) owner.planner.cancel(idOf(number), 0)
      owner.isStoreAvailable = false
      await owner.fill()
      expect(owner.intake.waitingCount).to.equal(10)
      expect(owner.events).to.include('waiting-job-not-read')
      owner.isStoreAvailable = true
      await new Promise(resolve => setTimeout(resolve, 150))
      await owner.fill(3)
      expect(owner.intake.waitingCount).to.equal(0)
    })

    it('plans at once what comes before others', () => {
      const owner = new Owner(numbers(MOST_PLANNED).map(number => jobNumber(number)))
      owner.submit(jobNumber(999_999, { terms: { ...BULK, priority: 0 } }))
      expect(owner.isPlanned(999_999)).to.equal(true)
      expect(owner.isPlanned(MOST_PLANNED - 1)).to.equal(false)
      expect(owner.intake.waitingCount).to.equal(1)
    })

    it('doesn\'t let the jobs of one pool hold up those of another', () => {
      const owner = new Owner(numbers(2 * MOST_PLANNED).map(number => jobNumber(number)))
      owner.submit(jobNumber(999_999, { pool: poolName('other') }))
      expect(owner.isPlanned(999_999)).to.equal(true)
    })

    it('lets jobs of which nothing starts give way to the others, each in turn', async () => {
      const owner = new Owner(numbers(MOST_PLANNED + 300).map(number => jobNumber(number)))
      for (let turn = 0; turn < 4; turn += 1) {
        owner.now += TURN_MILLISECONDS + TURN_INTERVAL_MILLISECONDS
        await owner.fill(30)
      }
      expect(numbers(300).every(number => owner.isPlanned(MOST_PLANNED + number))).to.equal(true)
      expect(owner.planner.plannedLoad()).to.be.at.most(MAXIMUM_PLANNED_LOAD)
      expect(owner.intake.waitingCount).to.be.at.least(300)
    })

    it('ends a waiting job that is cancelled', async () => {
      const owner = new Owner(numbers(MOST_PLANNED + 10).map(number => jobNumber(number)))
      owner.planner.cancel(idOf(MOST_PLANNED + 5), 0)
      owner.intake.require(idOf(MOST_PLANNED + 5))
      await owner.fill()
      expect(owner.planner.phaseOf(idOf(MOST_PLANNED + 5))).to.equal('running')
      owner.planner.markStored(owner.planner.unstoredJobs)
      expect(owner.planner.phaseOf(idOf(MOST_PLANNED + 5))).to.equal('canceled')
    })
  })

  it('ends a waiting job that was cancelled while the store failed, though there is no room', async () => {
    const owner = new Owner(numbers(MOST_PLANNED + 10).map(number => jobNumber(number)))
    owner.isStoreAvailable = false
    owner.planner.cancel(idOf(MOST_PLANNED + 5), 0)
    owner.intake.require(idOf(MOST_PLANNED + 5))
    await new Promise(resolve => setTimeout(resolve, 150))
    owner.isStoreAvailable = true
    await owner.fill(2)
    expect(owner.isPlanned(MOST_PLANNED + 5)).to.equal(true)
    expect(owner.intake.waitingCount).to.equal(9)
  })

  describe('with a report that lists a task of a waiting job', () => {
    const report = (number: number): ServerReport => ({ incarnation: 1, clock: 1, running: [], ended: [{ position: 1, task: `${idOf(number)}.0.0.0` as TaskName, run: 1_000_001 as never, how: 'done', checkpoint: '' }], hasMoreEnds: false, sentAt: 1, receivedAt: 2 })

    it('reads the job first', async () => {
      const owner = new Owner(numbers(MOST_PLANNED + 10).map(number => jobNumber(number)))
      expect(await owner.intake.readJobsOf(report(MOST_PLANNED + 3))).to.equal(true)
      expect(owner.isPlanned(MOST_PLANNED + 3)).to.equal(true)
    })

    it('waits for the job if it is being read', async () => {
      const owner = new Owner(numbers(MOST_PLANNED + 10).map(number => jobNumber(number)))
      for (const number of numbers(20)) owner.planner.cancel(idOf(number), 0)
      owner.intake.fill()
      expect(owner.isPlanned(MOST_PLANNED + 3)).to.equal(false)
      expect(await owner.intake.readJobsOf(report(MOST_PLANNED + 3))).to.equal(true)
      expect(owner.isPlanned(MOST_PLANNED + 3)).to.equal(true)
    })

    it('says so if it can\'t be read, so that no end of it is acknowledged', async () => {
      const owner = new Owner(numbers(MOST_PLANNED + 10).map(number => jobNumber(number)))
      owner.isStoreAvailable = false
      expect(await owner.intake.readJobsOf(report(MOST_PLANNED + 3))).to.equal(false)
      expect(owner.intake.waitingCount).to.equal(10)
    })
  })

  describe('with more schedules than an owner may plan', () => {
    const MINUTE = 60_000
    const schedule = { occurrences: 1440, startAt: 0, intervalMilliseconds: MINUTE }
    /** The first occurrence is done. */
    const begun = (): JobProgress => ({ hasBegun: true, steps: { '0.0': { done: [0, 1], failed: {} } } })
    const scheduled = (count: number): Owner => new Owner(numbers(count).map(number => jobNumber(number, { schedule })), numbers(count).map(number => [idOf(number), begun()]))

    it('plans a later job that is due, and none that isn\'t', async () => {
      const owner = scheduled(2 * MOST_PLANNED)
      owner.submit(jobNumber(999_999, { terms: { ...BULK, priority: 0 } }))
      await owner.fill(3)
      expect(owner.isPlanned(999_999)).to.equal(true)
      expect(owner.events.filter(event => event === 'job-planned')).to.have.length(1)
      expect(owner.intake.waitingIn(queueName('bulk'))).to.equal(0)
      expect(owner.intake.waitingCount).to.be.above(MOST_PLANNED)
    })

    it('leaves those planned that need not give way', async () => {
      const owner = scheduled(2 * MOST_PLANNED)
      owner.submit(jobNumber(999_999, { terms: { ...BULK, priority: 0 } }))
      await owner.fill(3)
      owner.now += TURN_INTERVAL_MILLISECONDS
      await owner.fill(3)
      expect(owner.planner.plannedLoad()).to.be.above(MAXIMUM_PLANNED_LOAD * 0.85)
    })

    it('plans each of them with its progress once it is due', async () => {
      const owner = scheduled(MOST_PLANNED + 100)
      owner.submit(jobNumber(999_999))
      await owner.fill(3)
      owner.now = MINUTE
      await owner.fill(300)
      expect(owner.intake.waitingCount).to.equal(101)
      expect(owner.planner.phaseOf(idOf(0))).to.equal('running')
      expect(owner.planner.progressOf(idOf(0))).to.deep.include(begun())
    })

    it('doesn\'t begin one anew whose progress is missing, and says so', async () => {
      const owner = scheduled(MOST_PLANNED + 100)
      owner.submit(jobNumber(999_999))
      await owner.fill(3)
      const [missing] = numbers(MOST_PLANNED + 100).filter(number => !owner.isPlanned(number))
      owner.progress.delete(idOf(missing!))
      owner.now = MINUTE
      await owner.fill(300)
      expect(owner.isPlanned(missing!)).to.equal(false)
      expect(owner.events).to.include('record-unreadable')
    })

    it('ends one that waits and is cancelled', async () => {
      const owner = scheduled(MOST_PLANNED + 100)
      owner.submit(jobNumber(999_999))
      await owner.fill(3)
      owner.planner.cancel(idOf(5), 0)
      owner.intake.require(idOf(5))
      await owner.fill(3)
      owner.store()
      expect(owner.planner.phaseOf(idOf(5))).to.equal('canceled')
      expect(owner.planner.progressOf(idOf(5))!.steps['0.0']!.done).to.deep.equal([0, 1])
    })

    it('gives all of them turns while they are due and can\'t run', async () => {
      const owner = scheduled(MOST_PLANNED + 300)
      owner.now = MINUTE
      await owner.fill(100)
      for (let turn = 0; turn < 8; turn += 1) {
        owner.now += TURN_INTERVAL_MILLISECONDS
        owner.planner.decide({ now: owner.now, wallTime: owner.now })
        await owner.fill(30)
      }
      const planned = owner.events.filter(event => event === 'job-planned').length
      expect(planned).to.be.at.least(300)
      expect(owner.planner.plannedLoad()).to.be.at.most(MAXIMUM_PLANNED_LOAD)
      expect(owner.intake.waitingCount).to.be.at.least(300)
    })
  })

  it('gives way to a newer owner under which a job was accepted', () => {
    const owner = new Owner([])
    owner.submit(jobNumber(1, { acceptedUnder: epoch(3) }))
    expect(owner.events).to.deep.equal(['replaced'])
  })

  describe('from the store', () => {
    it('keeps all jobs with recorded runs, however many they are', async () => {
      const placements = { 'server-1': { address: '10.0.0.1:80', tasks: [0] } }
      const selection = new JobSelection()
      for (const number of numbers(2 * MOST_PLANNED)) selection.add({ job: jobNumber(number), isCancelled: false, progress: { hasBegun: true, steps: { '0.0': { done: [], failed: {}, placements } } } })
      for (const number of numbers(MOST_PLANNED)) selection.add({ job: jobNumber(2 * MOST_PLANNED + number), isCancelled: false, progress: { hasBegun: true, hasUnlistedRuns: true, steps: {} } })
      selection.add({ job: jobNumber(999_999), isCancelled: false })
      const { jobs, waiting } = selection.selected
      expect(jobs).to.have.length(3 * MOST_PLANNED)
      expect(waiting.map(({ id }) => id)).to.deep.equal([idOf(999_999)])
    })

    it('leaves begun jobs without recorded runs waiting beyond the limit, and loses none', async () => {
      const selection = new JobSelection()
      for (const number of numbers(2 * MOST_PLANNED)) selection.add({ job: jobNumber(number), isCancelled: false, progress: { hasBegun: true, steps: {} } })
      const { jobs, waiting } = selection.selected
      expect(jobs).to.have.length(MOST_PLANNED)
      expect(waiting).to.have.length(MOST_PLANNED)
      expect(waiting.every(({ hasProgress, hasBegun }) => hasProgress && hasBegun)).to.equal(true)
    })

    it('counts long descriptions, so that few of them are planned at a time', async () => {
      const steps = Array.from({ length: 300 }, () => JOB.steps[0]!)
      const store = new MemoryRowStore().view()
      for (const number of numbers(300)) await store.write({ conditions: [], puts: [{ table: 'jobs', key: idOf(number), value: encodeJob(jobNumber(number, { steps, specification: 'x'.repeat(4000) })) }] })
      const { jobs, waiting } = await new JobStore(store).load()
      expect(jobs.length).to.be.below(150)
      expect(jobs.length + waiting.length).to.equal(300)
    })

    it('follows a table of any size without keeping its rows', async () => {
      const store = new MemoryRowStore().view()
      const stopping = new AbortController()
      const sizes: number[] = []
      const delivered = new Set<string>()
      const follower = new TableFollower(store, {
        table: 'jobs',
        isTransient: true,
        onFailure: () => {},
        onRows: (rows, _readAt, changed) => {
          sizes.push(rows.size)
          for (const key of changed) if (rows.has(key)) delivered.add(key)
          if (delivered.size === 200) stopping.abort()
        }
      })
      for (const number of numbers(150)) await store.write({ conditions: [], puts: [{ table: 'jobs', key: idOf(number), value: encodeJob(jobNumber(number)) }] })
      const following = follower.run(stopping.signal)
      for (const number of numbers(50)) await store.write({ conditions: [], puts: [{ table: 'jobs', key: idOf(1000 + number), value: encodeJob(jobNumber(1000 + number)) }] })
      await following
      expect(Math.max(...sizes)).to.be.below(150)
    })
  })
})
