import { expect } from 'chai'
import fc from 'fast-check'
import type { Member, RequestId, Shape } from '@cornelgauge/model'
import { workspaceName } from '@cornelgauge/model'
import { applyChange, decide, type Job, type PolicyChange, type PolicyState, type ServerDescription, type WorkspaceSettings } from '../src/index.js'
import { inside } from '../src/state.js'
import { allServers } from '../src/capacity.js'
import { addAmount, NO_AMOUNT, sumAmounts } from '../src/amount.js'
import { arrived, cell, gang, job, kind, racks, SWAP, CHECK, ROTA, slots } from './builders.js'

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
const calm = fc.oneof({ weight: 5, arbitrary: arrive }, { weight: 3, arbitrary: pick('end') }, pick('fail-start'), pick('withdraw'))
const stormy = fc.oneof({ weight: 8, arbitrary: calm }, fc.record({
  type: fc.constant('server' as const), pick: fc.nat(SERVERS.length - 1), event: fc.constantFrom('server-joined' as const, 'server-leaving' as const, 'server-lost' as const)
}))

/** The owner's part: applies an action, decides, and carries the decisions out. */
class Owner {
  state: PolicyState = cell(SERVERS, { kinds: KINDS, workspaces: WORKSPACES, declaredServers: SERVERS })
  readonly placed = new Map<RequestId, { readonly job: Job, readonly members: readonly Member[] }>()
  readonly jobs = new Map<RequestId, Job>()
  now = 0

  apply (change: PolicyChange): void {
    this.state = applyChange(this.state, change)
  }

  act (action: Action): void {
    this.now += 100
    if (action.type === 'arrive') this.arrive(action)
    else if (action.type === 'server') this.#changeServer(SERVERS[action.pick] as ServerDescription, action.event)
    else if (action.type === 'withdraw') this.#withPicked(this.#waiting(), action.pick, id => this.apply({ type: 'job-withdrawn', id, at: this.now }))
    else this.#withPicked([...this.placed.keys()], action.pick, id => this.#end(id, action.type === 'fail-start'))
    this.settle()
  }

  arrive ({ kind: index, workspace, shape }: Extract<Action, { type: 'arrive' }>): Job {
    const one = job(`${this.jobs.size}`, {
      kindName: KINDS[index]!.name, workspaceName: WORKSPACES[workspace]!.name, shape: SHAPES[shape], arrivedAt: this.now, deadline: 1e9, declaredMilliseconds: 500
    })
    this.jobs.set(one.id, one)
    this.apply({ type: 'job-arrived', job: one, at: this.now })
    return one
  }

