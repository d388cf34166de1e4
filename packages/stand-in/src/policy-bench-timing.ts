/** Measures the wall-clock time of one decision in cells of increasing size. */
import { backendServerName, kindName, rackName, requestId, requestKey, workspaceName, type RequestId, type Shape } from '@cornelgauge/model'
import { applyChange, createPolicy, decide, type Job, type KindSettings, type Plan, type PolicySettings, type PolicyState } from '@cornelgauge/policy'
import { quantile } from './policy-bench-measure.js'
import { Random } from './policy-bench-random.js'

/** Decision times for one cell size, in milliseconds. */
export interface Timing {
  readonly accelerators: number
  readonly running: number
  readonly gang: number
  readonly median: number
  readonly percentile99: number
  /** Median time to apply the end of one job. */
  readonly medianChange: number
}

const ACCELERATORS_PER_SERVER = 8
const SLOTS_PER_SERVER = 44
const TASKS_PER_SERVER = 43
const SERVERS_PER_RACK = 8
const LARGEST_GANG = 1024
const GANG_SHARE = 0.64
const WARM_UP = 300
const ROUNDS = 1500
const SIZES = [240, 480, 960, 1620, 3240]
const WORKSPACES = ['a', 'b', 'c', 'd'].map(workspaceName)
const ONE_SLOT: Shape = { slots: 1, accelerators: 0, adjacency: 'server' }
const ONE_ACCELERATOR: Shape = { slots: 1, accelerators: 1, adjacency: 'server' }

function makeKind (name: string, changes: Partial<KindSettings>): KindSettings {
  return { name: kindName(name), urgent: false, idempotent: false, checkpointable: false, minimumShare: 0.1, ...changes }
}

const SETTINGS: PolicySettings = {
  kinds: [makeKind('short', { urgent: true }), makeKind('long', { checkpointable: true, minimumShare: 0.2 }), makeKind('bulk', { idempotent: true })],
  workspaces: WORKSPACES.map((name, index) => ({
    name,
    weight: 1,
    guarantees: index === 0 ? [{ shape: { slots: 1, accelerators: 16, adjacency: 'rack' }, count: 2 }] : [],
    maximumPending: 100_000
  })),
  reclaimMilliseconds: 5000,
  seed: 1
}

/** A busy cell in which each step ends one task and adds another. */
class TimedCell {
  readonly #random = new Random(1)
  readonly #running: RequestId[] = []
  readonly decisionTimes: number[] = []
  readonly changeTimes: number[] = []
  #state: PolicyState = createPolicy(SETTINGS)
  #now = 0
  #jobCount = 0

  constructor (servers: number) {
    for (let index = 0; index < servers; index++) {
      const rack = Math.floor(index / SERVERS_PER_RACK)
      const server = { name: backendServerName(`server-${index}`), rack: rackName(`rack-${rack}`), rackPosition: rack, slots: SLOTS_PER_SERVER, accelerators: ACCELERATORS_PER_SERVER }
      this.#state = applyChange(this.#state, { type: 'server-joined', server, at: 0 })
    }
  }

  get running (): number {
    return this.#running.length
  }

  add (kind: string, shape: Shape, count = 1): void {
    for (let index = 0; index < count; index++) {
      const workspace = WORKSPACES[this.#jobCount % WORKSPACES.length] as Job['workspace']
      const id = requestId(workspace, requestKey(String(this.#jobCount++)))
      const job = { id, workspace, kind: kindName(kind), shape, arrivedAt: this.#now, deadline: Number.MAX_SAFE_INTEGER, declaredMilliseconds: 1000, attempts: 0 }
      this.#state = applyChange(this.#state, { type: 'job-arrived', job, at: this.#now })
    }
  }

  decide (): void {
    this.#execute(recordTime(this.decisionTimes, () => decide(this.#state, this.#now)))
  }

  /** Ends one task, adds another and lets the policy decide. */
  step (): void {
    this.#now += 3
    const index = Math.floor(this.#random.uniform() * this.#running.length)
    const [id] = this.#running.splice(index, 1) as [RequestId]
    recordTime(this.changeTimes, () => {
      this.#state = applyChange(this.#state, { type: 'job-ended', id, outcome: 'finished', at: this.#now })
    })
    this.add(this.#random.uniform() < 0.7 ? 'bulk' : 'short', ONE_SLOT)
    this.decide()
  }

  #execute ({ state, decisions }: Plan): void {
    this.#state = state
    for (const { type, id } of decisions) {
      if (type === 'start') this.#running.push(id)
      if (type !== 'preempt') continue
      this.#running.splice(this.#running.indexOf(id), 1)
      this.#state = applyChange(this.#state, { type: 'job-ended', id, outcome: 'stopped', at: this.#now })
    }
  }
}

function recordTime<Result> (times: number[], work: () => Result): Result {
  const before = process.hrtime.bigint()
  const result = work()
  times.push(Number(process.hrtime.bigint() - before) / 1e6)
  return result
}

function timeCell (accelerators: number): Timing {
  const servers = Math.ceil(accelerators / ACCELERATORS_PER_SERVER)
  const cell = new TimedCell(servers)
  const tasks = servers * TASKS_PER_SERVER
  cell.add('long', ONE_ACCELERATOR, tasks / 5)
  cell.add('short', ONE_SLOT, tasks / 5)
  cell.add('bulk', ONE_SLOT, 3 * tasks / 5)
  cell.decide()
  const gang = Math.min(LARGEST_GANG, Math.floor(GANG_SHARE * accelerators))
  cell.add('long', { slots: 1, accelerators: gang, adjacency: 'neighbouring-racks' }, WORKSPACES.length)
  cell.add('short', ONE_SLOT, 200)
  for (let round = 0; round < ROUNDS; round++) cell.step()
  const times = cell.decisionTimes.slice(WARM_UP)
  return {
    accelerators: servers * ACCELERATORS_PER_SERVER,
    running: cell.running,
    gang,
    median: quantile(times, 0.5),
    percentile99: quantile(times, 0.99),
    medianChange: quantile(cell.changeTimes.slice(WARM_UP), 0.5)
  }
}

/** Measures decisions at each cell size while gangs wait. */
export function timeDecisions (): readonly Timing[] {
  return SIZES.map(timeCell)
}

/** Renders the times as lines of text. */
export function timingLines (timings: readonly Timing[]): readonly string[] {
  return [
    'one decision (target: median below 1 ms at 1,620 accelerators, growth at most n log n)',
    ...timings.map(({ accelerators, running, gang, median, percentile99, medianChange }) => {
      const scaled = median / (accelerators * Math.log2(accelerators)) * 1e6
      return `${accelerators} accelerators, ${running} running, gangs of ${gang}: median ${median.toFixed(3)} ms, 99th percentile ${percentile99.toFixed(3)} ms, ` +
        `one end ${medianChange.toFixed(3)} ms, median over n log n ${scaled.toFixed(1)} ns`
    })
  ]
}
