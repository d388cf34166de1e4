import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import { vmName } from '@cornelgauge/model'
import { expect } from 'chai'
import { WireClient } from '../src/index.js'
import { CountingClock, SECRET } from './support.js'

const TIMEOUT_MILLISECONDS = 100
const LONG_MILLISECONDS = 10_000

describe('a call whose reply arrives while the event loop is blocked', function () {
  this.timeout(2 * LONG_MILLISECONDS)
  let replied: Int32Array<SharedArrayBuffer>
  let server: Worker
  let client: WireClient
  let address: string

  beforeEach(async () => {
    replied = new Int32Array(new SharedArrayBuffer(4))
    server = new Worker(new URL('./replying-thread.js', import.meta.url), { workerData: replied.buffer })
    const [message] = await once(server, 'message') as [string]
    address = message
    client = new WireClient({ identity: { vm: vmName('vm-1') }, secrets: [SECRET], clock: new CountingClock() })
    await client.call(address, { type: 'vm-status' }, LONG_MILLISECONDS)
  })

  afterEach(async () => {
    await client.close()
    await server.terminate()
  })

  // Guards against a silence that is concluded from replies which only weren't read yet.
  it('succeeds, though its time limit passes before the loop goes on', async () => {
    while (Atomics.load(replied, 0) < 1) await new Promise(resolve => setTimeout(resolve, 1))
    const reply = client.call(address, { type: 'vm-status' }, TIMEOUT_MILLISECONDS).then(({ type }) => type, thrown => (thrown as { code: string }).code)
    const deadline = performance.now() + TIMEOUT_MILLISECONDS
    // After immediates come timers, and only then what has arrived.
    await new Promise(resolve => setImmediate(resolve))
    Atomics.wait(replied, 0, 1, LONG_MILLISECONDS)
    while (performance.now() < deadline + TIMEOUT_MILLISECONDS) { /* The loop is blocked until the time limit has passed. */ }
    expect(await reply).to.equal('done')
  })
})
