import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { vmName } from '@cornelgauge/model'
import { jobId, type JobPhase } from '@cornelgauge/jobs'
import { MemoryRowStore } from '@cornelgauge/ports'
import { expect } from 'chai'
import { EntryVm } from '../src/entry-vm.js'
import type { PlatformView } from '../src/platform-view.js'
import { JOB } from './sample-job.js'

const { acceptedUnder: _, ...DRAFT } = JOB
const [EARLIER, LATER, CANCELLED] = ['00000000000000a1', '00000000000000a2', '00000000000000a3'].map(jobId)
/** Time for a VM to own or to follow, with slack for a busy machine. */
const SETTLED_MILLISECONDS = 10_000
/** Time over which callers ask while the VM restarts and the next owner loads. */
const OBSERVED_MILLISECONDS = 2500
const HOST = '127.0.0.1'

const pause = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds))

async function freePort (): Promise<number> {
  const server = createServer().listen(0, HOST)
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return port
}

/** An address that leads to one process, and, after a silent restart, to the next one: the earlier connections stay open, and carry nothing more. */
class MovedAddress {
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  port = 0
  target = 0

  constructor () {
    this.#server = createServer(incoming => {
      const outgoing = connect({ host: HOST, port: this.target })
      for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]] as const) {
        this.#sockets.add(from)
        from.on('error', () => {})
        from.on('close', () => to.destroy())
        from.pipe(to)
      }
    })
  }

  async listen (): Promise<void> {
    this.#server.listen(0, HOST)
    await once(this.#server, 'listening')
    this.port = (this.#server.address() as AddressInfo).port
  }

  /** Lets the open connections carry nothing more; their ends don't learn of it. */
  silence (): void {
    for (const socket of this.#sockets) {
      socket.unpipe()
      socket.pause()
      socket.removeAllListeners('close')
    }
  }

  close (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }
}

describe('an entry VM that restarts under its name and address', function () {
  this.timeout(6 * SETTLED_MILLISECONDS)
  let store: MemoryRowStore
  let address: MovedAddress
  let seeds: string[]
  let vms: EntryVm[]
  let follower: EntryVm
  let owner: EntryVm

  async function start (name: string, ownAddress: string, port: number): Promise<EntryVm> {
    const view = store.view()
    const vm = new EntryVm({
      vm: vmName(name),
      address: ownAddress,
      peerRoute: { listenAddress: `${HOST}:${port}`, localAddress: HOST },
      seeds,
      secret: 'secret',
      clock: { tick: () => 1, witness: () => {} },
      emit: () => {},
      platform: {
        store: view,
        servers: { retainConnections: () => {}, close: async () => {} },
        configurationTable: 'op',
        readConfiguration: () => undefined,
        registryTable: 'servers',
        readRegistry: () => []
      } as unknown as PlatformView
    })
    vms.push(vm)
    await vm.start()
    return vm
  }

  async function until (isReached: () => boolean | Promise<boolean>): Promise<void> {
    const deadline = performance.now() + SETTLED_MILLISECONDS
    while (!await isReached() && performance.now() < deadline) await pause(20)
    expect(await isReached()).to.equal(true)
  }

  const phaseAt = async (vm: EntryVm, id = EARLIER!): Promise<JobPhase | undefined> => await vm.phaseOf(id)
  const submit = async (vm: EntryVm, id = EARLIER!): Promise<void> => { await vm.submit({ ...DRAFT, id }, performance.now() + 3000) }

  beforeEach(async () => {
    store = new MemoryRowStore()
    vms = []
    address = new MovedAddress()
    await address.listen()
    const ports = [await freePort(), await freePort()]
    address.target = ports[0]!
    const addresses = [`${HOST}:${address.port}`, `${HOST}:${ports[1]}`]
    seeds = addresses
    owner = await start('vm-a', addresses[0]!, ports[0]!)
    await until(() => owner.isOwner)
    follower = await start('vm-b', addresses[1]!, ports[1]!)
    await until(async () => await follower.queuedIn(JOB.queue).then(count => count === 0, () => false))
  })

  afterEach(async () => {
    await Promise.all(vms.map(async vm => await vm.stop()))
    address.close()
  })

  const ways: readonly { readonly name: string, readonly end: () => void }[] = [
    { name: 'whose connections break', end: () => {} },
    { name: 'whose connections stay open and silent', end: () => address.silence() }
  ]
  for (const { name, end } of ways) {
    it(`loses and forgets no job, ${name}`, async () => {
      await submit(follower)
      await submit(follower, CANCELLED!)
      end()
      await owner.stop()
      address.target = await freePort()
      const restarted = await start('vm-a', seeds[0]!, address.target)
      const answers = new Set<JobPhase | undefined>()
      const asking = [follower, restarted].map(async vm => {
        const deadline = performance.now() + OBSERVED_MILLISECONDS
        while (performance.now() < deadline) {
          answers.add(await phaseAt(vm))
          await pause(10)
        }
      })
      await submit(restarted, LATER!)
      expect(await follower.cancel(CANCELLED!, performance.now() + 3000)).to.equal(true)
      await Promise.all(asking)
      expect([...answers]).to.deep.equal(['queued'])
      await until(() => [follower, restarted].some(vm => vm.isOwner))
      for (const vm of [follower, restarted]) {
        await until(async () => await vm.queuedIn(JOB.queue).then(count => count === 2, () => false))
        expect(await Promise.all([EARLIER!, LATER!, CANCELLED!].map(async id => await phaseAt(vm, id)))).to.deep.equal(['queued', 'queued', 'canceled'])
      }
    })
  }
})
