import { expect } from 'chai'
import fc from 'fast-check'
import type { PlacementMember, RequestId, Shape } from '@cornelgauge/model'
import { workspaceName } from '@cornelgauge/model'
import { applyChange, decide, type Job, type PolicyChange, type PolicyState, type ServerDescription, type WorkspaceSettings } from '../src/index.js'
import { internalState } from '../src/state.js'
import { allServers } from '../src/capacity.js'
import { addAmount, NO_AMOUNT, sumAmounts } from '../src/amount.js'
import { cell, CHECK, gang, job, kind, racks, ROTA, slots, SWAP, withJobs } from './builders.js'

const SEED = 4
const SERVERS = racks(3, 3)
const KINDS = [SWAP, ROTA, CHECK, kind('renewal', { minimumShare: 0.1 })]
const SHAPES: Shape[] = [slots(1), slots(3), slots(8), gang(4, 'server'), gang(8), gang(20), gang(40, 'neighbouring-racks')]
const WORKSPACES: WorkspaceSettings[] = [
  { name: workspaceName('brno'), weight: 1, guarantees: [{ shape: gang(16), count: 1 }, { shape: slots(2), count: 2 }], maximumPending: 1000 },
  { name: workspaceName('praha'), weight: 2, guarantees: [{ shape: gang(8, 'server'), count: 1 }], maximumPending: 1000 }
]

type Action =
  | { readonly type: 'arrive', readonly kind: number, readonly workspace: number, readonly shape: number }
  | { readonly type: 'end', readonly pick: number }
  | { readonly type: 'fail-start', readonly pick: number }
  | { readonly type: 'withdraw', readonly pick: number }
  | { readonly type: 'server', readonly pick: number, readonly event: 'server-joined' | 'server-leaving' | 'server-lost' }

const arrive: fc.Arbitrary<Action> = fc.record({ type: fc.constant('arrive' as const), kind: fc.nat(3), workspace: fc.nat(1), shape: fc.nat(SHAPES.length - 1) })
const pick = <Type extends 'end' | 'fail-start' | 'withdraw'>(type: Type) => fc.record({ type: fc.constant(type), pick: fc.nat(50) })
const withoutServerChanges = fc.oneof({ weight: 5, arbitrary: arrive }, { weight: 3, arbitrary: pick('end') }, pick('fail-start'), pick('withdraw'))
const withServerChanges = fc.oneof({ weight: 8, arbitrary: withoutServerChanges }, fc.record({
  type: fc.constant('server' as const), pick: fc.nat(SERVERS.length - 1), event: fc.constantFrom('server-joined' as const, 'server-leaving' as const, 'server-lost' as const)
}))

/** Simulates the owner of the state: applies actions, calls `decide`, and carries out the decisions. */
class Owner {
  state: PolicyState = cell(SERVERS, { kinds: KINDS, workspaces: WORKSPACES, declaredServers: SERVERS })
  readonly placed = new Map<RequestId, { readonly job: Job, readonly members: readonly PlacementMember[] }>()
  readonly jobs = new Map<RequestId, Job>()
  now = 0

  apply (change: PolicyChange): void {
    this.state = applyChange(this.state, change)
  }

  perform (action: Action): void {
    this.now += 100
    if (action.type === 'arrive') this.arrive(action)
    else if (action.type === 'server') this.#changeServer(SERVERS[action.pick] as ServerDescription, action.event)
    else if (action.type === 'withdraw') this.#withPicked(this.#waiting(), action.pick, id => this.apply({ type: 'job-withdrawn', id, at: this.now }))
    else this.#withPicked([...this.placed.keys()], action.pick, id => this.#end(id, action.type === 'fail-start'))
    this.decideUntilDone()
  }

  arrive ({ kind: index, workspace, shape }: Extract<Action, { type: 'arrive' }>): Job {
    const arriving = job(`${this.jobs.size}`, {
      kindName: KINDS[index]!.name, workspaceName: WORKSPACES[workspace]!.name, shape: SHAPES[shape], arrivedAt: this.now, deadline: 1e9, declaredMilliseconds: 500
    })
    this.jobs.set(arriving.id, arriving)
    this.apply({ type: 'job-arrived', job: arriving, at: this.now })
    return arriving
  }

  #waiting (): RequestId[] {
    return [...internalState(this.state).waiting.jobs.keys()].sort()
  }

  #withPicked (ids: readonly RequestId[], index: number, act: (id: RequestId) => void): void {
    const id = ids[index % Math.max(1, ids.length)]
    if (id !== undefined) act(id)
  }

  #end (id: RequestId, again: boolean): void {
    const { job: ended } = this.placed.get(id)!
    this.placed.delete(id)
    this.apply({ type: 'job-ended', id, outcome: again ? 'stopped' : 'finished', at: this.now })
    if (again) this.apply({ type: 'job-arrived', job: { ...ended, attempts: 1 }, at: this.now })
  }

  #changeServer (server: ServerDescription, type: 'server-joined' | 'server-leaving' | 'server-lost'): void {
    if (type === 'server-joined') this.apply({ type, server, at: this.now })
    else this.apply({ type, server: server.name, at: this.now })
    if (type !== 'server-lost') return
    for (const [id, { members }] of this.placed) if (members.some(member => member.server === server.name)) this.#end(id, true)
  }

  /** Calls `decide` until it returns no decisions. Preempted jobs stop immediately and are queued again. */
  decideUntilDone (): RequestId[] {
    const started: RequestId[] = []
    for (let round = 0; round < 20; round++) {
      const plan = decide(this.state, this.now)
      this.state = plan.state
      if (plan.decisions.length === 0) return started
      for (const decision of plan.decisions) {
        if (decision.type === 'preempt') this.#end(decision.id, true)
        if (decision.type !== 'start') continue
        const starting = this.jobs.get(decision.id)!
        expect(this.placed.has(decision.id)).to.equal(false)
        this.placed.set(decision.id, { job: starting, members: decision.members })
        this.apply({ type: 'job-started', job: starting, members: decision.members, at: this.now })
        started.push(decision.id)
      }
      checkPlaced(this)
    }
    throw new Error('decide still returns decisions after 20 rounds')
  }
}

