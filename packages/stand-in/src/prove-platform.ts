/**
 * Cases about the platform and the work: outages, lost answers, backend servers
 * that leave or fail, gangs, and cancellations.
 */
import { rota } from './builders.js'
import { CaseRun, type CaseResult, type ProveCase } from './prove-case.js'

const OUTAGE_MILLISECONDS = 60_000
/** An unreachable member of a gang runs until its lease ends. */
const MAXIMUM_UNREACHABLE_MEMBER_MILLISECONDS = 31_000

/** The table service is down for a minute; requests arrive before, during and after. */
export const tableOutage: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const { rig } = run
  run.submitMany(10)
  await rig.advance(run.randomInteger(0, 300))
  rig.table.faults.set({ mode: 'down' })
  const responseDeadlines = new Map<string, number>()
  for (let passed = 0; passed < OUTAGE_MILLISECONDS; passed += 2000) {
    const deadline = rig.clock.now() + 3000
    const submission = run.swap(run.randomInteger(50, 300), { deadline })
    responseDeadlines.set(submission.key, deadline)
    run.submit(run.pick(run.runningVms), submission, 3000)
    await rig.advance(2000)
  }
  rig.table.faults.set({ mode: 'none' })
  await run.runLoad(5000, 250)
  return run.finish({ responseDeadlines })
}

/** The answers of the table service and of the backend servers are lost after the call has taken effect. */
export const lostAnswers: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  for (let round = 0; round < 4; round++) {
    const target = run.pick([run.rig.table, ...run.rig.servers])
    target.faults.set({ mode: 'lose-answers' })
    run.submitMany(10)
    await run.rig.advance(run.randomInteger(100, 1500))
    target.faults.set({ mode: 'none' })
    await run.runLoad(1500, 100)
  }
  return run.finish()
}

/** The owner is killed and a new VM starts while the table service is down. */
export const startDuringOutage: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  run.submitMany(10)
  await run.rig.advance(run.randomInteger(0, 300))
  run.rig.table.faults.set({ mode: 'down' })
  run.rig.owner!.kill()
  await run.rig.addVm('new-1', 101).start()
  await run.runLoad(run.randomInteger(5000, 15_000), 500)
  run.rig.table.faults.set({ mode: 'none' })
  await run.runLoad(8000, 250)
  return run.finish()
}

/** A backend server is listed as leaving while swaps arrive. */
export const leavingServer: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const { rig } = run
  await run.runLoad(run.randomInteger(500, 2000), 25)
  const index = run.randomInteger(0, rig.servers.length)
  const listedAt = rig.clock.now()
  const name = `server-${index}`
  rig.vmList = rig.vmList.map(listed => listed.name === name ? { ...listed, status: 'leaving' } : listed)
  await run.runLoad(8000, 25)
  const { executions } = rig.servers[index]!
  return run.finish({ leaving: [{ server: name, listedAt, executions }] })
}

/** A running gang loses a member: its backend server becomes unreachable for good, or restarts while the task keeps running. */
export const gangMemberLost: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const { rig } = run
  const submission = rota('rota-1', rig.clock.now(), { payload: { durationMilliseconds: 60_000, echo: { key: 'rota-1' } }, deadline: rig.clock.now() + 300_000 })
  run.submit(run.pick(run.runningVms), submission)
  await run.advanceUntil(() => rig.executions.length > 1, 3000)
  await rig.advance(run.randomInteger(0, 5000))
  const index = rig.servers.findIndex(server => server.executions.length > 0)
  if (run.random() < 0.5) rig.restartServer(index)
  else rig.servers[index]!.faults.set({ mode: 'down' })
  await rig.advance(120_000)
  return withMaximumPartialGang(await run.finish(), MAXIMUM_UNREACHABLE_MEMBER_MILLISECONDS)
}

/** All backend servers but one leave commands unanswered for a while, so that a gang cannot be placed completely: no part of it may start. */
export const gangMemberMissing: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const { rig } = run
  const reachable = run.randomInteger(0, 2)
  rig.servers.forEach((server, index) => { if (index !== reachable) server.faults.set({ mode: 'silent', only: 'writes' }) })
  const submission = rota('rota-1', rig.clock.now(), { payload: { durationMilliseconds: 5000, echo: { key: 'rota-1' } } })
  run.submit(run.pick(run.runningVms), submission)
  await rig.advance(run.randomInteger(2000, 6000))
  return withMaximumPartialGang(await run.finish(), 0)
}

/** Every request is cancelled, whether it is waiting, running or about to end. */
export const cancellationWave: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  run.submitMany(60)
  await run.rig.advance(run.randomInteger(0, 500))
  for (const submission of run.calls.submissions) {
    run.calls.add(submission, run.pick(run.runningVms).router.cancel(submission.workspace, submission.key))
    if (run.random() < 0.2) await run.rig.advance(run.randomInteger(1, 30))
  }
  await run.rig.advance(2000)
  return run.finish()
}

function withMaximumPartialGang ({ evidence, events }: CaseResult, maximumPartialGangMilliseconds: number): CaseResult {
  return { evidence: { ...evidence, history: { ...evidence.history!, maximumPartialGangMilliseconds } }, events }
}
