/**
 * The demonstration: `npm run demo [-- --deployment silver-fare]` starts a complete local
 * deployment, sends it a fixed list of calls, and checks the responses.
 */
import { readFile } from 'node:fs/promises'
import { fileURLToPath } from 'node:url'
import { defineCommand, runMain } from 'citty'
import { asFailure } from '@cornelgauge/model'
import { mergeEvents, renderText, type TimelineEvent } from '@cornelgauge/telemetry'
import { DemoCaller, type DemoReply } from './demo-caller.js'
import { DEMO_PLANS, differenceOf, type DemoPlan, type DemoStep, type ExpectedStarts } from './demo-steps.js'
import { LocalDeployment } from './local-deployment.js'
import { DAEMON_MAIN } from './local-entry.js'
import { pickDeployment } from './local-run.js'
import { DEPLOYMENTS } from './local-sizes.js'

const DAEMON_GRACE_MILLISECONDS = 20_000
const EXIT_FAILED = 1
const EXIT_INVALID_SETTINGS = 2
const SHOWN_MEMBERS = ['state', 'code', 'kind', 'cell', 'attempts', 'answer', 'reason', 'detail'] as const

const print = (line: string): void => { process.stdout.write(`${line}\n`) }

async function deploymentOf (name: string): Promise<LocalDeployment> {
  const sizes = pickDeployment(DEPLOYMENTS, name)
  const example = fileURLToPath(new URL(`../../../../examples/${name}.yaml`, import.meta.url))
  return new LocalDeployment({
    sizes,
    daemonMain: DAEMON_MAIN,
    document: await readFile(example, 'utf8'),
    logLevel: 'warn',
    daemonGraceMilliseconds: DAEMON_GRACE_MILLISECONDS,
    onUnexpectedEnd: child => { print(child.describeEnd()) }
  })
}

function printReply ({ status, body }: DemoReply): void {
  const shown = SHOWN_MEMBERS.flatMap(member => body[member] === undefined ? [] : [`${member} ${JSON.stringify(body[member])}`])
  print(`    ${status}  ${shown.join('  ')}`)
}

/** Sends the call of a step and prints the response. Returns the number of differences from the expected one. */
async function runStep (caller: DemoCaller, step: DemoStep): Promise<number> {
  const { method, workspace, key } = step.call
  print(`\n${step.title}\n    ${method} ${workspace}/${key}`)
  const reply = await caller.call(step.call)
  printReply(reply)
  const difference = differenceOf(step, reply)
  if (difference !== undefined) print(`    NOT AS EXPECTED: ${difference}`)
  return difference === undefined ? 0 : 1
}

async function showTimeline (caller: DemoCaller, workspace: string, key: string): Promise<number> {
  const events = await caller.events(workspace, key) as readonly TimelineEvent[]
  print(`\nTimeline of ${workspace}/${key}`)
  for (const line of renderText(mergeEvents([events]))) print(`    ${line}`)
  if (events.length > 0) return 0
  print('    NOT AS EXPECTED: there are no events')
  return 1
}

/** Compares the expected number of starts with the record of the backend servers. */
async function checkStarts (caller: DemoCaller, { workspace, key, count }: ExpectedStarts): Promise<number> {
  const starts = await caller.starts(workspace, key)
  print(`    ${workspace}/${key}  ${starts}`)
  if (starts === count) return 0
  print(`    NOT AS EXPECTED: there should be ${count}`)
  return 1
}

async function runPlan (caller: DemoCaller, plan: DemoPlan): Promise<number> {
  let differences = 0
  for (const step of plan.steps) differences += await runStep(caller, step)
  for (const [workspace, key] of plan.timelines) differences += await showTimeline(caller, workspace, key)
  print('\nStarts that the backend servers have recorded')
  for (const expected of plan.starts) differences += await checkStarts(caller, expected)
  return differences
}

async function runDemo (deployment: LocalDeployment, plan: DemoPlan): Promise<number> {
  print('Starting the platform\'s stand-ins, 30 backend servers and 9 daemons')
  await deployment.launch()
  await deployment.makeReady()
  const { workspaces, operator } = deployment.credentials
  const entries = deployment.plan.entries.map(({ address }) => address)
  const backendServers = deployment.plan.backendServers.map(({ address }) => address)
  const caller = new DemoCaller({ entries, tokens: workspaces, operatorToken: operator, backendServers })
  const differences = await runPlan(caller, plan)
  print(differences === 0 ? '\nAll responses were as expected.' : `\n${differences} not as expected`)
  return differences === 0 ? 0 : EXIT_FAILED
}

async function run (name: string): Promise<number> {
  try {
    const deployment = await deploymentOf(name)
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => { deployment.kill().finally(() => process.exit(EXIT_FAILED)) })
    return await runDemo(deployment, DEMO_PLANS[name]!).finally(() => deployment.stop())
  } catch (thrown) {
    const failure = asFailure(thrown)
    process.stderr.write(`${failure.code}: ${failure.message}\n`)
    return failure.code === 'invalid-settings' ? EXIT_INVALID_SETTINGS : EXIT_FAILED
  }
}

await runMain(defineCommand({
  meta: { name: 'demo', description: 'Sends calls to a complete local deployment and checks the responses' },
  args: { deployment: { type: 'string', default: 'hlidka', valueHint: Object.keys(DEPLOYMENTS).join('|'), description: 'Name of the deployment' } },
  run: async ({ args }) => { process.exit(await run(args.deployment)) }
}))
