import { epoch, vmName, type CornelgaugeError } from '@cornelgauge/model'
import { MemoryRowStore, VirtualClock } from '@cornelgauge/ports'
import { connectionLost } from '@cornelgauge/wire'
import { expect } from 'chai'
import { HEARTBEAT_MILLISECONDS } from '../src/limits.js'
import { Leadership } from '../src/leadership.js'
import type { KnownOwner, PeerReply, PeerRequest } from '../src/messages.js'
import type { Peers } from '../src/peers.js'

const SELF = { vm: vmName('vm-a'), address: '10.0.0.1:7000' }
const OTHER = { vm: vmName('vm-b'), address: '10.0.0.2:7000' }

/** Time within which ownership must be claimed from a failed owner, as the users require, in milliseconds. */
const RECLAIM_MILLISECONDS = 2700

type Call = (address: string, request: PeerRequest, timeout?: number) => Promise<PeerReply>

/** Runs the leadership of `vm-a` for a while, with a store in which `vm-b` is the owner with epoch 3. */
async function follow (call: Call, milliseconds: number, { clock = new VirtualClock(), load = async () => {} }: { readonly clock?: VirtualClock, readonly load?: (attempt: number) => Promise<void> } = {}): Promise<{ epoch: unknown, owned: number, lost: number }> {
  const store = new MemoryRowStore()
  store.apply({ conditions: [], puts: [{ table: 'owner', key: 'planner', value: { ...OTHER, epoch: 3, claim: 'earlier' } }] })
  let owned = 0
  let lost = 0
  const leadership = new Leadership({
    self: SELF,
    seeds: [],
    store: store.view(),
    peers: { call } as unknown as Peers,
    emit: () => {},
    clock,
    storeAge: () => 0,
    onOwned: async () => {
      owned += 1
      await load(owned)
    },
    onLost: () => { lost += 1 }
  })
  const stopping = new AbortController()
  const running = leadership.run(stopping.signal)
  await clock.advance(milliseconds)
  stopping.abort()
  await running
  return { epoch: store.rows('owner')[0]!.value.epoch, owned, lost }
}

const answerOf = (known: number, isOwner: boolean): PeerReply => {
  const owner: KnownOwner = { ...OTHER, epoch: epoch(known), version: 1 }
  return { kind: 'beat', isOwner, owner, members: [], ownerHeardAge: 0 }
}

/** Replies once as an owner that claimed a minute ago, and then as the call given. */
function settledUntilFirstReply (call: Call): Call {
  let calls = 0
  return async (address, request, timeout) => {
    calls += 1
    return calls === 1 ? { ...answerOf(3, true), ownedMilliseconds: 60_000 } as PeerReply : await call(address, request, timeout)
  }
}

describe('leadership', () => {
  it('follows an owner that answers', async () => {
    expect(await follow(async () => answerOf(3, true), 300)).to.deep.equal({ epoch: 3, owned: 0, lost: 0 })
  })

  it('claims at once if the owner\'s VM replies that it is no longer the owner', async () => {
    const clock = new VirtualClock()
    const startedAt = clock.now()
    const call: Call = async () => answerOf(3, clock.now() - startedAt < 500)
    expect(await follow(call, 800, { clock })).to.deep.equal({ epoch: 4, owned: 1, lost: 0 })
  })

  it('claims after a start once VMs that started with it must be known, if the owner\'s VM replies that it is no longer the owner', async () => {
    expect(await follow(async () => answerOf(3, false), 250)).to.deep.equal({ epoch: 3, owned: 0, lost: 0 })
    expect(await follow(async () => answerOf(3, false), 800)).to.deep.equal({ epoch: 4, owned: 1, lost: 0 })
  })

  it('does not claim from a VM that has not learned yet that its own claim succeeded', async () => {
    let calls = 0
    const call: Call = async () => {
      calls += 1
      return calls === 1 ? answerOf(2, false) : answerOf(3, true)
    }
    expect(await follow(call, 600)).to.deep.equal({ epoch: 3, owned: 0, lost: 0 })
  })

  describe('when the owner does not answer and no other VM reaches it', () => {
    const unreachable: Call = async () => { throw new Error('no answer') }

    it('claims from one that has owned the planner for long', async () => {
      expect(await follow(settledUntilFirstReply(unreachable), 1500)).to.deep.equal({ epoch: 4, owned: 1, lost: 0 })
    })

    it('claims from one that has never answered, within the reclaim bound', async () => {
      expect(await follow(unreachable, RECLAIM_MILLISECONDS)).to.deep.equal({ epoch: 4, owned: 1, lost: 0 })
    })
  })

  describe('heartbeats whose connection fails at once', () => {
    const afterOneReply = (failure: CornelgaugeError): Call => {
      let calls = 0
      return async () => {
        calls += 1
        if (calls === 1) return answerOf(3, true)
        throw failure
      }
    }

    it('show that the owner is down if its host refuses the connection', async () => {
      const refused = connectionLost('not-connected', false, Object.assign(new Error('refused'), { code: 'ECONNREFUSED' }))
      expect(await follow(afterOneReply(refused), 950)).to.deep.equal({ epoch: 4, owned: 1, lost: 0 })
    })

    it('show nothing if the owner does not complete a handshake in time', async () => {
      expect(await follow(afterOneReply(connectionLost('not-connected', false)), 950)).to.deep.equal({ epoch: 3, owned: 0, lost: 0 })
    })
  })

  it('ends an ownership whose planner fails to load, and claims again', async () => {
    const load = async (attempt: number): Promise<void> => { if (attempt === 1) throw new TypeError('an odd row') }
    const { owned, lost, epoch: last } = await follow(async () => answerOf(3, false), 1500, { load })
    expect({ owned, lost, last }).to.deep.equal({ owned: 2, lost: 1, last: 5 })
  })

  it('repeats an unanswered heartbeat at once, and considers the owner failed in less than half of the reclaim bound', async () => {
    const clock = new VirtualClock()
    const calls: { readonly at: number, readonly timeout: number }[] = []
    const unreachable = async (_address: string, _request: PeerRequest, timeout?: number): Promise<PeerReply> => {
      calls.push({ at: clock.now(), timeout: timeout! })
      throw new Error('no answer')
    }
    expect((await follow(settledUntilFirstReply(unreachable), 1500, { clock })).owned).to.equal(1)
    const [first, second] = calls
    expect(second!.at - first!.at).to.be.below(HEARTBEAT_MILLISECONDS)
    expect(HEARTBEAT_MILLISECONDS + first!.timeout + second!.timeout).to.be.below(RECLAIM_MILLISECONDS / 2)
  })

  it('does not claim from an owner that only this VM fails to reach', async () => {
    const member = { vm: vmName('vm-c'), address: '10.0.0.3:7000' }
    let calls = 0
    const call: Call = async address => {
      if (address === member.address) return { ...answerOf(3, false), ownerHeardAge: 100 } as PeerReply
      calls += 1
      if (calls === 1) return { ...answerOf(3, true), members: [member] } as PeerReply
      throw new Error('no answer')
    }
    expect(await follow(call, 1800)).to.deep.equal({ epoch: 3, owned: 0, lost: 0 })
  })
})
