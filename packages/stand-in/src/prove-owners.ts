/**
 * Cases about the owner of a cell: killed, frozen or replaced, or two owners at once.
 */
import fc from 'fast-check'
import { CaseRun, type ProveCase } from './prove-case.js'
import type { RigVm } from './rig.js'
import { ScheduleRun, arbitrarySchedule } from './schedule.js'

/** fast-check draws small values first; the last of several samples is a schedule of full length. */
const SCHEDULES_DRAWN = 10
const FREEZE_MILLISECONDS = 6000
const TRIM_LOAD_MILLISECONDS = 40_000

/** A random schedule of calls and faults. */
export const randomSchedule: ProveCase = async (seed, interfaces) => {
  const schedule = fc.sample(arbitrarySchedule, { seed, numRuns: SCHEDULES_DRAWN }).at(-1)!
  const { history, rig } = await ScheduleRun.run(schedule, interfaces)
  return { evidence: { history }, events: rig.events }
}

/** The start intents are committed, but the answers to the commit are lost and the owner is killed before it learns of it. */
export const killedBeforeStart: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const owner = run.rig.owner!
  run.submitMany(10, run.rig.nonOwner)
  await run.advanceUntil(() => run.rig.events.some(event => event.name === 'request-start-intended'), 1000)
  run.rig.table.faults.set({ mode: 'lose-answers' })
  await run.rig.advance(run.randomInteger(20, 120))
  const lostAt = run.rig.clock.now()
  owner.kill()
  run.rig.table.faults.set({ mode: 'none' })
  await run.rig.advance(8000)
  return run.finish({ recoveries: [run.recoveryAfter(lostAt)] })
}

/** Tasks have been started, and the owner is killed before it receives reports of their starts or ends. */
export const killedAfterStart: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  run.submitMany(10, run.rig.nonOwner)
  await run.advanceUntil(() => run.rig.executions.length > 0, 2000)
  await run.rig.advance(run.randomInteger(0, 400))
  const lostAt = run.rig.clock.now()
  run.rig.owner!.kill()
  await run.rig.advance(8000)
  return run.finish({ recoveries: [run.recoveryAfter(lostAt)] })
}

/** The owner is frozen for longer than the deadlines of callers that wait for it. */
export const frozenOwner: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const { rig } = run
  const { nonOwner: entry } = rig
  const deadline = rig.clock.now() + 10_000
  const submissions = Array.from({ length: 10 }, () => run.swap(run.randomInteger(1, 600), { deadline }))
  submissions.forEach(submission => { run.submit(entry, submission, deadline - rig.clock.now()) })
  await rig.advance(run.randomInteger(0, 200))
  const frozen = rig.owner!
  frozen.clock.pause()
  await rig.advance(30_000)
  frozen.clock.resume()
  return run.finish({ responseDeadlines: new Map(submissions.map(({ key }) => [key, deadline])) })
}

/** The owner is frozen past its lease and resumes while its successor serves the same callers. */
export const frozenPastLease: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const frozen = run.rig.owner!
  run.submitMany(10)
  await run.rig.advance(run.randomInteger(0, 120))
  frozen.clock.pause()
  await run.runLoad(run.randomInteger(3000, 9000), 200)
  frozen.clock.resume()
  run.submitMany(5, frozen)
  await run.runLoad(2000, 100)
  return run.finish()
}

/** A stale owner resumes while reads of the table service are too slow for it to discover its successor; both receive the same requests. */
export const twoOwners: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const staleOwner = run.rig.owner!
  staleOwner.clock.pause()
  await run.rig.advance(FREEZE_MILLISECONDS)
  const currentOwner = run.rig.owner === staleOwner ? run.rig.nonOwner : run.rig.vms.find(vm => vm !== staleOwner && vm.host.states.length > 0) ?? run.rig.nonOwner
  run.rig.table.faults.set({ mode: 'slow', delayMilliseconds: 2000, only: 'reads' })
  staleOwner.clock.resume()
  for (let index = 0; index < 10; index++) {
    const submission = run.swap(run.randomInteger(100, 2000))
    const [first, second] = run.random() < 0.5 ? [staleOwner, currentOwner] : [currentOwner, staleOwner]
    run.submit(first, submission)
    run.submit(second, submission)
    await run.rig.advance(run.randomInteger(0, 150))
  }
  await run.rig.advance(6000)
  return run.finish()
}

/** The owner is frozen with uncommitted intents. Before it resumes, its position in the journal is trimmed, and reads are too slow for it to discover that. */
export const frozenWhileTrimmed: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const { rig } = run
  const frozen = rig.owner!
  run.submitMany(8, run.rig.nonOwner)
  await run.advanceUntil(() => rig.events.some(event => event.name === 'request-accepted'), 1000)
  await rig.advance(run.randomInteger(1, 45))
  frozen.clock.pause()
  const unreachable = rig.servers.slice(0, 2)
  unreachable.forEach(server => { server.faults.set({ mode: 'down' }) })
  await rig.advance(FREEZE_MILLISECONDS)
  unreachable.forEach(server => { server.faults.set({ mode: 'none' }) })
  await run.runLoad(TRIM_LOAD_MILLISECONDS, 50)
  rig.table.faults.set({ mode: 'slow', delayMilliseconds: 2000, only: 'reads' })
  frozen.clock.resume()
  await rig.advance(5000)
  return run.finish()
}

/** Every VM is replaced in turn under load; there are planned stops only, no faults. */
export const rollingReplacement: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const remaining = new Set(run.rig.vms)
  for (const [index, replaced] of [...run.rig.vms].entries()) {
    const replacement = run.rig.addVm(`new-${index}`, 100 + index)
    await replacement.start()
    remaining.add(replacement)
    await run.runLoad(run.randomInteger(500, 2500), 50, () => [...remaining])
    remaining.delete(replaced)
    await stopGracefully(run, replaced, () => [...remaining])
  }
  await run.rig.advance(6000)
  const keys = run.calls.submissions.map(({ key }) => key)
  return run.finish({ duringPlannedStops: { keys, responses: [...run.calls.responses] } })
}

async function stopGracefully (run: CaseRun, replaced: RigVm, remaining: () => readonly RigVm[]): Promise<void> {
  run.rig.vmList = run.rig.vmList.map(listed => listed.name === replaced.name ? { ...listed, status: 'leaving' } : listed)
  const leaving = replaced.host.leave()
  await run.runLoad(5500, 50, remaining)
  await run.rig.settle(leaving)
  replaced.kill()
  run.rig.vmList = run.rig.vmList.filter(listed => listed.name !== replaced.name)
}
