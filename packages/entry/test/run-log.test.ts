import { expect } from 'chai'
import { RUN_LINE_CHARACTERS, RUN_LINES_PER_INTERVAL, RUN_LOG_INTERVAL_MILLISECONDS, RUNS_PER_LINE } from '../src/limits.js'
import { RunLog, toRanges } from '../src/run-log.js'

interface Line {
  readonly name: string
  readonly details: Readonly<Record<string, unknown>>
}

// Guards against a log that takes the time of an owner that starts, ends or loses thousands of runs at once: it had a line for each.
describe('the log of runs', () => {
  let lines: Line[]
  let now: number
  let log: RunLog

  beforeEach(() => {
    lines = []
    now = 0
    log = new RunLog((name, facts) => { lines.push({ name, details: facts?.details ?? {} }) }, () => now)
  })

  const start = (index: number, outcome = 'started', server = 'server-0'): void => log.emit('task-started', { details: { task: `a.0.0.${index}`, run: 1_000_000 + index, server, epoch: 1, outcome, resumed: false } })
  const startMany = (from: number, to: number): void => { for (let index = from; index < to; index += 1) start(index) }

  it('has a line for each run at a low rate', () => {
    startMany(0, RUN_LINES_PER_INTERVAL)
    expect(lines.map(({ name }) => name)).to.deep.equal(Array.from({ length: RUN_LINES_PER_INTERVAL }, () => 'task-started'))
    now += RUN_LOG_INTERVAL_MILLISECONDS
    start(7)
    expect(lines.at(-1)).to.deep.include({ name: 'task-started' })
  })

  it('has one line for all others with the same outcome, in which each is found by its backend server', () => {
    startMany(0, RUN_LINES_PER_INTERVAL + 20)
    start(500, 'unanswered')
    start(600, 'started', 'server-1')
    log.emit('run-lost-with-server', { details: { task: 'b.3.1.5', run: 1_002_000, server: 'server-1', lostRuns: 1, alone: false } })
    log.emit('crashes-refuted', { details: { task: 'b.3.1.6', run: 1_002_001, server: 'server-1', discarded: 1, workedMilliseconds: 7000 } })
    const before = lines.length
    expect(before).to.equal(RUN_LINES_PER_INTERVAL)
    log.flushDue()
    expect(lines.length).to.equal(before)
    now += RUN_LOG_INTERVAL_MILLISECONDS
    log.flushDue()
    expect(lines.slice(before)).to.deep.equal([
      { name: 'tasks-started', details: { servers: 2, count: 21, firstRun: 1_000_100, lastRun: 1_000_600, tasks: 'server-0: a.0.0.100-119; server-1: a.0.0.600', outcome: 'started', epoch: 1 } },
      { name: 'tasks-started', details: { servers: 1, count: 1, firstRun: 1_000_500, lastRun: 1_000_500, tasks: 'server-0: a.0.0.500', outcome: 'unanswered', epoch: 1 } },
      { name: 'runs-lost-with-server', details: { servers: 1, count: 1, firstRun: 1_002_000, lastRun: 1_002_000, tasks: 'server-1: b.3.1.5' } },
      { name: 'crashes-refuted-by-runs', details: { servers: 1, count: 1, firstRun: 1_002_001, lastRun: 1_002_001, tasks: 'server-1: b.3.1.6' } }
    ])
  })

  it('bounds the length of a line', () => {
    startMany(0, RUN_LINES_PER_INTERVAL + RUNS_PER_LINE + 1)
    expect(lines.at(-1)).to.deep.include({ name: 'tasks-started' })
    expect(lines.at(-1)!.details.count).to.equal(RUNS_PER_LINE)
    log.flush()
    expect(lines.at(-1)!.details.count).to.equal(1)
  })

  // Guards against as many lines as there are backend servers, each for a run or two.
  it('has few lines for one run on each of many backend servers, none of which is cut', () => {
    startMany(0, RUN_LINES_PER_INTERVAL)
    for (let server = 0; server < 246; server += 1) start(1000 + 2 * server, 'started', `server-${server}`)
    log.flush()
    const sums = lines.slice(RUN_LINES_PER_INTERVAL)
    expect(sums.length).to.be.within(2, 8)
    expect(sums.every(({ details }) => String(details.tasks).length <= RUN_LINE_CHARACTERS)).to.equal(true)
    expect(sums.reduce((sum, { details }) => sum + Number(details.count), 0)).to.equal(246)
    const listed = sums.flatMap(({ details }) => String(details.tasks).split('; '))
    expect(listed).to.deep.equal(Array.from({ length: 246 }, (_, server) => `server-${server}: a.0.0.${1000 + 2 * server}`))
  })

  it('passes all other events on', () => {
    startMany(0, RUN_LINES_PER_INTERVAL + 1)
    log.emit('look-missed', { details: { server: 'server-0', failure: 'timeout' } })
    expect(lines.at(-1)!.name).to.equal('look-missed')
  })

  it('writes numbers as ranges', () => {
    expect(toRanges([9, 3, 1, 2, 7, 8, 20])).to.equal('1-3,7-9,20')
    expect(toRanges([5, 5])).to.equal('5')
  })
})
