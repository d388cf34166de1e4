// A zone of workers crashes under a job of many small tasks. Then jobs of two steps are handed in.
import { Deployment, LIMITS, pause } from '../stand-ins-2/deployment.js'
import { CAPACITY, configuration, KEY, POOL, PREFIX, TOTAL_PROCESSOR, WORKERS_PER_ZONE, ZONES } from '../stand-ins-2/site.js'
import { runCase, Work, writeRecord } from '../stand-ins-2/work.js'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
/** The large job repeats its step until all workers are full. One zone has a third of its tasks. */
const LARGE = { cpu: 250, mem: 256, times: 32, count: 528, interval: 500, work: 30_000 }
const LARGE_TASKS = LARGE.times * LARGE.count
/** Longest wait for the end of its tasks after the crash. */
const LARGE_MILLISECONDS = 45_000
const SMALL = { cpu: 2000, mem: 1024, count: 4, work: 800 }
/** Traffic starts some time after the machines do. */
const TRAFFIC_MILLISECONDS = 6000
const DOWN_MILLISECONDS = 4500
const SMALL_JOBS = 8
const SMALL_JOB_INTERVAL_MILLISECONDS = 500
/** The rule: so long has a job nothing running. */
const IDLE_MILLISECONDS = 3000

const largeId = 'a000000000000001'
const smallIds = Array.from({ length: SMALL_JOBS }, (_, index) => `b${String(index).padStart(15, '0')}`)
const largeJob = startAt => ({
  spec: `work=${LARGE.work} cpu=${LARGE.cpu} mem=${LARGE.mem}`,
  steps: [{ count: LARGE.count, cpu: LARGE.cpu, mem_mb: LARGE.mem, estimate_ms: LARGE.work }],
  repeat_count: LARGE.times,
  start_at_ms: startAt,
  interval_ms: LARGE.interval
})
const smallStep = { count: SMALL.count, cpu: SMALL.cpu, mem_mb: SMALL.mem, estimate_ms: SMALL.work }
const smallJob = { spec: `work=${SMALL.work} cpu=${SMALL.cpu} mem=${SMALL.mem}`, steps: [smallStep, { ...smallStep, after: [0] }] }

/** Jobs of which nothing runs though the second step's turn has come. */
function idleJobs (work, ids) {
  const live = work.liveByJob
  return ids.filter(id => !live.has(id) && work.isStepDone(id, 0, SMALL.count) && !work.isStepDone(id, 1, SMALL.count))
}

async function crashZone (deployment, work) {
  const crashed = deployment.workers.filter(({ zone }) => zone === ZONES[0])
  for (const worker of crashed) {
    deployment.signal(worker, 'SIGKILL')
    work.crash(worker.id)
  }
  await pause(DOWN_MILLISECONDS)
  for (const worker of crashed) deployment.startWorker(worker)
}

async function play () {
  const work = new Work()
  const deployment = new Deployment({ zones: ZONES, frontsPerZone: 3, workersPerZone: WORKERS_PER_ZONE, capacity: CAPACITY, pool: POOL, configuration, onWorkerEvent: event => work.apply(event) })
  try {
    await deployment.start()
    await pause(TRAFFIC_MILLISECONDS)
    if (!await deployment.submit(`${PREFIX}${largeId}`, largeJob(Date.now() + 1000), KEY)) throw new Error('the large job was not accepted')
    await deployment.until(() => work.liveByJob.get(largeId) === LARGE_TASKS, 35_000, 'start of all tasks of the large job')
    deployment.note({ type: 'all-tasks-at-work', tasks: LARGE_TASKS })
    await pause(1000)
    if (HAS_TROUBLE) await crashZone(deployment, work)
    const isLargeDone = () => work.doneOf(largeId) === LARGE_TASKS
    const begin = Date.now()
    while (!isLargeDone() && Date.now() - begin < LARGE_MILLISECONDS) await pause(100)
    deployment.note({ type: 'large-job', tasksDone: work.doneOf(largeId) })
    const accepted = []
    for (const id of smallIds) {
      if (await deployment.submit(`${PREFIX}${id}`, smallJob, KEY)) accepted.push(id)
      await pause(SMALL_JOB_INTERVAL_MILLISECONDS)
    }
    deployment.note({ type: 'end-of-traffic', accepted: accepted.length })
    await pause(1000 * LIMITS.finish_s)
    const since = Date.now()
    let idle = idleJobs(work, accepted)
    while (Date.now() - since < IDLE_MILLISECONDS + 200) {
      const now = idleJobs(work, accepted)
      const used = [...work.live.values()].reduce((sum, { task }) => sum + (task.startsWith(largeId) ? LARGE.cpu : SMALL.cpu), 0)
      idle = idle.filter(id => now.includes(id) && used < TOTAL_PROCESSOR / 2)
      await pause(50)
    }
    for (const id of [largeId, ...accepted]) await deployment.state(`${PREFIX}${id}`, KEY)
    const finished = accepted.filter(id => work.isStepDone(id, 1, SMALL.count)).length
    deployment.note({ type: 'verdict', broken: idle.length > 0, idleJobs: idle.length, accepted: accepted.length, finished, runsAtWork: work.live.size, refusedWrites: deployment.store.refusedWrites.length, firstRefused: deployment.store.refusedWrites[0], epoch: deployment.ownerEpoch })
    return idle.length > 0
  } finally {
    await deployment.stop()
    writeRecord(new URL('record.txt', import.meta.url), deployment.record, task => task.startsWith(largeId))
  }
}

runCase(play)
