/** Measures of the long polls to backend servers: bytes of idle polls on the sockets, bytes of the JSON bodies of changes, and the rate of polls. */
import { cellName, epoch, kindName, requestId, requestKey, workspaceName } from '@cornelgauge/model'
import { HttpBackendServer, MemoryBackendServer, VirtualClock, type OwnerClaim } from '@cornelgauge/ports'
import { connect, createServer, type Socket } from 'node:net'
import type { Measure } from './slopes-measure.js'
import { OwnerHarness } from './slopes-owner-harness.js'
import { runBackendServers } from './roles.js'

const CLAIM: OwnerClaim = { cell: cellName('cell-1'), epoch: epoch(1) }
const LEASE_MILLISECONDS = 30_000
const SECONDS = 3
const POLLS = 10

async function reportBytes (changes: number): Promise<number> {
  const server = new MemoryBackendServer({ slots: changes, accelerators: 8, clock: new VirtualClock(), leaseMilliseconds: LEASE_MILLISECONDS, incarnation: 'life-1' })
  await server.prepare(CLAIM, Array.from({ length: changes }, (_, number) => ({
    request: requestId(workspaceName('team-1'), requestKey(`request-${number}`)),
    attempt: 1,
    kind: kindName('long'),
    payload: { durationMilliseconds: 60_000 },
    slots: 1,
    accelerators: 0,
    gangSize: 1,
    gangIndex: 0,
    start: true
  })))
  const answer = await server.watch({ ...CLAIM, after: 0, waitMilliseconds: 0, leaseMilliseconds: LEASE_MILLISECONDS, acknowledged: [] })
  return JSON.stringify(answer).length
}

/** Bytes on the loopback sockets, in both directions, of polls that report no change. */
async function pollBytes (servers: number): Promise<number> {
  const names = Array.from({ length: servers }, (_, number) => ({ name: `server-${number}`, address: '127.0.0.1:0' }))
  const running = await runBackendServers({ servers: names, slots: 8, accelerators: 8, usageLagMilliseconds: 0, oneWayMilliseconds: 0 })
  const counters = await Promise.all(running.map(({ line }) => CountingProxy.start(line.address)))
  const clients = counters.map(({ address }) => new HttpBackendServer({ address, timeoutMilliseconds: 1000, connections: 1 }))
  const poll = (client: HttpBackendServer): Promise<unknown> => client.watch({ ...CLAIM, after: 0, waitMilliseconds: 0, leaseMilliseconds: LEASE_MILLISECONDS, acknowledged: [] })
  for (let count = 0; count < POLLS; count++) await Promise.all(clients.map(poll))
  const bytes = counters.reduce((total, counter) => total + counter.bytes, 0)
  await Promise.all(clients.map(client => client.close()))
  counters.forEach(counter => { counter.close() })
  await Promise.all(running.map(({ server }) => server.close()))
  return bytes / POLLS
}

/** A TCP proxy that counts the bytes it forwards. */
class CountingProxy {
  readonly #server = createServer(socket => { this.#relay(socket) })
  readonly #sockets = new Set<Socket>()
  readonly #target: { readonly host: string, readonly port: number }
  bytes = 0

  constructor (target: string) {
    const [host = '', port = '0'] = target.split(':')
    this.#target = { host, port: Number(port) }
  }

  static async start (target: string): Promise<CountingProxy> {
    const proxy = new CountingProxy(target)
    await new Promise<void>(resolve => { proxy.#server.listen(0, '127.0.0.1', resolve) })
    return proxy
  }

  get address (): string {
    return `127.0.0.1:${(this.#server.address() as { port: number }).port}`
  }

  close (): void {
    this.#sockets.forEach(socket => { socket.destroy() })
    this.#server.close()
  }

  #relay (incoming: Socket): void {
    const outgoing = connect(this.#target)
    for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]] as const) {
      this.#sockets.add(from)
      from.on('data', data => { this.bytes += data.length })
      from.on('error', () => {})
      from.pipe(to)
    }
  }
}

/** The measures of the long polls. */
export const WATCH_MEASURES: readonly Measure[] = [
  {
    name: 'watch-poll',
    driver: 'poll',
    sizes: [2, 4, 8, 16, 32],
    units: { socket: 'bytes' },
    repeats: 1,
    take: async size => ({ socket: await pollBytes(size) })
  },
  {
    name: 'watch-change',
    driver: 'change reported',
    sizes: [1, 8, 16, 32, 64],
    units: { body: 'bytes' },
    repeats: 1,
    take: async size => ({ body: await reportBytes(size) })
  },
  {
    name: 'watch-rate',
    driver: 'backend server watched',
    sizes: [20, 40, 80, 160, 240],
    units: { polls: '1/s' },
    repeats: 1,
    take: async size => {
      const harness = new OwnerHarness({ servers: size, slots: 8, accelerators: 8, workspaces: 1 }).joinServers()
      const before = harness.counts.watches
      for (let second = 0; second < SECONDS; second++) harness.passSecond()
      return { polls: (harness.counts.watches - before) / SECONDS }
    }
  }
]
