/** A play, drawn from a seed, of restarts, cuts, lost and late messages and changing owners, in which each run is checked. */
import { epoch } from '@cornelgauge/model'
import { jobId, parseTaskName, taskName, type Job, type JobId, type PlannerEvent, type StepSpecification, type TaskName } from '../src/index.js'
import type { ProcessContext, Work } from './backend-process.js'
import { MessageNetwork, NO_CALL_FAULTS } from './message-network.js'
import { RestartingMachine } from './restarting-machine.js'
import { RunOracle, type Finding } from './run-oracle.js'
import { SimulatedOwner, WALL_TIME_AT_START, type OwnerContext } from './simulated-owner.js'
import { SimulatedStore } from './simulated-store.js'
import { SeededRandom, VirtualTime } from './virtual-time.js'
import { CONFIGURATION, job, step } from './world.js'

const LAST_JOB_MILLISECONDS = 32_000
const CHAOS_MILLISECONDS = 40_000
/** After the last disruption: late calls, leases, and what waits for them. */
const LONGEST_AFTERMATH_MILLISECONDS = 15_000
/** The end comes once nothing is left to do, or no run has begun or ended for some time: longer than the longest work. */
const CHECK_MILLISECONDS = 5000
const IDLE_MILLISECONDS = 30_000
const EVACUATION_SEED_OFFSET = 1_000_000

/** What a play has shown. */
export interface PlayResult {
  readonly seed: number
  readonly findings: readonly Finding[]
  /** Runs that have begun, jobs that were given up for crashes, and owners. */
  readonly begun: number
  readonly givenUp: number
  readonly owners: number
  /** Runs that were moved out of evacuated failure domains. */
  readonly moved: number
}

/**
 * Plays a seed.
 *
 * @example
 * playRestarts(17).findings
 */
export function playRestarts (seed: number, hasEvacuations = false): PlayResult {
  return new RestartPlay(seed, hasEvacuations).play()
}

/** What a play has most of; each has some of all. */
type Emphasis = 'none' | 'cuts after restarts' | 'owners' | 'leases'

class RestartPlay {
  readonly #seed: number
  readonly #hasEvacuations: boolean
  readonly #emphasis: Emphasis
  readonly #random: SeededRandom
  readonly #time = new VirtualTime()
  readonly #store: SimulatedStore
  readonly #network: MessageNetwork
  readonly #oracle: RunOracle
  readonly #machines: readonly RestartingMachine[]
  readonly #ownerContext: OwnerContext
  readonly #work = new Map<string, Work>()
  readonly #givenUp = new Set<JobId>()
  readonly #owners: SimulatedOwner[] = []
  #moved = 0
  /** Share of steps with long work. */
  #longWork = 0

