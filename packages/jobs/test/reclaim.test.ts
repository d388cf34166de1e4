import { epoch } from '@cornelgauge/model'
import { expect } from 'chai'
import * as fc from 'fast-check'
import { addCapacity } from '../src/capacity.js'
import { CapacitySnapshot, countedNeed, countFitting, type PlacementTarget } from '../src/capacity-snapshot.js'
import { poolName, runNumber, serverId, type ServerId } from '../src/ids.js'
import { JobState } from '../src/job-state.js'
import { couldHold, racksOf } from '../src/placement.js'
import { planReclaim, type ReclaimPlan, type VictimGroup } from '../src/reclaim.js'
import { RoundWork } from '../src/round-work.js'
import type { StepState } from '../src/step-state.js'
import { NO_TASKS, Server, type Run } from '../src/server.js'
import { VictimIndex } from '../src/victim-index.js'
import { job, step } from './world.js'

interface Drawn {
  readonly servers: number
  readonly perRack: number
  readonly groups: readonly { readonly servers: readonly number[], readonly cost: number, readonly accelerators: number }[]
  readonly count: number
  readonly accelerators: number
  readonly wantsOneRack: boolean
  readonly mayWaitForRack: boolean
  readonly mostPerServer: number | undefined
}

const DRAWN: fc.Arbitrary<Drawn> = fc.record({
  servers: fc.integer({ min: 1, max: 9 }),
  perRack: fc.integer({ min: 1, max: 4 }),
  groups: fc.array(fc.record({ servers: fc.array(fc.nat(8), { minLength: 1, maxLength: 5 }), cost: fc.integer({ min: 0, max: 6 }), accelerators: fc.integer({ min: 1, max: 4 }) }), { maxLength: 20 }),
  count: fc.integer({ min: 1, max: 10 }),
  accelerators: fc.constantFrom(1, 2, 4, 8),
  wantsOneRack: fc.boolean(),
  mayWaitForRack: fc.boolean(),
  mostPerServer: fc.constantFrom(undefined, 1, 2)
})

function stepOf (id: string, specification: Parameters<typeof step>[0]): StepState {
  const state = new JobState(job(id, { acceptedUnder: epoch(1), steps: [step(specification)] }), false)
  state.activate(Infinity)
  return state.steps[0]!
}

function worldOf (drawn: Drawn): { readonly targets: readonly PlacementTarget[], readonly groups: readonly VictimGroup[], readonly waiting: StepState } {
  const servers = Array.from({ length: drawn.servers }, (_, index) => new Server({
    id: serverId(`server-${index}`),
    pool: poolName('pool'),
    address: '',
    failureDomain: 'north',
    capacity: { processor: 32_000, memory: 64_000, accelerators: 8 },
    labels: [],
    rack: `rack-${Math.floor(index / drawn.perRack)}`,
    isDraining: false,
    incarnation: 1
  }, 0))
  const groups = drawn.groups.map((group, number): VictimGroup => {
    const running = stepOf(`running-${number}`, { count: group.servers.length, accelerators: group.accelerators })
    const members = group.servers.map((index, task) => {
      const server = servers[index % servers.length]!
      const run: Run = { task: running.task(task)!.name, run: runNumber(number), server: server.id, address: server.entry.address, incarnation: 1, need: countedNeed(running), state: 'running', startSentAt: 0, confirmedAt: 0, isStopConfirmed: false, stopConfirmedAt: Infinity, percent: 0, progressedAt: 0, checkpoint: '', stopSentAt: -Infinity }
      return { server, member: { task: running.task(task)!, run, need: run.need } }
    }).filter(({ server, member }) => {
      const hasRoom = server.free.accelerators >= member.need.accelerators
      if (hasRoom) server.add(member.run)
      return hasRoom
    })
    return { members: members.map(({ member }) => member), cost: group.cost }
  })
  const { count, accelerators, wantsOneRack, mostPerServer } = drawn
  const waiting = stepOf('waiting', { count, accelerators, isGang: true, wantsOneRack, ...(mostPerServer === undefined ? {} : { mostPerServer }) })
  return { targets: servers.map(server => ({ server, free: server.free, tasksOf: NO_TASKS, tasksWithoutCheckpoints: 0 })), groups: groups.filter(group => group.members.length > 0), waiting }
}

