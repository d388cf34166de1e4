/** The benchmark of a complete local deployment: `npm run bench [-- --rounds N]`. */
import { setTimeout as sleep } from 'node:timers/promises'
import { defineCommand, runMain } from 'citty'
import { measurePath, type PathFigures } from './bench-load.js'
import { BenchDeployment } from './bench-deployment.js'
import { median } from './slopes-fit.js'

const DEFAULT_ROUNDS = 5
const CELL = 'praha'
const SETTLE_MILLISECONDS = 3000

const formatTenths = (value: number): string => String(Math.round(value * 10) / 10)

/** Time without service after the owner receives this signal, one figure per round. */
async function measureOwnerChanges (deployment: BenchDeployment, signal: 'SIGKILL' | 'SIGTERM', rounds: number): Promise<readonly number[]> {
  const times: number[] = []
  for (let number = 0; number < rounds; number++) {
    const owner = await deployment.ownerOf(CELL)
    const caller = deployment.vms.find(vm => vm !== owner && !vm.startsWith(CELL))!
    await deployment.timeUntilServed(caller, CELL)
    deployment.signal(owner, signal)
    times.push(await deployment.timeUntilServed(caller, CELL))
    await deployment.restart(owner)
    await sleep(SETTLE_MILLISECONDS)
  }
  return times
}

function printTimes (name: string, times: readonly number[]): void {
  console.log(`${name}: median ${formatTenths(median(times))} ms, worst of ${times.length} ${formatTenths(Math.max(...times))} ms`)
}

function printPath (name: string, path: PathFigures, baseline?: PathFigures): void {
  const ratio = baseline === undefined ? '' : `, ${formatTenths(path.acceptedPerSecond / baseline.acceptedPerSecond)}x accepted and ${formatTenths(path.medianMilliseconds / baseline.medianMilliseconds)}x median of the owner's VM`
  console.log(`${name}: ${formatTenths(path.acceptedPerSecond)} accepted a second, at half load median ${formatTenths(path.medianMilliseconds)} ms, 99th percentile ${formatTenths(path.percentile99Milliseconds)} ms, ${path.unfinished} unfinished${ratio}`)
}

async function printMemory (deployment: BenchDeployment, when: string): Promise<void> {
  const { vms } = await deployment.status(deployment.vms[0]!)
  const megabytes = vms.map(vm => vm.memoryBytes / 1_000_000)
  console.log(`memory per daemon ${when}: median ${formatTenths(median(megabytes))} MB, most ${formatTenths(Math.max(...megabytes))} MB`)
}

async function benchDeployment (rounds: number): Promise<PathFigures> {
  const deployment = await BenchDeployment.start()
  try {
    await sleep(SETTLE_MILLISECONDS)
    await printMemory(deployment, 'idle')
    const owner = await deployment.ownerOf(CELL)
    const direct = await measurePath(deployment, owner, CELL)
    printPath('sent to the owner\'s VM', direct)
    printPath('forwarded', await measurePath(deployment, deployment.vms.find(vm => vm !== owner && !vm.startsWith(CELL))!, CELL), direct)
    await printMemory(deployment, 'after load')
    printTimes('takeover after SIGKILL, until a new request has finished', await measureOwnerChanges(deployment, 'SIGKILL', rounds))
    printTimes('planned handover, until a new request has finished', await measureOwnerChanges(deployment, 'SIGTERM', rounds))
    return direct
  } finally {
    await deployment.stop()
  }
}

/** Measures the direct path again with a table service that has no propagation delay. */
async function benchWithoutDelay (baseline: PathFigures): Promise<void> {
  const deployment = await BenchDeployment.start({ oneWayMilliseconds: 0 })
  try {
    await sleep(SETTLE_MILLISECONDS)
    printPath('sent to the owner\'s VM, in-memory table service without propagation delay', await measurePath(deployment, await deployment.ownerOf(CELL), CELL), baseline)
  } finally {
    await deployment.stop()
  }
}

await runMain(defineCommand({
  meta: { name: 'bench', description: 'Benchmarks a local deployment; compare figures within a run only, not across machines' },
  args: { rounds: { type: 'string', default: String(DEFAULT_ROUNDS), description: 'Rounds of takeovers and of handovers' } },
  async run ({ args }) {
    await benchWithoutDelay(await benchDeployment(Number(args.rounds)))
  }
}))