function checkPlaced (owner: Owner): void {
  for (const { job: { shape }, members } of owner.placed.values()) {
    if (shape.accelerators > 0) expect(sumAmounts(members).accelerators).to.equal(shape.accelerators)
    for (const member of members) expect(member.slots).to.equal(shape.slots)
    const positions = members.map(member => SERVERS.find(server => server.name === member.server)!.rackPosition)
    if (shape.adjacency === 'server') expect(members).to.have.length(1)
    if (shape.adjacency === 'rack') expect(new Set(positions).size).to.equal(1)
  }
  for (const server of SERVERS) {
    const used = sumAmounts([...owner.placed.values()].flatMap(({ members }) => members.filter(member => member.server === server.name)))
    expect(used.slots).to.be.at.most(server.slots)
    expect(used.accelerators).to.be.at.most(server.accelerators)
  }
}

/**
 * Checks the allocation totals of each backend server against the running jobs,
 * guarantees, claims and reservations.
 */
function checkAllocations (owner: Owner): void {
  const state = internalState(owner.state)
  const sumOn = (name: string, lists: Iterable<{ readonly members: readonly PlacementMember[] }>) =>
    [...lists].flatMap(entry => entry.members).filter(member => member.server === name).reduce((sum, member) => addAmount(sum, member), NO_AMOUNT)
  for (const server of allServers(state.capacity)) {
    const name = server.description.name
    const running = [...state.running.values()]
    expect(server.used).to.deep.equal(sumOn(name, running))
    for (const preemptionClass of ['entitled', 'pinned', 'reclaimable'] as const) {
      expect(server[preemptionClass]).to.deep.equal(sumOn(name, running.filter(entry => entry.preemptionClass === preemptionClass)))
    }
    expect(server.guaranteed).to.deep.equal(sumOn(name, state.guarantees.byId.values()))
    expect(server.claimed).to.deep.equal(sumOn(name, state.claims.values()))
    expect(server.reserved).to.deep.equal(sumOn(name, state.reservations.values()))
  }
}

/** Checks that a job of the exact shape starts in each idle guarantee as soon as the borrowers have stopped. */
function checkReclaim (owner: Owner): void {
  const idle = [...internalState(owner.state).guarantees.byId.values()].filter(guarantee => guarantee.occupants.length === 0)
  for (const guarantee of idle) {
    const before = [...internalState(owner.state).waiting.jobs.keys()]
    before.forEach(id => owner.apply({ type: 'job-withdrawn', id, at: owner.now }))
    const claim = owner.arrive({ type: 'arrive', kind: 1, workspace: WORKSPACES.findIndex(candidate => candidate.name === guarantee.workspace), shape: 0 })
    const exact = { ...claim, shape: guarantee.shape }
    owner.jobs.set(claim.id, exact)
    owner.apply({ type: 'job-arrived', job: exact, at: owner.now })
    expect(owner.decideUntilDone(), guarantee.id).to.include(claim.id)
  }
}

describe('properties', () => {
  const run = (actions: fc.Arbitrary<Action>, check: (owner: Owner) => void): void => fc.assert(fc.property(fc.array(actions, { maxLength: 40 }), list => {
    const owner = new Owner()
    owner.decideUntilDone()
    list.forEach(action => owner.perform(action))
    check(owner)
  }), { seed: SEED, numRuns: 150 })

  it('place gangs completely, and allocate no slot or accelerator twice', () => run(withServerChanges, checkPlaced))
  it('keep all allocation totals consistent', () => run(withServerChanges, checkAllocations))
  it('can reclaim every idle guarantee in any state reached without losing a backend server', () => run(withoutServerChanges, checkReclaim))

  it('make the same decisions regardless of the order in which the same inputs arrive', () => {
    const jobs = SHAPES.flatMap((shape, index) => KINDS.map(({ name }, kindIndex) =>
      job(`${index}-${kindIndex}`, { shape, kindName: name, workspaceName: index % 2 === 0 ? 'brno' : 'praha' })))
    const settings = { kinds: KINDS, workspaces: WORKSPACES }
    const plain = decide(withJobs(cell(SERVERS, settings), ...jobs), 0).decisions
    fc.assert(fc.property(fc.shuffledSubarray(jobs, { minLength: jobs.length }), fc.shuffledSubarray(SERVERS, { minLength: SERVERS.length }), (shuffled, servers) => {
      expect(decide(withJobs(cell(servers, settings), ...shuffled), 0).decisions).to.deep.equal(plain)
    }), { seed: SEED, numRuns: 50 })
  })

  it('do not modify the given state', () => run(withServerChanges, owner => {
    const { state, now } = owner
    const first = decide(state, now)
    owner.decideUntilDone()
    expect(decide(state, now).decisions).to.deep.equal(first.decisions)
  }))
})
