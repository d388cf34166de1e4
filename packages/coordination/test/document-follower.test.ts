import { digestOf, documentVersion } from '@cornelgauge/model'
import { expect } from 'chai'
import { decideAdoption, DOCUMENT_POLL_MILLISECONDS, DocumentFollower, DOCUMENTS_TABLE, type ReceivedDocument } from '../src/index.js'
import { World } from './builders.js'

const documentOf = (version: number, text = `text ${version}`): ReceivedDocument => ({ version: documentVersion(version), digest: digestOf(text), text })

describe('document follower', () => {
  let world: World
  let adopted: number[]
  let failures: string[]
  let follower: DocumentFollower
  const peers: ReceivedDocument[] = []

  beforeEach(() => {
    world = new World()
    adopted = []
    failures = []
    peers.length = 0
    follower = new DocumentFollower({
      table: world.services.table,
      environment: 'trial',
      clock: world.clock,
      onAdopted: ({ version }) => adopted.push(version),
      onFailure: ({ code }) => failures.push(code),
      fetchFromPeers: async () => peers
    })
  })
  afterEach(() => follower.stop())

  const apply = (document: ReceivedDocument) => world.backingTable.write({
    conditions: [],
    operations: [{ type: 'put', table: DOCUMENTS_TABLE, key: 'trial', value: { ...document, appliedBy: 'operator', appliedAt: 0 } }]
  })

  describe('while the table service answers', () => {
    it('adopts each newer version within one poll', async () => {
      await apply(documentOf(1))
      await follower.start()
      await apply(documentOf(3))
      await world.clock.advance(DOCUMENT_POLL_MILLISECONDS)
      expect(adopted).to.deep.equal([1, 3])
    })

    it('never adopts an older version', async () => {
      await apply(documentOf(3))
      await follower.start()
      await apply(documentOf(2))
      await world.clock.advance(3 * DOCUMENT_POLL_MILLISECONDS)
      expect(follower.current?.version).to.equal(3)
    })

    it('reads at once after a hint of a newer version', async () => {
      await follower.start()
      await apply(documentOf(1))
      await follower.hint(documentVersion(1))
      expect(adopted).to.deep.equal([1])
    })

    it('reads again if a hint arrives during a read that began before the change', async () => {
      let finishRead = () => {}
      world.injectFaults(() => new Promise(resolve => { finishRead = () => resolve('refused') }))
      const started = follower.start()
      const hinted = follower.hint(documentVersion(1))
      await apply(documentOf(1))
      world.injectFaults(() => 'answered')
      finishRead()
      await Promise.all([started, hinted])
      expect(adopted).to.deep.equal([1])
    })

    it('reports a damaged document and keeps the one in force', async () => {
      await apply(documentOf(1))
      await follower.start()
      await apply({ ...documentOf(2), text: 'other' })
      await world.clock.advance(DOCUMENT_POLL_MILLISECONDS)
      expect([adopted, failures]).to.deep.equal([[1], ['record-damaged']])
    })

    it('stops polling after stop()', async () => {
      await follower.start()
      follower.stop()
      await apply(documentOf(1))
      await world.clock.advance(5 * DOCUMENT_POLL_MILLISECONDS)
      expect(adopted).to.deep.equal([])
    })
  })

  describe('during an outage of the table service', () => {
    beforeEach(() => world.injectFaults(() => 'refused'))

    it('starts with the newest document of the peers', async () => {
      peers.push(documentOf(2), documentOf(4), documentOf(3))
      await follower.start()
      expect(adopted).to.deep.equal([4])
    })

    it('adopts a document that a peer announced, and polls the table again after the outage', async () => {
      peers.push(documentOf(2))
      await follower.start()
      peers.push(documentOf(3))
      await follower.hint(documentVersion(3))
      await apply(documentOf(4))
      world.injectFaults(() => 'answered')
      await world.clock.advance(DOCUMENT_POLL_MILLISECONDS)
      expect(adopted).to.deep.equal([2, 3, 4])
    })

    it('keeps the document in force, and fetches nothing from peers without a hint', async () => {
      world.injectFaults(() => 'answered')
      await apply(documentOf(5))
      await follower.start()
      world.injectFaults(() => 'refused')
      peers.push(documentOf(6))
      await world.clock.advance(3 * DOCUMENT_POLL_MILLISECONDS)
      expect(adopted).to.deep.equal([5])
    })
  })

  describe('adopt', () => {
    it('accepts only a newer version that matches its digest', () => {
      expect(decideAdoption(documentOf(1), documentOf(2)).type).to.equal('adopted')
      expect(decideAdoption(documentOf(2), documentOf(2, 'other')).type).to.equal('not-newer')
      expect(decideAdoption(undefined, { ...documentOf(1), digest: digestOf('other') }).type).to.equal('damaged')
    })
  })
})
