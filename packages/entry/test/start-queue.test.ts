import { jobId, MAXIMUM_CALLS_PER_SERVER, MAXIMUM_CALLS_UNDER_WAY, runNumber, serverId, type StartCommand, type TaskName } from '@cornelgauge/jobs'
import { expect } from 'chai'
import { StartQueue } from '../src/start-queue.js'

const command = (server: number, index: number, isMember: boolean, run = 1): StartCommand => ({
  type: 'start',
  server: serverId(`server-${server}`),
  incarnation: 1,
  task: `00000000000000a1.0.0.${index}` as TaskName,
  run: runNumber(run),
  job: jobId('00000000000000a1'),
  change: 1,
  specification: '',
  leaseUntil: 1,
  checkpoint: '',
  ...(isMember ? { isMember: true as const } : {})
})

// Guards against the starts of a large gang that use up their time limits, and the owner's memory, while they wait for each other.
describe('the starts that may be sent', () => {
  let sent: { readonly command: StartCommand, readonly end: () => void }[]
  let queue: StartQueue

  beforeEach(() => {
    sent = []
    queue = new StartQueue(async started => await new Promise(resolve => { sent.push({ command: started, end: resolve }) }))
  })

  const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve))

  it('are limited for each backend server', async () => {
    for (let index = 0; index < 100; index += 1) queue.add(command(0, index, true))
    expect(sent).to.have.length(MAXIMUM_CALLS_PER_SERVER)
    sent[0]!.end()
    await settle()
    expect(sent).to.have.length(MAXIMUM_CALLS_PER_SERVER + 1)
  })

  it('are limited in total, and go on at any backend server as others end', async () => {
    for (let server = 0; server < 40; server += 1) for (let index = 0; index < 30; index += 1) queue.add(command(server, index, true))
    expect(sent).to.have.length(MAXIMUM_CALLS_UNDER_WAY)
    let ended = 0
    while (ended < sent.length) {
      sent[ended]!.end()
      ended += 1
      await settle()
      expect(sent.length - ended).to.be.at.most(MAXIMUM_CALLS_UNDER_WAY)
    }
    expect(new Set(sent.map(({ command: { server, task } }) => `${server} ${task}`)).size).to.equal(40 * 30)
  })

  it('take turns with members of gangs', async () => {
    for (let index = 0; index < 60; index += 1) queue.add(command(0, index, true))
    for (let index = 60; index < 70; index += 1) queue.add(command(0, index, false))
    for (let end = 0; end < 20; end += 1) {
      sent[end]!.end()
      await settle()
    }
    expect(sent.filter(({ command: { isMember } }) => isMember !== true)).to.have.length(10)
  })

  // Guards against a claim of guaranteed capacity that waits for the starts of a large gang.
  it('take turns among gangs', async () => {
    for (let index = 0; index < 500; index += 1) queue.add(command(0, index, true, 1))
    for (let index = 500; index < 508; index += 1) queue.add(command(0, index, true, 2))
    for (let end = 0; end < 16; end += 1) {
      sent[end]!.end()
      await settle()
    }
    expect(sent.filter(({ command: { run } }) => run === 2)).to.have.length(8)
  })

  it('are returned if they are never sent', () => {
    for (let index = 0; index < 100; index += 1) queue.add(command(0, index, index % 2 === 0))
    expect(queue.clear()).to.have.length(100 - MAXIMUM_CALLS_PER_SERVER)
    expect(queue.clear()).to.have.length(0)
  })
})
