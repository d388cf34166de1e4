/** The bench of whole deployments: `npm run bench [-- --rounds N]`. */
import { setTimeout as sleep } from 'node:timers/promises'
import { defineCommand, runMain } from 'citty'
import { measurePath, type PathFigures } from './bench-load.js'
import { BenchWorld } from './bench-world.js'
import { median } from './slopes-fit.js'

const DEFAULT_ROUNDS = 5
const CELL = 'praha'
const SETTLE_MILLISECONDS = 3000

const round = (value: number): string => String(Math.round(value * 10) / 10)

/** Time without service after an owner ends by this signal, round by round. */
async function ownerChanges (world: BenchWorld, signal: 'SIGKILL' | 'SIGTERM', rounds: number): Promise<readonly number[]> {
  const times: number[] = []
  for (let number = 0; number < rounds; number++) {
    const owner = await world.ownerOf(CELL)
    const caller = world.vms.find(vm => vm !== owner && !vm.startsWith(CELL))!
    await world.untilServed(caller, CELL)
    world.signal(owner, signal)
    times.push(await world.untilServed(caller, CELL))
    await world.restart(owner)
    await sleep(SETTLE_MILLISECONDS)
  }
  return times
}

function printTimes (name: string, times: readonly number[]): void {
  console.log(`${name}: median ${round(median(times))} ms, worst of ${times.length} ${round(Math.max(...times))} ms`)
}

function printPath (name: string, path: PathFigures, base?: PathFigures): void {
  const ratio = base === undefined ? '' : `, ${round(path.acceptedPerSecond / base.acceptedPerSecond)}x accepted and ${round(path.medianMilliseconds / base.medianMilliseconds)}x median of the owner's VM`
  console.log(`${name}: ${round(path.acceptedPerSecond)} accepted a second, at half load median ${round(path.medianMilliseconds)} ms, 99th percentile ${round(path.worstPercentileMilliseconds)} ms, ${path.unfinished} unfinished${ratio}`)
}

async function printMemory (world: BenchWorld, when: string): Promise<void> {
  const { vms } = await world.status(world.vms[0]!)
  const megabytes = vms.map(vm => vm.memoryBytes / 1_000_000)
  console.log(`memory per daemon ${when}: median ${round(median(megabytes))} MB, most ${round(Math.max(...megabytes))} MB`)
}

async function benchWhole (rounds: number): Promise<PathFigures> {
  const world = await BenchWorld.start()
  try {
    await sleep(SETTLE_MILLISECONDS)
    await printMemory(world, 'idle')
    const owner = await world.ownerOf(CELL)
    const direct = await measurePath(world, owner, CELL)
    printPath('sent to the owner\'s VM', direct)
    printPath('forwarded', await measurePath(world, world.vms.find(vm => vm !== owner && !vm.startsWith(CELL))!, CELL), direct)
    await printMemory(world, 'after load')
    printTimes('takeover after SIGKILL, until a new request has finished', await ownerChanges(world, 'SIGKILL', rounds))
    printTimes('planned handover, until a new request has finished', await ownerChanges(world, 'SIGTERM', rounds))
    return direct
  } finally {
    await world.stop()
  }
}

/** The same path where the table service answers without delay. */
async function benchWithoutDelay (base: PathFigures): Promise<void> {
  const world = await BenchWorld.start({ oneWayMilliseconds: 0 })
  try {
    await sleep(SETTLE_MILLISECONDS)
    printPath('sent to the owner\'s VM, table in memory without delay', await measurePath(world, await world.ownerOf(CELL), CELL), base)
  } finally {
    await world.stop()
  }
}

await runMain(defineCommand({
  meta: { name: 'bench', description: 'Measures a local deployment; figures within a run compare, figures of two machines do not' },
  args: { rounds: { type: 'string', default: String(DEFAULT_ROUNDS), description: 'Rounds of takeover and of handover' } },
  async run ({ args }) {
    await benchWithoutDelay(await benchWhole(Number(args.rounds)))
  }
}))
