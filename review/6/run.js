// Two jobs with as many tasks as one job may have are handed in. Then small jobs follow.
import { Deployment, LIMITS, pause } from '../stand-ins-2/deployment.js'
import { CAPACITY, configuration, KEY, POOL, PREFIX, TOTAL_PROCESSOR, WORKERS_PER_ZONE, ZONES } from '../stand-ins-2/site.js'
import { runCase, Work, writeRecord } from '../stand-ins-2/work.js'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const LARGE = { cpu: 4000, mem: 256, work: 5000, count: HAS_TROUBLE ? 100_000 : 1000 }
const SMALL = { cpu: 2000, mem: 1024, count: 4, work: 800 }
const SMALL_JOBS = 10
const WATCH_MILLISECONDS = 15_000
/** The rule: so long has a job nothing running. */
const IDLE_MILLISECONDS = 3000
/** The other rule: so often ends a process by itself, on so many of the nine machines. */
const MOST_OWN_ENDS = 3
const MACHINES = 2

const jobOf = ({ cpu, mem, count, work }) => ({ spec: `work=${work} cpu=${cpu} mem=${mem}`, steps: [{ count, cpu, mem_mb: mem, estimate_ms: work }] })
const idsOf = (letter, count) => Array.from({ length: count }, (_, index) => `${letter}${String(index).padStart(15, '0')}`)

/** The small jobs that have nothing running for so long, though a task isn't done and over half of the capacity is free all the while. */
async function findIdleJobs (work, accepted) {
  const idleSince = new Map()
  const idle = new Set()
  const end = Date.now() + WATCH_MILLISECONDS
  while (Date.now() < end) {
    const live = work.liveByJob
    const used = [...work.live.values()].reduce((sum, { task }) => sum + (task.startsWith('a') ? LARGE.cpu : SMALL.cpu), 0)
    for (const id of accepted) {
      const isIdle = used < TOTAL_PROCESSOR / 2 && !live.has(id) && work.doneOf(id) < SMALL.count
      if (!isIdle) idleSince.delete(id)
      else if (!idleSince.has(id)) idleSince.set(id, Date.now())
      else if (Date.now() - idleSince.get(id) >= IDLE_MILLISECONDS) idle.add(id)
    }
    await pause(50)
  }
  return idle
}

async function play () {
  const work = new Work()
  const deployment = new Deployment({ zones: ZONES, frontsPerZone: 3, workersPerZone: WORKERS_PER_ZONE, capacity: CAPACITY, pool: POOL, configuration, onWorkerEvent: event => work.apply(event) })
  try {
    await deployment.start()
    const large = []
    for (const id of idsOf('a', 2)) if (await deployment.submit(`${PREFIX}${id}`, jobOf(LARGE), KEY)) large.push(id)
    await pause(5000)
    const accepted = []
    for (const id of idsOf('b', SMALL_JOBS)) {
      if (await deployment.submit(`${PREFIX}${id}`, jobOf(SMALL), KEY)) accepted.push(id)
      await pause(500)
    }
    deployment.note({ type: 'end-of-traffic', large: large.length, accepted: accepted.length })
    await pause(1000 * LIMITS.finish_s)
    deployment.note({ type: 'watch' })
    const idle = await findIdleJobs(work, accepted)
    for (const id of accepted) await deployment.state(`${PREFIX}${id}`, KEY)
    const ends = [...deployment.ownEnds]
    const isFaulty = ends.filter(([, count]) => count >= MOST_OWN_ENDS).length >= MACHINES
    deployment.note({ type: 'verdict', broken: idle.size > 0, idleJobs: idle.size, large: large.length, accepted: accepted.length, done: accepted.filter(id => work.doneOf(id) === SMALL.count).length, faultRule: isFaulty, endedByThemselves: ends, epoch: deployment.ownerEpoch })
    return idle.size > 0
  } finally {
    await deployment.stop()
    writeRecord(new URL('record.txt', import.meta.url), deployment.record, task => task.startsWith('a'))
  }
}

runCase(play)
