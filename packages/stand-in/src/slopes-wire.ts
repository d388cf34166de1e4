/** Measures of the inner protocol over loopback: heartbeats and calls. */
import { cellName, vmName } from '@cornelgauge/model'
import { WireClient, WireServer, type ReplyBody } from '@cornelgauge/wire'
import type { Measure } from './slopes-measure.js'
import { heapBytes, processorMilliseconds } from './slopes-meter.js'
import { endedLedger, submission } from './slopes-owner-harness.js'

const SECRETS = ['slopes-secret']
const CALL_MILLISECONDS = 5000
const QUIET_MILLISECONDS = 3000
const SECOND_MILLISECONDS = 1000

/** Makes a logical clock. */
function logicalClock (): { readonly tick: () => number, readonly witness: (time: number) => void } {
  let time = 0
  return { tick: () => ++time, witness: receivedTime => { time = Math.max(time, receivedTime) } }
}

const REPLY: ReplyBody = { type: 'record', record: endedLedger(1).first()! }

/** A client and its peers, all in this process. */
class Peers {
  readonly client = new WireClient({ identity: { vm: vmName('vm-0') }, secrets: SECRETS, clock: logicalClock() })
  readonly #servers: readonly WireServer[]

  constructor (count: number) {
    this.#servers = Array.from({ length: count }, (_, number) =>
      new WireServer({ identity: { vm: vmName(`vm-${number + 1}`) }, secrets: SECRETS, clock: logicalClock(), handle: async () => REPLY }))
  }

  async open (): Promise<this> {
    await Promise.all(this.#servers.map(server => server.listen('127.0.0.1', 0)))
    await this.callEach()
    return this
  }

  async callEach (): Promise<void> {
    await Promise.all(this.#servers.map(server => this.call(server.address)))
  }

  /** Calls a peer, by default the first one. */
  call (address = this.#servers[0]!.address): Promise<ReplyBody> {
    const request = submission('request-1', 'short')
    return this.client.call(address, { type: 'submit', cell: cellName('cell-1'), submission: request, waitMilliseconds: 0 }, CALL_MILLISECONDS)
  }

  get bytes (): number {
    return this.client.statistics.bytesSent + this.client.statistics.bytesReceived
  }

  async close (): Promise<void> {
    await this.client.close()
    await Promise.all(this.#servers.map(server => server.close(0)))
  }
}

async function idleCost (count: number): Promise<{ heartbeats: number, processor: number, heap: number }> {
  const heapBefore = heapBytes()
  const peers = await new Peers(count).open()
  const heap = heapBytes() - heapBefore
  const before = peers.bytes
  const processor = await processorMilliseconds(() => new Promise(resolve => { setTimeout(resolve, QUIET_MILLISECONDS) }))
  const seconds = QUIET_MILLISECONDS / SECOND_MILLISECONDS
  const figures = { heartbeats: (peers.bytes - before) / seconds, processor: processor / seconds, heap }
  await peers.close()
  return figures
}

async function callCost (calls: number): Promise<{ bytes: number, processor: number }> {
  const peers = await new Peers(1).open()
  const before = peers.bytes
  const processor = await processorMilliseconds(async () => { for (let count = 0; count < calls; count++) await peers.call() })
  const bytes = peers.bytes - before
  await peers.close()
  return { bytes, processor }
}

/** The measures of the inner protocol; processor time and heap are those of both ends. */
export const WIRE_MEASURES: readonly Measure[] = [
  { name: 'wire-quiet', driver: 'peer', sizes: [2, 4, 8, 16, 24], units: { heartbeats: 'bytes/s', heap: 'bytes', processor: 'ms/s' }, repeats: 1, take: idleCost },
  { name: 'wire-call', driver: 'call', sizes: [100, 200, 400, 800, 1600], units: { bytes: 'bytes', processor: 'ms' }, repeats: 2, take: callCost }
]
