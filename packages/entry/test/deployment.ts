/** Many VMs that follow one owner, on a virtual clock, with a network and processors that a test disturbs. */
import { pause } from '@cornelgauge/coordination'
import { CornelgaugeError, vmName } from '@cornelgauge/model'
import { MemoryRowStore, VirtualClock, type Clock, type RowStore } from '@cornelgauge/ports'
import { Leadership } from '../src/leadership.js'
import type { Member, PeerReply, PeerRequest } from '../src/messages.js'
import type { OwnerRecord } from '../src/owner-record.js'
import type { Peers } from '../src/peers.js'

const LATENCY_MILLISECONDS = 1
const STORE_LATENCY_MILLISECONDS = 4

/** A claim that took effect. */
export interface Claim {
  readonly vm: string
  readonly epoch: number
  readonly at: number
}

/** One VM of a deployment; a test changes its fields. */
export class SimulatedVm {
  readonly member: Member
  readonly leadership: Leadership
  readonly stopping = new AbortController()
  readonly #deployment: Deployment
  /** The VM has no power: nothing it sends or receives arrives. */
  isDown = false
  /** Its replies arrive this much later. */
  replyDelay = 0
  /** Its replies aren't sent before this time. */
  mutedUntil = 0
  /** Its process doesn't run before this time. */
  stalledUntil = 0
  /** The store's answers to its writes arrive this much later. */
  writeAnswerDelay = 0
  /** Milliseconds since the store last answered it, as it says itself. */
  storeAge = 0
  /** The loads that it has begun, each until its signal aborts. */
  readonly loads: AbortSignal[] = []

  constructor (deployment: Deployment, member: Member, seeds: readonly string[]) {
    this.#deployment = deployment
    this.member = member
    this.leadership = new Leadership({
      self: member,
      seeds,
      store: deployment.storeFor(this),
      peers: { call: (address: string, request: PeerRequest, timeout: number) => deployment.call(this, address, request, timeout) } as unknown as Peers,
      emit: () => {},
      clock: this.#clock,
      storeAge: () => this.storeAge,
      onOwned: (owner, signal?: AbortSignal) => this.#load(owner, signal),
      onLost: () => {}
    })
  }

  get #clock (): Clock {
    const { clock } = this.#deployment
    const after: Clock['after'] = (delay, action) => {
      let cancel = clock.after(delay, () => {
        if (clock.now() < this.stalledUntil) cancel = after(this.stalledUntil - clock.now(), action)
        else action()
      })
      return () => cancel()
    }
    return { now: () => clock.now(), after }
  }

  async #load (owner: OwnerRecord, signal?: AbortSignal): Promise<void> {
    this.#deployment.claims.push({ vm: this.member.vm, epoch: owner.epoch, at: this.#deployment.clock.now() })
    this.#deployment.onClaim(this)
    if (signal !== undefined) this.loads.push(signal)
    await pause(this.#deployment.clock, this.#deployment.loadMilliseconds, signal)
  }
}

/**
 * VMs whose names, in order, are `vm-00`, `vm-01`, …
 *
 * @example
 * const deployment = new Deployment([1, 1, 4])
 * await deployment.start()
 */
export class Deployment {
  readonly clock = new VirtualClock()
  readonly store = new MemoryRowStore()
  readonly vms: SimulatedVm[]
  readonly claims: Claim[] = []
  readonly #running: Promise<void>[] = []
  replies = 0
  replyBytes = 0
  loadMilliseconds = 0
  onClaim: (vm: SimulatedVm) => void = () => {}

  constructor (weights: readonly number[]) {
    const members = weights.map((weight, index) => ({ vm: vmName(`vm-${String(index).padStart(2, '0')}`), address: `10.0.0.${index}:7000`, weight }))
    const seeds = members.slice(0, 3).map(member => member.address)
    this.vms = members.map(member => new SimulatedVm(this, member, seeds))
  }

  get owners (): readonly string[] {
    return this.vms.filter(vm => vm.leadership.isOwner && !vm.isDown).map(vm => vm.member.vm)
  }

  /** Starts the VMs one after another, with the first as the owner unless the store has one. */
  async start (intervalMilliseconds = 20): Promise<void> {
    for (const vm of this.vms) {
      this.#running.push(vm.leadership.run(vm.stopping.signal))
      await this.clock.advance(intervalMilliseconds)
    }
  }

  /** Starts one more VM, whose leadership runs unless it follows the owner by other rules. */
  add (vm: SimulatedVm, running = vm.leadership.run(vm.stopping.signal)): void {
    this.vms.push(vm)
    this.#running.push(running)
  }

  /** Ends the process of a VM without a word, and starts another one under its name and address. */
  restart (vm: SimulatedVm): SimulatedVm {
    vm.isDown = true
    vm.stopping.abort()
    const next = new SimulatedVm(this, vm.member, this.vms.slice(0, 3).map(({ member }) => member.address))
    this.vms[this.vms.indexOf(vm)] = next
    this.#running.push(next.leadership.run(next.stopping.signal))
    return next
  }

  async stop (): Promise<void> {
    this.vms.forEach(vm => vm.stopping.abort())
    await this.clock.advance(30_000)
    await Promise.all(this.#running)
  }

  storeFor (vm: SimulatedVm): RowStore {
    const view = this.store.view()
    const reach = async (): Promise<void> => {
      await pause(this.clock, STORE_LATENCY_MILLISECONDS)
      if (vm.isDown) throw new CornelgaugeError('timeout')
    }
    return {
      read: async (table: string, key: string) => {
        await reach()
        return await view.read(table, key)
      },
      write: async (transaction: Parameters<RowStore['write']>[0]) => {
        await reach()
        const outcome = await view.write(transaction)
        await pause(this.clock, vm.writeAnswerDelay)
        if (vm.isDown) throw new CornelgaugeError('timeout')
        return outcome
      }
    } as unknown as RowStore
  }

  async call (from: SimulatedVm, address: string, request: PeerRequest, timeout: number): Promise<PeerReply> {
    const startedAt = this.clock.now()
    const to = this.vms.find(vm => vm.member.address === address)!
    const reply = await Promise.race([this.#deliver(from, to, request), pause(this.clock, timeout)])
    // What reached a stalled process is read after the timers that became due meanwhile.
    if (this.clock.now() < from.stalledUntil) await pause(this.clock, from.stalledUntil + LATENCY_MILLISECONDS - this.clock.now())
    const isOverdue = this.clock.now() - startedAt > timeout
    if (reply === undefined || isOverdue || from.isDown) throw new CornelgaugeError('timeout', { detail: `After ${this.clock.now() - startedAt} ms` })
    this.replies += 1
    this.replyBytes += JSON.stringify(reply).length
    return reply
  }

  async #deliver (from: SimulatedVm, to: SimulatedVm, request: PeerRequest): Promise<PeerReply | undefined> {
    await pause(this.clock, LATENCY_MILLISECONDS)
    if (to.isDown || from.isDown) return await new Promise(() => {})
    await pause(this.clock, Math.max(to.replyDelay, to.mutedUntil - this.clock.now(), to.stalledUntil - this.clock.now()))
    if (to.isDown) return await new Promise(() => {})
    if (request.kind === 'succeed') {
      await to.leadership.takeOver(request.owner)
      return { kind: 'taken' }
    }
    if (request.kind !== 'beat') throw new CornelgaugeError('protocol-violation')
    return to.leadership.answerHeartbeat(request)
  }
}
