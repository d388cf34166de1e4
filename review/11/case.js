import { runCase, sleep } from '../harness-3.js'

const MACHINES = 3
const WORKERS = 6
/** Scheduled jobs that run a short task each minute of a day. */
const SCHEDULES = 80
const OCCURRENCES = 1440
const INTERVAL_MILLISECONDS = 60000
/** Other jobs at work, each of one task of one core. */
const BUSY_JOBS = 40
const BUSY_MILLISECONDS = 100000
const ORDINARY_JOBS = 5
/** Between two hand-ins: 6 a second, where the site has 3, and up to 2.7 times as many in a burst. */
const PAUSE_MILLISECONDS = 150
/** Time in which the first occurrences end, and time for which a job may have nothing running. */
const START_MILLISECONDS = 8000
const IDLE_MILLISECONDS = 3000
const WATCHED_MILLISECONDS = 30000

await runCase(new URL('record.txt', import.meta.url), async (deployment, hasTrouble) => {
  const { record, workers, runs } = deployment
  await deployment.start({ machines: MACHINES, workers: Array.from({ length: WORKERS }, () => ({})) })
  const schedules = hasTrouble ? SCHEDULES : SCHEDULES / 2
  const startAt = Date.now()
  let accepted = 0
  for (let number = 0; number < schedules; number += 1) {
    const id = (0x1000 + number).toString(16).padStart(16, '0')
    const { status } = await deployment.submit('check', id, { spec: 'work=100', steps: [{ count: 1, cpu: 1000, mem_mb: 100, estimate_ms: 100 }], repeat_count: OCCURRENCES, start_at_ms: startAt, interval_ms: INTERVAL_MILLISECONDS })
    if (status === 200) accepted += 1
    await sleep(PAUSE_MILLISECONDS)
  }
  record.note(`client: ${accepted} scheduled jobs of ${OCCURRENCES} occurrences, one a minute, are accepted`)
  accepted = 0
  for (let number = 0; number < BUSY_JOBS; number += 1) {
    const id = (0x2000 + number).toString(16).padStart(16, '0')
    const { status } = await deployment.submit('batch', id, { spec: `work=${BUSY_MILLISECONDS}`, steps: [{ count: 1, cpu: 1000, mem_mb: 100, estimate_ms: BUSY_MILLISECONDS }] })
    if (status === 200) accepted += 1
    await sleep(PAUSE_MILLISECONDS)
  }
  record.note(`client: ${accepted} jobs of one long task are accepted`)
  await sleep(START_MILLISECONDS)
  record.note(`workers: ${runs.filter(({ how }) => how === 'done').length} of the first occurrences are done; ${workers.reduce((sum, { running }) => sum + running.length, 0)} tasks run`)
  const jobs = []
  for (let number = 0; number < ORDINARY_JOBS; number += 1) {
    const id = (0x100 + number).toString(16).padStart(16, '0')
    const { status } = await deployment.submit('urgent', id, { spec: 'work=100', steps: [{ count: 2, cpu: 1000, mem_mb: 100, estimate_ms: 100 }] })
    record.note(`client: ordinary job ${id}, of priority 0, is answered with ${status}`)
    if (status === 200) jobs.push({ id, at: record.now })
  }
  await sleep(WATCHED_MILLISECONDS)
  let idle = 0
  for (const { id, at } of jobs) {
    const first = runs.find(({ task }) => task.startsWith(id))
    const waited = (first?.startedAt ?? record.now) - at
    record.note(`client: job ${id} is ${await deployment.stateOf('urgent', id)}; ${first === undefined ? `nothing of it has begun for ${waited} ms` : `begun ${Math.max(0, waited)} ms after its acceptance`}`)
    if (waited > IDLE_MILLISECONDS) idle += 1
  }
  const begun = new Set(runs.map(({ task }) => task.split('.')[0]))
  const late = Array.from({ length: schedules }, (_, number) => (0x1000 + number).toString(16).padStart(16, '0')).filter(id => !begun.has(id))
  record.note(`client: of the scheduled jobs ${late.length} have not begun, though their first occurrences are due since the start`)
  record.note(`workers: ${workers.reduce((sum, { running }) => sum + running.length, 0)} tasks of one core run at the end, on ${workers.length} workers of 128 cores`)
  return idle > 0
})
