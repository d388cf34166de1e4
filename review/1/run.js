/** More than 500 ends on one worker while the store is down. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { newId, pause, queue, runCase } from '../stand-ins/deployment.js'

const QUEUE = 'elig-check'
const JOBS = 12
const TASKS = 200
const NEED = { cpu: 500, mem_mb: 256, gpu: 0 }
const WORK_MILLISECONDS = 900
const OUTAGE_MILLISECONDS = 4500

await runCase(dirname(fileURLToPath(import.meta.url)), { workers: 2, capacity: { cpu: 128_000, mem_mb: 262_144, gpu: 8 }, queues: [queue(QUEUE, 2, 3)] }, async (deployment, { record, isTrouble }) => {
  const ids = Array.from({ length: JOBS }, newId)
  const step = { count: TASKS, ...NEED, estimate_ms: WORK_MILLISECONDS }
  const spec = JSON.stringify({ ...NEED, ms: WORK_MILLISECONDS })
  for (const id of ids) if (!await deployment.submit(QUEUE, id, { spec, steps: [step] })) throw new Error(`${id} wasn't accepted`)
  if (isTrouble) {
    record.line(`the store is down for ${OUTAGE_MILLISECONDS} ms`)
    deployment.store.fault = 'busy'
    await pause(OUTAGE_MILLISECONDS)
    deployment.store.fault = 'none'
    record.line('the store answers again')
  }
  await deployment.until('all jobs are completed', async () => (await Promise.all(ids.map(id => deployment.stateOf(QUEUE, id)))).every(state => state === 'completed'), 40_000)
  await pause(2000)
  for (const worker of deployment.workers) record.line(`${worker.id} held up to ${worker.mostEnds} ends that weren't taken note of`)
  for (const worker of deployment.workers) record.line(`leases have lapsed ${worker.lapses.length} times on ${worker.id}`)
  return startsAfterDone(deployment)
})

/** Starts after a run of the task has ended `done`, if that end was taken note of; no lease lapsed between. */
function startsAfterDone ({ runs, workers }) {
  const faults = []
  const hasLapsed = run => workers.some(({ id, lapses }) => id === run.worker && lapses.some(at => at > run.endedAt && at < run.notedAt))
  for (const later of runs) {
    const earlier = runs.find(run => run !== later && run.task === later.task && run.how === 'done' && run.endedAt < later.startedAt && run.notedAt !== undefined && !hasLapsed(run))
    if (earlier !== undefined) faults.push(`TWICE: ${later.task} #${later.run} began on ${later.worker} ${Math.round(later.startedAt - earlier.endedAt)} ms after #${earlier.run} had ended done on ${earlier.worker}`)
  }
  return faults
}
