import { runCase, sleep } from '../harness-3.js'

const MACHINES = 3
const WORKERS = 6
/** Each occurrence is one small task that lasts; all together need 20 of the 768 cores. */
const OCCURRENCES = 2000
const ORDINARY_JOBS = 5
/** Time in which all occurrences have begun without the fault, and time for which a job may have nothing running. */
const START_MILLISECONDS = 12000
const IDLE_MILLISECONDS = 3000
const WATCHED_MILLISECONDS = 30000

await runCase(new URL('record.txt', import.meta.url), async (deployment, hasTrouble) => {
  const { record, store, workers, runs } = deployment
  await deployment.start({ machines: MACHINES, workers: Array.from({ length: WORKERS }, () => ({})) })
  const count = hasTrouble ? OCCURRENCES : OCCURRENCES / 2
  const { status } = await deployment.submit('batch', '00000000000000b1', { spec: 'service', steps: [{ count: 1, cpu: 10, mem_mb: 1, long_running: true }], repeat_count: count, start_at_ms: Date.now(), interval_ms: 1 })
  record.note(`client: a scheduled job of ${count} occurrences that last is handed in, answered with ${status}`)
  await sleep(START_MILLISECONDS)
  const accepted = []
  for (let number = 0; number < ORDINARY_JOBS; number += 1) {
    const id = (0x100 + number).toString(16).padStart(16, '0')
    const answer = await deployment.submit('urgent', id, { spec: 'work=100', steps: [{ count: 2, cpu: 1000, mem_mb: 100 }] })
    record.note(`client: ordinary job ${id} is answered with ${answer.status}`)
    if (answer.status === 200) accepted.push({ id, at: record.now })
  }
  await sleep(WATCHED_MILLISECONDS)
  let idle = 0
  for (const { id, at } of accepted) {
    const first = runs.find(({ task }) => task.startsWith(id))
    const waited = (first?.startedAt ?? record.now) - at
    record.note(`client: job ${id} is ${await deployment.stateOf('urgent', id)}; ${first === undefined ? `nothing of it has begun for ${waited} ms` : `begun ${Math.max(0, waited)} ms after its acceptance`}`)
    if (waited > IDLE_MILLISECONDS) idle += 1
  }
  const used = workers.reduce((sum, { running }) => sum + running.reduce((cores, { need }) => cores + need.cpu, 0), 0)
  record.note(`workers: ${used} of ${workers.length * 128000} thousandths of a core in use, ${workers.reduce((sum, { running }) => sum + running.length, 0)} tasks run`)
  record.note(`store: rows too long for it were refused ${store.refusedRows.get('progress') ?? 0} times`)
  return idle > 0
})