/** The plan by exhaustive search: for each task it examines all groups on all targets again. */
function exhaustivePlan (targets: readonly PlacementTarget[], waiting: StepState, groups: readonly VictimGroup[], mayWaitForRack: boolean): ReclaimPlan | undefined {
  const spread = (): ReclaimPlan | undefined => exhaustivePlanAmong(targets, waiting, groups)
  if (!waiting.specification.wantsOneRack) return spread()
  const racks = racksOf(targets)
  const plans = racks.map(rack => exhaustivePlanAmong(rack, waiting, groups)).filter(plan => plan !== undefined)
  const [cheapest] = plans.sort((left, right) => left.cost - right.cost)
  if (cheapest !== undefined) return cheapest
  return mayWaitForRack && racks.some(rack => couldHold(rack, waiting)) ? undefined : spread()
}

function exhaustivePlanAmong (among: readonly PlacementTarget[], waiting: StepState, groups: readonly VictimGroup[]): ReclaimPlan | undefined {
  const snapshot = new CapacitySnapshot(among, new RoundWork()).copy()
  const remaining = new Set(groups)
  const victims: VictimGroup[] = []
  const chosen: PlacementTarget[] = []
  while (chosen.length < waiting.count) {
    const options = snapshot.targets.map(target => exhaustiveOption(target, waiting, remaining)).filter(option => option !== undefined)
    const [best] = options.sort((left, right) => left.cost - right.cost || left.target.free.accelerators - right.target.free.accelerators)
    if (best === undefined) return undefined
    for (const group of best.victims) {
      remaining.delete(group)
      victims.push(group)
      for (const { run, need } of group.members) {
        const target = snapshot.targetOf(run.server)
        if (target !== undefined) target.free = addCapacity(target.free, need)
      }
    }
    snapshot.take(best.target, waiting)
    chosen.push(best.target)
  }
  return { targets: chosen, victims, cost: victims.reduce((sum, group) => sum + group.cost, 0) }
}

function exhaustiveOption (target: PlacementTarget, waiting: StepState, remaining: ReadonlySet<VictimGroup>): { readonly target: PlacementTarget, readonly victims: readonly VictimGroup[], readonly cost: number } | undefined {
  const victims: VictimGroup[] = []
  const trial = { ...target }
  if (countFitting(trial, waiting, 1) > 0) return { target, victims, cost: 0 }
  const here = [...remaining].filter(group => group.members.some(({ run }) => run.server === target.server.id))
  for (const group of here.sort((left, right) => left.cost - right.cost)) {
    victims.push(group)
    for (const { run, need } of group.members) if (run.server === target.server.id) trial.free = addCapacity(trial.free, need)
    if (countFitting(trial, waiting, 1) > 0) {
      const needed = neededOf(target, waiting, victims)
      return { target, victims: needed, cost: needed.reduce((sum, each) => sum + each.cost, 0) }
    }
  }
  return undefined
}

/** Of groups that make room for one task together, those that are needed when the most expensive ones are kept first. */
function neededOf (target: PlacementTarget, waiting: StepState, groups: readonly VictimGroup[]): readonly VictimGroup[] {
  let needed = [...groups].reverse()
  for (const group of [...needed]) {
    const others = needed.filter(other => other !== group)
    if (countFitting({ ...target, free: freeAfter(target, others) }, waiting, 1) > 0) needed = others
  }
  return needed
}

function freeAfter (target: PlacementTarget, groups: readonly VictimGroup[]): PlacementTarget['free'] {
  const needs = groups.flatMap(({ members }) => members.filter(({ run }) => run.server === target.server.id).map(({ need }) => need))
  return needs.reduce((free, need) => addCapacity(free, need), target.free)
}

