import { runCase, sleep } from '../harness-3.js'

const MACHINES = 3
const WORKERS = 6
/** Half of the tasks that a job may have. All of them need 500 cores, of the 768 that there are. */
const MEMBERS = 50000
const WATCHED_MILLISECONDS = 60000
/** Exits of one machine with which the rule counts it, and how many such machines break it. */
const EXITS = 3
const BROKEN_MACHINES = 2

await runCase(new URL('record.txt', import.meta.url), async (deployment, hasTrouble) => {
  const { record, machines, runs } = deployment
  await deployment.start({ machines: MACHINES, workers: Array.from({ length: WORKERS }, () => ({})) })
  const count = hasTrouble ? MEMBERS : 4
  const { status } = await deployment.submit('batch', '00000000000000b1', { spec: 'work=500', steps: [{ count, cpu: 10, mem_mb: 1, gang: true, estimate_ms: 500 }] })
  record.note(`client: a gang of ${count} tasks is handed in, answered with ${status}`)
  const endsAt = record.now + WATCHED_MILLISECONDS
  const answers = { accepted: 0, failed: 0 }
  for (let number = 0; record.now < endsAt; number += 1) {
    const id = (0x100 + number).toString(16).padStart(16, '0')
    const body = { spec: 'work=100', steps: [{ count: 1, cpu: 100, mem_mb: 10 }] }
    const answer = await deployment.call('POST', `/urgent/${id}`, { attempt: number, body })
    answers[answer.status === 200 ? 'accepted' : 'failed'] += 1
    if (answer.status !== 200) record.note(`client: an ordinary job at ${machines[number % MACHINES].name} is answered with ${answer.status || 'nothing'}`)
    await sleep(1000)
  }
  record.note(`clients: of the ordinary jobs ${answers.accepted} were accepted at the first attempt, ${answers.failed} were not; the gang is ${await deployment.stateOf('batch', '00000000000000b1')}; ${runs.length} runs on workers`)
  for (const { name, exits, peakMegabytes } of machines) record.note(`machine ${name}: ended by itself ${exits.length} times; ${Math.round(peakMegabytes)} MB at most`)
  return machines.filter(({ exits }) => exits.length >= EXITS).length >= BROKEN_MACHINES
})
