import { epoch, vmName } from '@cornelgauge/model'
import { MemoryRowStore } from '@cornelgauge/ports'
import { expect } from 'chai'
import { HEARTBEAT_MILLISECONDS } from '../src/limits.js'
import { Leadership } from '../src/leadership.js'
import type { KnownOwner, PeerAnswer, PeerQuestion } from '../src/messages.js'
import type { Peers } from '../src/peers.js'

const SELF = { vm: vmName('vm-a'), address: '10.0.0.1:7000' }
const OTHER = { vm: vmName('vm-b'), address: '10.0.0.2:7000' }

/** The users' bound on the start of a claim, in milliseconds. */
const RECLAIM_MILLISECONDS = 2700

type Ask = (address: string, question: PeerQuestion) => Promise<PeerAnswer>

/** Runs the leadership of `vm-a` for a while, with a store that names `vm-b` as owner of epoch 3. */
async function follow (ask: Ask, milliseconds: number): Promise<{ epoch: unknown, owned: number }> {
  const store = new MemoryRowStore()
  store.apply({ conditions: [], puts: [{ table: 'owner', key: 'planner', value: { ...OTHER, epoch: 3, claim: 'earlier' } }] })
  let owned = 0
  const leadership = new Leadership({
    self: SELF,
    seeds: [],
    store: store.view(),
    peers: { ask } as unknown as Peers,
    emit: () => {},
    storeAge: () => 0,
    onOwned: async () => { owned += 1 },
    onLost: () => {}
  })
  const stopping = new AbortController()
  const running = leadership.run(stopping.signal)
  await new Promise(resolve => setTimeout(resolve, milliseconds))
  stopping.abort()
  await running
  return { epoch: store.rows('owner')[0]!.value.epoch, owned }
}

const answerOf = (known: number, isOwner: boolean): PeerAnswer => {
  const owner: KnownOwner = { ...OTHER, epoch: epoch(known), version: 1 }
  return { kind: 'beat', isOwner, owner, members: [], ownerHeardAge: 0 }
}

describe('leadership', () => {
  it('follows an owner that answers', async () => {
    expect(await follow(async () => answerOf(3, true), 300)).to.deep.equal({ epoch: 3, owned: 0 })
  })

  it('claims at once where the owner\'s VM says that it isn\'t the owner any more', async () => {
    expect(await follow(async () => answerOf(3, false), 300)).to.deep.equal({ epoch: 4, owned: 1 })
  })

  it('does not claim from a VM that has yet to learn that its claim has won', async () => {
    let asked = 0
    const ask: Ask = async () => {
      asked += 1
      return asked === 1 ? answerOf(2, false) : answerOf(3, true)
    }
    expect(await follow(ask, 600)).to.deep.equal({ epoch: 3, owned: 0 })
  })

  it('claims from an owner that is silent, if no other VM hears it', async () => {
    const silent: Ask = async () => { throw new Error('no answer') }
    expect(await follow(silent, 1500)).to.deep.equal({ epoch: 4, owned: 1 })
  })

  it('asks a silent owner again at once, and takes it for gone in less than half of the reclaim bound', async () => {
    const asked: { readonly at: number, readonly timeout: number }[] = []
    const silent = async (_address: string, _question: PeerQuestion, timeout: number): Promise<PeerAnswer> => {
      asked.push({ at: performance.now(), timeout })
      throw new Error('no answer')
    }
    expect((await follow(silent as Ask, 1500)).owned).to.equal(1)
    const [first, second] = asked
    expect(second!.at - first!.at).to.be.below(HEARTBEAT_MILLISECONDS)
    expect(HEARTBEAT_MILLISECONDS + first!.timeout + second!.timeout).to.be.below(RECLAIM_MILLISECONDS / 2)
  })

  it('does not claim from an owner that only this VM misses', async () => {
    const member = { vm: vmName('vm-c'), address: '10.0.0.3:7000' }
    let asked = 0
    const ask: Ask = async address => {
      if (address === member.address) return { ...answerOf(3, false), ownerHeardAge: 100 } as PeerAnswer
      asked += 1
      if (asked === 1) return { ...answerOf(3, true), members: [member] } as PeerAnswer
      throw new Error('no answer')
    }
    expect(await follow(ask, 1800)).to.deep.equal({ epoch: 3, owned: 0 })
  })
})
