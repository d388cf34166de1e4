import { epoch } from '@cornelgauge/model'
import { expect } from 'chai'
import { PLANNER_SUMMARY_INTERVAL_MILLISECONDS, ROUND_DELAY_MILLISECONDS, ROUND_INTERVAL_MILLISECONDS, SLOW_ROUND_MILLISECONDS } from '../src/limits.js'
import type { OwnerLoad } from '../src/owner-load.js'
import { RoundMonitor } from '../src/round-monitor.js'

const START_TIMES = { longestRecordWait: 20, longestQueueWait: 30, longestAnswer: 40 }
const LOAD: OwnerLoad = { jobsQueued: 3, plannedLoad: 0, jobsWaiting: 0, heapMegabytes: 0, heapLimitMegabytes: 0, jobsRunning: 2, jobsRecovering: 0, runs: 9, runsUnresolved: 1, serversUnanswered: 0, serversUsable: 4, servers: 5, serversTimed: 3, serversSlow: 1, acceleratorsFree: 6, domainsEvacuated: 0, runsEvacuated: 0 }

function monitorOf (): { monitor: RoundMonitor, events: { name: string, details: Readonly<Record<string, unknown>> | undefined }[], runRound: (milliseconds: number) => void } {
  const events: { name: string, details: Readonly<Record<string, unknown>> | undefined }[] = []
  let now = 0
  const monitor = new RoundMonitor({ epoch: epoch(7), emit: (name, facts) => { events.push({ name, details: facts?.details }) }, load: () => LOAD, startTimes: () => START_TIMES, now: () => now })
  const runRound = (milliseconds: number): void => {
    monitor.measure(() => {
      now += milliseconds
      return ['start', 'stop']
    })
  }
  return { monitor, events, runRound }
}

describe('round monitor', () => {
  it('logs a round that blocks the event loop, with the load that it had to place', () => {
    const { events, runRound } = monitorOf()
    runRound(SLOW_ROUND_MILLISECONDS - 1)
    expect(events).to.deep.equal([])
    runRound(SLOW_ROUND_MILLISECONDS)
    expect(events).to.deep.equal([{ name: 'round-slow', details: { epoch: 7, milliseconds: SLOW_ROUND_MILLISECONDS, commands: 2, ...LOAD } }])
  })

  it('sums up all rounds at an interval, and starts again from zero', () => {
    const { events, runRound } = monitorOf()
    for (let time = 0; time < 2 * PLANNER_SUMMARY_INTERVAL_MILLISECONDS; time += 50) runRound(50)
    expect(events.map(event => event.name)).to.deep.equal(['planner-summary', 'planner-summary'])
    const { busyPercent, ...details } = events[1]!.details!
    expect(busyPercent).to.be.within(0, 100)
    expect(details).to.deep.equal({ epoch: 7, rounds: PLANNER_SUMMARY_INTERVAL_MILLISECONDS / 50, roundMilliseconds: PLANNER_SUMMARY_INTERVAL_MILLISECONDS, longestRound: 50, longestDelay: 0, ...START_TIMES, ...LOAD })
  })

  it('shows the longest delay of the periodic timer since the last summary', () => {
    const { monitor, events, runRound } = monitorOf()
    runRound(ROUND_INTERVAL_MILLISECONDS + 40)
    monitor.noteTick()
    for (let time = 0; time < 2 * PLANNER_SUMMARY_INTERVAL_MILLISECONDS; time += 50) runRound(50)
    expect(events.filter(({ name }) => name === 'planner-summary').map(({ details }) => details?.longestDelay)).to.deep.equal([40, 0])
  })

  it('leaves the event loop as much time after a round as the round has taken', () => {
    const { monitor, runRound } = monitorOf()
    expect(monitor.delayMilliseconds).to.equal(ROUND_DELAY_MILLISECONDS)
    runRound(300)
    expect(monitor.delayMilliseconds).to.equal(300)
    runRound(1)
    expect(monitor.delayMilliseconds).to.equal(ROUND_DELAY_MILLISECONDS)
  })
})
