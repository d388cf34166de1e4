/** A server on a thread of its own, which notifies the shared memory once it has replied to a call. */
import { parentPort, workerData } from 'node:worker_threads'
import { vmName } from '@cornelgauge/model'
import { WireServer } from '../src/index.js'
import { CountingClock, SECRET } from './support.js'

/** Time for a reply to leave the socket, with slack for a busy machine. */
const SENT_MILLISECONDS = 50

const replied = new Int32Array(workerData as SharedArrayBuffer)
const server = new WireServer({
  identity: { vm: vmName('vm-2') },
  secrets: [SECRET],
  clock: new CountingClock(),
  handle: async () => {
    setTimeout(() => {
      Atomics.add(replied, 0, 1)
      Atomics.notify(replied, 0)
    }, SENT_MILLISECONDS)
    return { type: 'done' }
  }
})
await server.listen('127.0.0.1', 0)
parentPort!.postMessage(server.address)
