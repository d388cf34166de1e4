import { setMaxListeners } from 'node:events'
import { epoch } from '@cornelgauge/model'
import { serverId, type Planner, type ServerId, type ServerReport } from '@cornelgauge/jobs'
import { expect } from 'chai'
import type { BackendServerCalls, ServerPoll } from '../src/backend-server-calls.js'
import { LONGEST_POLL_PAUSE_MILLISECONDS, POLL_PAUSE_PER_RUN_MILLISECONDS } from '../src/limits.js'
import type { ServerRecorder } from '../src/server-recorder.js'
import { ServerPolls } from '../src/server-polls.js'

const SERVERS = 33
/** The lease that a poll renews. */
const LEASE_MILLISECONDS = 6000

// Guards against an owner that does little but read reports: each end at a backend server with many runs was followed by a report of all of them.
describe('the polls of backend servers', () => {
  let stopping: AbortController

  beforeEach(() => {
    stopping = new AbortController()
    setMaxListeners(0, stopping.signal)
  })
  afterEach(() => stopping.abort())

  /** Polls backend servers that answer at once, and returns the pauses between the polls of the first one. */
  const pausesWith = async (runs: number, count: number): Promise<readonly number[]> => {
    const ids = Array.from({ length: SERVERS }, (_, index) => serverId(`server-${index}`))
    const times: number[] = []
    await new Promise<void>(resolve => {
      const report: ServerReport = { incarnation: 1, clock: 1, running: [], ended: [], hasMoreEnds: false, sentAt: 0, receivedAt: 0 }
      const poll = async ({ id }: { readonly id: ServerId }): Promise<ServerReport> => {
        if (id === ids[0] && times.push(performance.now()) > count) resolve()
        return report
      }
      const pollRequest = (): unknown => ({ address: '10.0.0.1:80', acknowledgedPosition: 0, hasUnstoredEnds: false, leaseUntil: undefined, runs })
      const polls = new ServerPolls({
        planner: { pollRequest, isWaitingForRecord: () => false } as unknown as Planner,
        epoch: epoch(1),
        calls: { poll } as unknown as BackendServerCalls,
        recorder: {} as ServerRecorder,
        isConfirmed: () => true,
        readJobsOf: async () => true,
        stored: async () => {},
        onReport: () => {},
        onFailure: () => {},
        onCrash: thrown => { throw thrown },
        signal: stopping.signal
      })
      polls.add(ids)
    })
    return times.slice(1).map((time, index) => time - times[index]!)
  }

  it('follow each other after a pause for all runs that the backend servers list', async () => {
    const runs = 1000
    for (const pause of await pausesWith(runs, 3)) expect(pause).to.be.above(0.9 * runs * SERVERS * POLL_PAUSE_PER_RUN_MILLISECONDS)
  })

  // Guards against a new connection for each poll, until an owner without the store has no file descriptors left.
  describe('whose reports can not be applied, since jobs of them can not be read', () => {
    /** Polls a backend server that answers as incarnation 2, for a planner that expects this one, and returns the polls with the incarnations that count as missed. */
    const pollsExpecting = async (incarnation: number | undefined, count: number): Promise<{ readonly polls: readonly ServerPoll[], readonly missed: readonly (number | undefined)[] }> => {
      const made: ServerPoll[] = []
      const missed: (number | undefined)[] = []
      await new Promise<void>(resolve => {
        const poll = async (_target: unknown, request: ServerPoll): Promise<ServerReport> => {
          if (made.push(request) === count) resolve()
          return { incarnation: 2, clock: 1, running: [], ended: [], hasMoreEnds: false, sentAt: 0, receivedAt: 0 }
        }
        const polls = new ServerPolls({
          planner: { pollRequest: () => ({ address: '10.0.0.1:80', incarnation, acknowledgedPosition: 5, hasUnstoredEnds: false, leaseUntil: 7000, runs: 1 }), isWaitingForRecord: () => false } as unknown as Planner,
          epoch: epoch(1),
          calls: { poll } as unknown as BackendServerCalls,
          recorder: {} as ServerRecorder,
          isConfirmed: () => true,
          readJobsOf: async () => false,
          stored: async () => {},
          onReport: () => {},
          onFailure: event => { missed.push(event.incarnation) },
          onCrash: thrown => { throw thrown },
          signal: stopping.signal
        })
        polls.add([serverId('server-0')])
      })
      return { polls: made, missed }
    }

    for (const [name, expected] of [['has not answered the owner', undefined], ['has restarted', 1]] as const) {
      it(`go to the incarnation that has answered, without a position or a lease, if the backend server ${name}`, async () => {
        const { polls: [first, ...others], missed } = await pollsExpecting(expected, 4)
        expect(first!.incarnation).to.equal(expected)
        for (const poll of others) expect(poll).to.deep.equal({ epoch: epoch(1), incarnation: 2, acknowledgedPosition: 0, waitMilliseconds: 0 })
        expect(new Set(missed)).to.deep.equal(new Set([expected]))
      })
    }

    it('keep position and lease if the backend server is the one that is expected', async () => {
      const { polls } = await pollsExpecting(2, 3)
      for (const poll of polls) expect(poll).to.deep.include({ incarnation: 2, acknowledgedPosition: 5, leaseUntil: 7000 })
    })
  })

  it('renew leases in time however many runs there are', async () => {
    const runs = 1_000_000
    for (const pause of await pausesWith(runs, 2)) expect(pause).to.be.within(0.9 * LONGEST_POLL_PAUSE_MILLISECONDS, LEASE_MILLISECONDS)
  })
})
