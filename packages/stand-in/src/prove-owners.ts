/**
 * Cases about owners of a cell: killed, frozen, replaced, or two at once.
 */
import fc from 'fast-check'
import { CaseRun, type ProveCase } from './prove-case.js'
import type { RigVm } from './rig.js'
import { ScheduleRun, steps } from './schedule.js'

/** fast-check draws small values first; the last of a few is a whole schedule. */
const SCHEDULES_DRAWN = 10
const FREEZE_MILLISECONDS = 6000
const TRIM_LOAD_MILLISECONDS = 40_000

/** A random schedule of calls and faults. */
export const randomSchedule: ProveCase = async (seed, interfaces) => {
  const schedule = fc.sample(steps, { seed, numRuns: SCHEDULES_DRAWN }).at(-1)!
  const { history, rig } = await ScheduleRun.run(schedule, interfaces)
  return { evidence: { history }, events: rig.events }
}

/** The intents land, their answers are lost, and the owner dies before it learns of them. */
export const killedBeforeStart: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const owner = run.rig.owner!
  run.submitMany(10, run.rig.entry)
  await run.until(() => run.rig.events.some(event => event.name === 'request-start-intended'), 1000)
  run.rig.table.faults.set({ mode: 'lose-answers' })
  await run.rig.advance(run.between(20, 120))
  const lostAt = run.rig.clock.now()
  owner.kill()
  run.rig.table.faults.set({ mode: 'none' })
  await run.rig.advance(8000)
  return run.finish({ recoveries: [run.servedAfter(lostAt)] })
}

/** The starts have left, and the owner dies before it hears of them or of their ends. */
export const killedAfterStart: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  run.submitMany(10, run.rig.entry)
  await run.until(() => run.rig.executions.length > 0, 2000)
  await run.rig.advance(run.between(0, 400))
  const lostAt = run.rig.clock.now()
  run.rig.owner!.kill()
  await run.rig.advance(8000)
  return run.finish({ recoveries: [run.servedAfter(lostAt)] })
}

/** The owner falls silent for good while callers wait for it. */
export const frozenOwner: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const { rig } = run
  const { entry } = rig
  const deadline = rig.clock.now() + 10_000
  const submissions = Array.from({ length: 10 }, () => run.swap(run.between(1, 600), { deadline }))
  submissions.forEach(submission => { run.submit(entry, submission, deadline - rig.clock.now()) })
  await rig.advance(run.between(0, 200))
  const frozen = rig.owner!
  frozen.clock.pause()
  await rig.advance(30_000)
  frozen.clock.resume()
  return run.finish({ tellBy: new Map(submissions.map(({ key }) => [key, deadline])) })
}

/** The owner is frozen past its lease and goes on while another one serves the same callers. */
export const frozenAndBack: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const frozen = run.rig.owner!
  run.submitMany(10)
  await run.rig.advance(run.between(0, 120))
  frozen.clock.pause()
  await run.load(run.between(3000, 9000), 200)
  frozen.clock.resume()
  run.submitMany(5, frozen)
  await run.load(2000, 100)
  return run.finish()
}

/** The old owner goes on, and reads of the table are too slow to tell it of the new one; both get the same requests. */
export const twoOwners: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const old = run.rig.owner!
  old.clock.pause()
  await run.rig.advance(FREEZE_MILLISECONDS)
  const current = run.rig.owner === old ? run.rig.entry : run.rig.vms.find(vm => vm !== old && vm.host.states.length > 0) ?? run.rig.entry
  run.rig.table.faults.set({ mode: 'slow', delayMilliseconds: 2000, only: 'reads' })
  old.clock.resume()
  for (let index = 0; index < 10; index++) {
    const submission = run.swap(run.between(100, 2000))
    const [first, second] = run.random() < 0.5 ? [old, current] : [current, old]
    run.submit(first, submission)
    run.submit(second, submission)
    await run.rig.advance(run.between(0, 150))
  }
  await run.rig.advance(6000)
  return run.finish()
}

/** The owner is frozen with intents to commit; when it goes on, its place in the journal was trimmed, and reads are too slow to tell it. */
export const frozenWhileTrimmed: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const { rig } = run
  const frozen = rig.owner!
  run.submitMany(8, run.rig.entry)
  await run.until(() => rig.events.some(event => event.name === 'request-accepted'), 1000)
  await rig.advance(run.between(1, 45))
  frozen.clock.pause()
  const busy = rig.servers.slice(0, 2)
  busy.forEach(server => { server.faults.set({ mode: 'down' }) })
  await rig.advance(FREEZE_MILLISECONDS)
  busy.forEach(server => { server.faults.set({ mode: 'none' }) })
  await run.load(TRIM_LOAD_MILLISECONDS, 50)
  rig.table.faults.set({ mode: 'slow', delayMilliseconds: 2000, only: 'reads' })
  frozen.clock.resume()
  await rig.advance(5000)
  return run.finish()
}

/** Every VM is replaced in turn while callers go on; nothing but planned stops comes. */
export const rollingReplacement: ProveCase = async (seed, interfaces) => {
  const run = await CaseRun.start(seed, interfaces)
  const staying = new Set(run.rig.vms)
  for (const [index, old] of [...run.rig.vms].entries()) {
    const fresh = run.rig.addVm(`new-${index}`, 100 + index)
    await fresh.start()
    staying.add(fresh)
    await run.load(run.between(500, 2500), 50, () => [...staying])
    staying.delete(old)
    await replace(run, old, () => [...staying])
  }
  await run.rig.advance(6000)
  const keys = run.calls.submissions.map(({ key }) => key)
  return run.finish({ uncut: { keys, told: [...run.calls.told] } })
}

async function replace (run: CaseRun, old: RigVm, staying: () => readonly RigVm[]): Promise<void> {
  run.rig.vmList = run.rig.vmList.map(listed => listed.name === old.name ? { ...listed, status: 'leaving' } : listed)
  const leaving = old.host.leave()
  await run.load(5500, 50, staying)
  await run.rig.settle(leaving)
  old.kill()
  run.rig.vmList = run.rig.vmList.filter(listed => listed.name !== old.name)
}