  constructor (seed: number, hasEvacuations: boolean) {
    this.#seed = seed
    this.#hasEvacuations = hasEvacuations
    const random = this.#random = new SeededRandom(seed)
    this.#emphasis = random.pick(['none', 'cuts after restarts', 'cuts after restarts', 'owners', 'leases'])
    const time = this.#time
    this.#store = new SimulatedStore(time, random)
    const network = this.#network = new MessageNetwork(time, random)
    const workOf = (task: string): Work => this.#work.get(task.slice(0, task.lastIndexOf('.')))!
    const oracle = this.#oracle = new RunOracle(() => time.now, task => workOf(task).members > 0)
    const mostListedEnds = random.chance(0.2) ? 2 : 500
    const enforcesCapacity = random.chance(0.7)
    const context: ProcessContext = { time, random, oracle, workOf, enforcesCapacity, mostListedEnds, gangs: new Map() }
    this.#machines = Array.from({ length: 3 + random.below(6) }, (_, index) => new RestartingMachine(index, context, network, this.#store))
    this.#ownerContext = {
      time,
      random,
      network,
      store: this.#store,
      configuration: { ...CONFIGURATION, pools: CONFIGURATION.pools.map(pool => ({ ...pool, enforcesCapacity })) },
      mostListedEnds,
      machineAt: address => this.#machines.find(machine => machine.address === address)!,
      note: (task, text) => {
        if (text.includes('(evacuated): stopped')) this.#moved += 1
        oracle.note(task, text)
      },
      onEvents: events => this.#noteEvents(events),
      onEvacuatedStart: ({ task, run, server }) => oracle.noteLeft('EVAC', task, `run ${run} is sent to ${server}, which is evacuated`)
    }
  }

  play (): PlayResult {
    for (const machine of this.#machines) machine.start()
    this.#time.after(1500, () => this.#claim(0))
    this.#drawJobs()
    this.#drawCrashes()
    this.#drawCuts()
    this.#drawDrains()
    this.#drawCallFaults()
    this.#drawOwnerFaults()
    if (this.#hasEvacuations) this.#drawEvacuations()
    this.#time.after(CHAOS_MILLISECONDS, () => this.#calm())
    this.#oracle.calmSince = CHAOS_MILLISECONDS + LONGEST_AFTERMATH_MILLISECONDS
    this.#time.run(this.#oracle.calmSince)
    while (this.#isBusy && this.#time.now < this.#oracle.lastChangeAt + IDLE_MILLISECONDS) this.#time.run(this.#time.now + CHECK_MILLISECONDS)
    this.#checkEnd()
    return { seed: this.#seed, findings: this.#oracle.findings, begun: this.#oracle.begun, givenUp: this.#givenUp.size, owners: this.#owners.length, moved: this.#moved }
  }

  /** True while the owner has open jobs or runs. */
  get #isBusy (): boolean {
    const { jobsQueued, jobsRunning, runs } = this.#owners.at(-1)!.planner.load
    return jobsQueued + jobsRunning + runs > 0
  }

  #noteEvents (events: readonly PlannerEvent[]): void {
    for (const event of events) {
      if (event.type === 'job-given-up') this.#givenUp.add(event.job)
      if (event.type === 'task-ended') this.#oracle.note(event.task, `the owner sees run ${event.run} end ${event.how} on ${event.server}${event.cause === undefined ? '' : ` (${event.cause})`}`)
    }
  }

  #drawJobs (): void {
    const random = this.#random
    const count = 8 + random.below(28)
    this.#longWork = this.#emphasis === 'leases' ? 0.5 : random.pick([0, 0.05, 0.25])
    for (let index = 0; index < count; index += 1) {
      const id = jobId(`job-${index}`)
      const steps = Array.from({ length: random.chance(0.3) ? 2 : 1 }, (_, number) => this.#drawStep(id, number))
      this.#time.after(random.between(1000, LAST_JOB_MILLISECONDS), () => {
        this.#store.jobs.set(id, job(id, { queue: random.pick(['urgent', 'bulk', 'long']), steps, acceptedAt: WALL_TIME_AT_START + this.#time.now, acceptedUnder: epoch(this.#store.epoch) }))
        if (random.chance(0.08)) this.#time.after(random.between(100, 8000), () => this.#store.cancelled.add(id))
      })
    }
  }

  #drawStep (id: JobId, number: number): StepSpecification {
    const random = this.#random
    const isGang = random.chance(0.3)
    const count = isGang ? 2 + random.below(4) : 1 + random.below(6)
    const accelerators = random.pick([1, 1, 2])
    const milliseconds = random.chance(this.#longWork) ? random.between(4000, 15_000) : random.between(150, 3000)
    this.#work.set(`${id}.0.${number}`, { milliseconds, members: isGang ? count : 0, accelerators })
    return step({ count, accelerators, isGang, savesCheckpoints: this.#hasEvacuations, estimateMilliseconds: Math.ceil(milliseconds), after: number === 0 ? [] : [number - 1] })
  }

  /** Crashes of machines or failure domains, many of them cut off soon after their return. */
  #drawCrashes (): void {
    const random = this.#random
    const isRecut = this.#emphasis === 'cuts after restarts'
    const count = isRecut ? 4 + random.below(8) : 1 + random.below(6)
    for (let index = 0; index < count; index += 1) {
      const at = random.between(3000, CHAOS_MILLISECONDS - 3000)
      const machines = this.#drawMachines(isRecut ? 0.8 : 0.4)
      const isReset = random.chance(isRecut ? 0.1 : 0.4)
      const isRefusing = random.chance(0.5)
      const downMilliseconds = isRecut || random.chance(0.7) ? random.between(50, 1200) : random.between(1200, 9000)
      const isCutAfterwards = random.chance(isRecut ? 0.9 : 0.4)
      const cutAt = at + downMilliseconds + random.between(200, 2500)
      const cutMilliseconds = random.between(1000, 5000)
      for (const machine of machines) {
        this.#time.after(at + random.between(0, 50), () => machine.crash(isReset, isRefusing))
        this.#time.after(at + downMilliseconds + random.between(0, 200), () => machine.start())
        if (isCutAfterwards) this.#time.after(cutAt + random.between(0, 30), () => this.#cut(machine, cutMilliseconds))
      }
    }
  }

  #drawCuts (): void {
    const random = this.#random
    const hasLongCuts = this.#emphasis === 'leases'
    const count = random.below(hasLongCuts ? 8 : 5)
    for (let index = 0; index < count; index += 1) {
      const at = random.between(3000, CHAOS_MILLISECONDS - 1000)
      const milliseconds = random.chance(hasLongCuts ? 0.2 : 0.7) ? random.between(200, 3000) : random.between(5000, 14_000)
      for (const machine of this.#drawMachines()) this.#time.after(at, () => this.#cut(machine, milliseconds))
    }
  }

  #drawDrains (): void {
    const random = this.#random
    const count = random.pick([0, 0, 0, 1, 3])
    for (let index = 0; index < count; index += 1) {
      const machine = random.pick(this.#machines)
      const at = random.between(5000, CHAOS_MILLISECONDS - 12_000)
      const milliseconds = random.between(2000, 6000)
      this.#time.after(at, () => machine.drain(milliseconds))
      this.#time.after(at + milliseconds + random.between(100, 3000), () => machine.start())
    }
  }

  /** Orders to evacuate failure domains, at times both, some of them withdrawn at once. They are drawn apart, so that a seed's other troubles stay. */
  #drawEvacuations (): void {
    const random = new SeededRandom(this.#seed + EVACUATION_SEED_OFFSET)
    const { evacuated } = this.#store
    for (let index = 2 + random.below(4); index > 0; index -= 1) {
      const name = `domain-${random.below(2)}`
      const at = random.between(1000, CHAOS_MILLISECONDS - 8000)
      this.#time.after(at, () => { evacuated.add(name) })
      this.#time.after(at + random.pick([20, 400, 3000, 8000]), () => { evacuated.delete(name) })
    }
  }

  #drawMachines (domainProbability = 0.4): readonly RestartingMachine[] {
    const domain = this.#random.below(2)
    return this.#random.chance(domainProbability) ? this.#machines.filter(machine => machine.domain === domain) : [this.#random.pick(this.#machines)]
  }

  #cut (machine: RestartingMachine, milliseconds: number): void {
    const until = Math.min(this.#time.now + milliseconds, CHAOS_MILLISECONDS)
    machine.cutUntil = Math.max(machine.cutUntil, until)
    machine.isHeldByCut = this.#random.chance(0.5)
    if (this.#random.chance(0.5)) machine.storeCutUntil = until
  }

  #drawCallFaults (): void {
    const random = this.#random
    const most = random.pick([0, 0.01, 0.03, 0.1])
    const faults = { lost: random.between(0, most), answerLost: random.between(0, most), late: random.between(0, most), slow: random.pick([0, 0.02, 0.1]), longestDelay: random.pick([50, 300, 900]) }
    this.#time.after(3000, () => { this.#network.faults = faults })
    const storeFaults = { answerLost: random.pick([0, 0, 0.03]), slow: random.pick([0, 0.1, 0.5]) }
    this.#time.after(3000, () => { this.#store.faults = storeFaults })
    if (!random.chance(0.25)) return
    const at = random.between(5000, CHAOS_MILLISECONDS - 9000)
    this.#time.after(at, () => { this.#store.isDown = true })
    this.#time.after(at + random.between(300, 9000), () => { this.#store.isDown = false })
  }

  #drawOwnerFaults (): void {
    const random = this.#random
    const count = this.#emphasis === 'owners' ? 3 + random.below(8) : random.pick([0, 0, 1, 1, 2, 4])
    const first = random.between(5000, CHAOS_MILLISECONDS - 12_000)
    for (let index = 0; index < count; index += 1) {
      const replace = random.pick([this.#killOwner, this.#stopOwner, this.#stallOwner, this.#replaceOwner]).bind(this)
      const isClose = this.#emphasis === 'owners' && random.chance(0.6)
      this.#time.after(isClose ? random.between(first, first + 10_000) : random.between(5000, CHAOS_MILLISECONDS - 2000), replace)
    }
    const stalls = random.pick([0, 0, 10])
    for (let index = 0; index < stalls; index += 1) this.#time.after(random.between(3000, CHAOS_MILLISECONDS), () => this.#owners.at(-1)?.loop.stall(random.between(20, 400)))
  }

  #killOwner (): void {
    this.#owners.at(-1)?.end()
    this.#claim(this.#random.between(900, 2500))
  }

  #stopOwner (): void {
    this.#owners.at(-1)?.stop()
    this.#claim(this.#random.between(0, 1200))
  }

  /** The owner's event loop stalls; if that lasts, another VM claims the planner. */
  #stallOwner (): void {
    const milliseconds = this.#random.between(200, 4000)
    this.#owners.at(-1)?.loop.stall(milliseconds)
    if (milliseconds > 1000) this.#claim(this.#random.between(900, 1500))
  }

  /** Another VM claims the planner, of which the owner learns from the store. */
  #replaceOwner (): void {
    const owner = this.#owners.at(-1)
    if (owner !== undefined) owner.isIsolated = true
    this.#claim(this.#random.between(0, 1500))
  }

  #claim (milliseconds: number): void {
    const after = this.#store.epoch
    this.#time.after(milliseconds, () => {
      if (this.#store.isDown) return this.#claim(200)
      if (this.#store.epoch !== after) return
      this.#store.epoch += 1
      const number = this.#store.epoch
      this.#time.after(this.#random.between(10, 300), () => {
        if (this.#store.epoch === number) this.#owners.push(new SimulatedOwner(this.#ownerContext, number))
      })
    })
  }

  #calm (): void {
    this.#network.faults = NO_CALL_FAULTS
    this.#store.faults = { answerLost: 0, slow: 0 }
    this.#store.isDown = false
    for (const machine of this.#machines) machine.start()
  }

  #checkEnd (): void {
    const owner = this.#owners.at(-1)!
    for (const each of this.#store.jobs.values()) {
      const phase = owner.planner.phaseOf(each.id)
      if (phase === 'completed') this.#checkCompleted(each)
      else if (!this.#store.cancelled.has(each.id) && !this.#givenUp.has(each.id)) this.#reportOpen(each, phase ?? 'unknown')
    }
    for (const { process } of this.#machines) {
      for (const { task, run } of process?.running ?? []) this.#oracle.noteLeft('ORPHAN', task, `run ${run} is on ${process!.name} at the end`)
    }
    const { runs, runsUnresolved } = owner.planner.load
    if (runs > 0) this.#oracle.noteLeft('ORPHAN', 'planner', `it has ${runs} runs, ${runsUnresolved} unresolved, at the end`)
  }

  #checkCompleted (each: Job): void {
    for (const task of tasksOf(each)) if (!this.#oracle.hasDone(task)) this.#oracle.noteLeft('MIXED', task, 'no run of it has ended done, and its job is completed')
  }

  #reportOpen (each: Job, phase: string): void {
    const { steps = {} } = this.#owners.at(-1)!.planner.progressOf(each.id) ?? {}
    const open = tasksOf(each).filter(task => {
      const address = parseTaskName(task)!
      return steps[`0.${address.step}`]?.done.includes(address.index) !== true
    })
    for (const task of open.slice(0, 1)) this.#oracle.noteLeft('LOST', task, `its job is ${phase} at the end, with ${open.length} open tasks`)
  }
}

function tasksOf ({ id, steps }: Job): readonly TaskName[] {
  return steps.flatMap(({ count }, number) => Array.from({ length: count }, (_, index) => taskName({ job: id, occurrence: 0, step: number, index })))
}
