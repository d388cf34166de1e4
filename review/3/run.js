/** A job is cancelled after its hand-in had no outcome, and the store carries the hand-in out later. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { newId, pause, queue, runCase } from '../stand-ins/deployment.js'

const QUEUE = 'elig-check'
const NEED = { cpu: 11_000, mem_mb: 29_000, gpu: 1 }
const WORK_MILLISECONDS = 5200
const TASKS = 4
/** How long the client waits for an answer. */
const PATIENCE_MILLISECONDS = 900
/** How long the answers of the store are lost; the site's day has up to 4.5 s. */
const LOSS_MILLISECONDS = 1000
/** When the store carries out a write whose answer was lost: 1 to 6 s later. */
const LATENESS_MILLISECONDS = 5800
/** `cancel_ms` of the settings. */
const CANCEL_MILLISECONDS = 3000

await runCase(dirname(fileURLToPath(import.meta.url)), { workers: 3, capacity: { cpu: 128_000, mem_mb: 262_144, gpu: 8 }, queues: [queue(QUEUE, 2, 3)] }, async (deployment, { record, isTrouble }) => {
  const id = newId()
  const body = { spec: JSON.stringify({ ...NEED, ms: WORK_MILLISECONDS }), steps: [{ count: TASKS, ...NEED, estimate_ms: WORK_MILLISECONDS }] }
  const { store } = deployment
  if (isTrouble) loseHandIn(store, id, record)
  const [first, second] = deployment.vms.filter(({ name }) => name !== deployment.ownerName)
  record.line(`client hands in ${id} at ${first.name}: ${await answerOf(deployment, first, 'POST', `/${QUEUE}/${id}`, body)}`)
  const status = await answerOf(deployment, second, 'DELETE', `/${QUEUE}/${id}`)
  const cancelledAt = performance.now()
  record.line(`client cancels ${id} at ${second.name}: ${status}`)
  if (status !== 200 && status !== 410) throw new Error('The cancellation has no answer')
  record.line(`client asks for ${id}: ${await deployment.stateOf(QUEUE, id)}`)
  await pause(LATENESS_MILLISECONDS + 2 * WORK_MILLISECONDS)
  record.line(`client asks for ${id}: ${await deployment.stateOf(QUEUE, id)}`)
  const late = deployment.runs.filter(run => run.task.startsWith(`${id}.`) && run.startedAt > cancelledAt + CANCEL_MILLISECONDS)
  return late.map(run => `UNASKED: ${run.task} began ${Math.round(run.startedAt - cancelledAt)} ms after the cancellation was answered with ${status}, and ended ${run.how}`)
})

/** Loses the answers of the writes that hand the job in, for a while. */
function loseHandIn (store, id, record) {
  const endsAt = performance.now() + LOSS_MILLISECONDS
  store.lateness = ({ writes = [] }) => {
    if (performance.now() > endsAt || !writes.some(({ table, key }) => table === 'jobs' && key === id)) return undefined
    record.line(`the store gives no answer to a write of ${id} and carries it out ${LATENESS_MILLISECONDS} ms later`)
    return LATENESS_MILLISECONDS
  }
  store.onLate = status => record.line(`the store has carried the write out: ${status}`)
}

async function answerOf (deployment, vm, method, path, body) {
  try {
    return (await deployment.call(vm, method, path, body, { deadline: PATIENCE_MILLISECONDS })).status
  } catch (thrown) {
    return thrown.message
  }
}