  #waiting (): RequestId[] {
    return [...inside(this.state).waiting.jobs.keys()].sort()
  }

  #withPicked (ids: readonly RequestId[], index: number, act: (id: RequestId) => void): void {
    const id = ids[index % Math.max(1, ids.length)]
    if (id !== undefined) act(id)
  }

  #end (id: RequestId, again: boolean): void {
    const { job: one } = this.placed.get(id)!
    this.placed.delete(id)
    this.apply({ type: 'job-ended', id, outcome: again ? 'stopped' : 'finished', at: this.now })
    if (again) this.apply({ type: 'job-arrived', job: { ...one, attempts: 1 }, at: this.now })
  }

  #changeServer (server: ServerDescription, type: 'server-joined' | 'server-leaving' | 'server-lost'): void {
    if (type === 'server-joined') this.apply({ type, server, at: this.now })
    else this.apply({ type, server: server.name, at: this.now })
    if (type !== 'server-lost') return
    for (const [id, { members }] of this.placed) if (members.some(member => member.server === server.name)) this.#end(id, true)
  }

  /** Decides until nothing is left to do; preempted jobs stop at once and wait again. */
  settle (): RequestId[] {
    const started: RequestId[] = []
    for (let round = 0; round < 20; round++) {
      const plan = decide(this.state, this.now)
      this.state = plan.state
      if (plan.decisions.length === 0) return started
      for (const decision of plan.decisions) {
        if (decision.type === 'preempt') this.#end(decision.id, true)
        if (decision.type !== 'start') continue
        const one = this.jobs.get(decision.id)!
        expect(this.placed.has(decision.id)).to.equal(false)
        this.placed.set(decision.id, { job: one, members: decision.members })
        this.apply({ type: 'job-started', job: one, members: decision.members, at: this.now })
        started.push(decision.id)
      }
      checkPlaced(this)
    }
    throw new Error('the decisions never settle')
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

/** All sums of the ledgers, counted anew from the running jobs, holds, claims and reservations. */
function checkLedgers (owner: Owner): void {
  const state = inside(owner.state)
  const sumOn = (name: string, lists: Iterable<{ readonly members: readonly Member[] }>) =>
    [...lists].flatMap(one => one.members).filter(member => member.server === name).reduce((sum, member) => addAmount(sum, member), NO_AMOUNT)
  for (const server of allServers(state.capacity)) {
    const name = server.description.name
    const running = [...state.running.values()]
    expect(server.used).to.deep.equal(sumOn(name, running))
    for (const grade of ['entitled', 'pinned', 'reclaimable'] as const) {
      expect(server[grade]).to.deep.equal(sumOn(name, running.filter(one => one.grade === grade)))
    }
    expect(server.guaranteed).to.deep.equal(sumOn(name, state.guarantees.holds.values()))
    expect(server.claimed).to.deep.equal(sumOn(name, state.claims.values()))
    expect(server.reserved).to.deep.equal(sumOn(name, state.reservations.values()))
  }
}

/** Every workspace claims all of its idle guarantees at once: each claim starts as soon as borrowers have stopped. */
function checkReclaim (owner: Owner): void {
  const holds = [...inside(owner.state).guarantees.holds.values()].filter(hold => hold.occupants.length === 0)
  for (const hold of holds) {
    const before = [...inside(owner.state).waiting.jobs.keys()]
    before.forEach(id => owner.apply({ type: 'job-withdrawn', id, at: owner.now }))
    const claim = owner.arrive({ type: 'arrive', kind: 1, workspace: WORKSPACES.findIndex(one => one.name === hold.workspace), shape: 0 })
    const exact = { ...claim, shape: hold.shape }
    owner.jobs.set(claim.id, exact)
    owner.apply({ type: 'job-arrived', job: exact, at: owner.now })
    expect(owner.settle(), hold.id).to.include(claim.id)
  }
}

describe('properties', () => {
  const run = (actions: fc.Arbitrary<Action>, check: (owner: Owner) => void): void => fc.assert(fc.property(fc.array(actions, { maxLength: 40 }), list => {
    const owner = new Owner()
    owner.settle()
    list.forEach(action => owner.act(action))
    check(owner)
  }), { seed: SEED, numRuns: 150 })

  it('place every gang whole, and give no slot or accelerator twice', () => run(stormy, checkPlaced))
  it('keep all sums equal to what they stand for', () => run(stormy, checkLedgers))
  it('can reclaim every idle guarantee in every state that is reached without losing a backend server', () => run(calm, checkReclaim))

  it('decide the same whatever order equal inputs came in', () => {
    const jobs = SHAPES.flatMap((shape, index) => KINDS.map(({ name }, kindIndex) =>
      job(`${index}-${kindIndex}`, { shape, kindName: name, workspaceName: index % 2 === 0 ? 'brno' : 'praha' })))
    const settings = { kinds: KINDS, workspaces: WORKSPACES }
    const plain = decide(arrived(cell(SERVERS, settings), ...jobs), 0).decisions
    fc.assert(fc.property(fc.shuffledSubarray(jobs, { minLength: jobs.length }), fc.shuffledSubarray(SERVERS, { minLength: SERVERS.length }), (shuffled, servers) => {
      expect(decide(arrived(cell(servers, settings), ...shuffled), 0).decisions).to.deep.equal(plain)
    }), { seed: SEED, numRuns: 50 })
  })

  it('leave the state that was handed in as it was', () => run(stormy, owner => {
    const { state, now } = owner
    const first = decide(state, now)
    owner.settle()
    expect(decide(state, now).decisions).to.deep.equal(first.decisions)
  }))
})
