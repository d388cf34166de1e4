/** What VMs of earlier releases do: what their owners write, and when they replace an owner. */
import { pause } from '@cornelgauge/coordination'
import { epoch, vmName, type Epoch } from '@cornelgauge/model'
import type { RowStore } from '@cornelgauge/ports'
import type { Member, PeerReply } from '../src/messages.js'
import { NO_OWNER, readOwner } from '../src/owner-record.js'
import { SimulatedVm, type Deployment } from './deployment.js'

/** Limits of these releases, in milliseconds. */
const HEARTBEAT_MILLISECONDS = 200
const HEARTBEAT_TIMEOUT_MILLISECONDS = 300
const SUCCESSION_STEP_MILLISECONDS = 120
const MISSED_HEARTBEATS = 2

type HeartbeatReply = Extract<PeerReply, { kind: 'beat' }>

/**
 * Claims the planner as an owner of an earlier release, whose row has no `recordedSince`.
 *
 * @example
 * const epoch = await claimOfEarlierRelease(view)
 */
export async function claimOfEarlierRelease (store: RowStore): Promise<Epoch> {
  const known = await readOwner(store) ?? NO_OWNER
  const next = epoch(known.epoch + 1)
  await store.write({
    conditions: [{ table: 'owner', key: 'planner', version: known.version }],
    puts: [{ table: 'owner', key: 'planner', value: { vm: vmName('vm-earlier'), address: '10.0.0.8:7000', epoch: next, claim: `claim-${next}` } }]
  })
  return next
}

/**
 * A VM of a release that replaces an owner after two heartbeats without a reply, unless one of the first three
 * other VMs has received one within 500 ms. It doesn't plan.
 *
 * @example
 * new EarlierVm(deployment, 'vm-earlier').start()
 */
export class EarlierVm extends SimulatedVm {
  readonly #deployment: Deployment
  #members: readonly Member[] = []

  constructor (deployment: Deployment, name: string) {
    super(deployment, { vm: vmName(name), address: `${name}:7000` }, [])
    this.#deployment = deployment
  }

  /** Follows the owner until this VM claims the planner or is stopped. */
  async run (): Promise<void> {
    const { clock } = this.#deployment
    let missed = 0
    while (!this.stopping.signal.aborted) {
      const owner = (await readOwner(this.#deployment.storeFor(this)))!
      const reply = await this.#sendHeartbeat(owner.address)
      missed = reply?.isOwner === true ? 0 : missed + 1
      if (reply?.isOwner === true) this.#members = reply.members ?? this.#members
      if (missed === MISSED_HEARTBEATS) {
        const others = this.#members.filter(({ vm }) => vm !== owner.vm && vm !== this.member.vm)
        await pause(clock, others.filter(({ vm }) => vm < this.member.vm).length * SUCCESSION_STEP_MILLISECONDS)
        const replies = await Promise.all(others.slice(0, 3).map(({ address }) => this.#sendHeartbeat(address)))
        const isReachable = replies.some(answer => answer !== undefined && (answer.isOwner || answer.ownerHeardAge < HEARTBEAT_MILLISECONDS + HEARTBEAT_TIMEOUT_MILLISECONDS))
        if (!isReachable) {
          if (this.stopping.signal.aborted || (await readOwner(this.#deployment.storeFor(this)))!.epoch !== owner.epoch) return
          this.#deployment.claims.push({ vm: this.member.vm, epoch: await claimOfEarlierRelease(this.#deployment.store.view()), at: clock.now() })
          return
        }
        missed = 0
      }
      if (missed === 0) await pause(clock, HEARTBEAT_MILLISECONDS)
    }
  }

  async #sendHeartbeat (address: string): Promise<HeartbeatReply | undefined> {
    const deployment = this.#deployment
    try {
      return await deployment.call(this, address, { kind: 'beat', member: this.member, storeAge: 0 }, HEARTBEAT_TIMEOUT_MILLISECONDS) as HeartbeatReply
    } catch {
      return undefined
    }
  }
}