function summaryOf (plan: ReclaimPlan | undefined): { readonly servers: readonly ServerId[], readonly victims: readonly VictimGroup[] } | undefined {
  return plan === undefined ? undefined : { servers: plan.targets.map(target => target.server.id), victims: plan.victims }
}

describe('planReclaim', () => {
  describe('with a group that alone frees enough', () => {
    it('does not stop a cheaper one beside it', () => {
      const { targets, groups, waiting } = worldOf({
        servers: 1,
        perRack: 1,
        groups: [{ servers: [0], cost: 1, accelerators: 1 }, { servers: [0], cost: 2, accelerators: 4 }, { servers: [0], cost: 3, accelerators: 3 }],
        count: 1,
        accelerators: 4,
        wantsOneRack: false,
        mayWaitForRack: false,
        mostPerServer: undefined
      })
      const work = new RoundWork()
      const plan = planReclaim(new CapacitySnapshot(targets, work), waiting, 1, new VictimIndex(groups, work), false)
      expect(plan?.victims).to.deep.equal([groups[1]])
    })
  })

  // Guards against searches of racks that can't be chosen.
  describe('with a rack in which nothing has to be stopped', () => {
    it('examines no rack behind it', () => {
      const examinations = (servers: number): number => {
        const { targets, groups, waiting } = worldOf({ servers, perRack: 4, groups: [], count: 4, accelerators: 8, wantsOneRack: true, mayWaitForRack: true, mostPerServer: undefined })
        const work = new RoundWork()
        const snapshot = new CapacitySnapshot(targets, work)
        const before = work.examinations
        expect(planReclaim(snapshot, waiting, 4, new VictimIndex(groups, work), true)?.cost).to.equal(0)
        return work.examinations - before
      }
      expect(examinations(40)).to.equal(examinations(4))
    })
  })

  describe('with racks that cost the more the later they come', () => {
    it('ends the search of each at the cost of the first', () => {
      const racks = 10
      const groups = Array.from({ length: 4 * racks }, (_, index) => ({ servers: [index], cost: 4 + Math.floor(index / 4), accelerators: 8 }))
      const { targets, groups: running, waiting } = worldOf({ servers: 4 * racks, perRack: 4, groups, count: 4, accelerators: 8, wantsOneRack: true, mayWaitForRack: true, mostPerServer: undefined })
      const work = new RoundWork()
      const snapshot = new CapacitySnapshot(targets, work)
      const index = new VictimIndex(running, work)
      const before = work.examinations
      expect(planReclaim(snapshot, waiting, 4, index, true)?.cost).to.equal(16)
      // Three examinations for each backend server, and two for each that is chosen: so many if each rack were searched to its end.
      expect(work.examinations - before).to.be.below(racks * 4 * 5)
    })
  })

  describe('with an index of the running groups', () => {
    it('chooses the targets and victims that an exhaustive search chooses', () => {
      const outcomes = { planned: 0, withVictims: 0, impossible: 0 }
      fc.assert(fc.property(DRAWN, drawn => {
        const { targets, groups, waiting } = worldOf(drawn)
        const work = new RoundWork()
        const plan = planReclaim(new CapacitySnapshot(targets, work), waiting, drawn.count, new VictimIndex(groups, work), drawn.mayWaitForRack)
        const expected = exhaustivePlan(targets, waiting, groups, drawn.mayWaitForRack)
        expect(summaryOf(plan)?.servers).to.deep.equal(summaryOf(expected)?.servers)
        expect(plan?.victims.map(group => groups.indexOf(group))).to.deep.equal(expected?.victims.map(group => groups.indexOf(group)))
        expect(plan?.cost).to.equal(expected?.cost)
        if (plan === undefined) outcomes.impossible += 1
        else outcomes.planned += 1
        if (plan !== undefined && plan.victims.length > 0) outcomes.withVictims += 1
      }), { numRuns: 1000, seed: 20 })
      expect(Math.min(...Object.values(outcomes))).to.be.above(50)
    })
  })
})
