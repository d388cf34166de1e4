/**
 * The command line of the local deployment: `npm run local -- --deployment hlidka`.
 */
import { createWriteStream, mkdirSync, type WriteStream } from 'node:fs'
import { readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { defineCommand, runMain } from 'citty'
import { asFailure, CornelgaugeError } from '@cornelgauge/model'
import { DAEMON_MAIN } from './local-entry.js'
import { LocalRun, pickDeployment, type LocalRunOptions } from './local-run.js'
import { DEPLOYMENTS } from './local-sizes.js'

const SECOND_MILLISECONDS = 1000
const DAEMON_GRACE_MILLISECONDS = 20_000
const RUNNER_POLL_MILLISECONDS = 500
const EXIT_FAILED = 1
const EXIT_INVALID_SETTINGS = 2
const STOP_SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const

const FLAGS = {
  deployment: { type: 'string', required: true, valueHint: Object.keys(DEPLOYMENTS).join('|'), description: 'Name of the deployment' },
  duration: { type: 'string', valueHint: 'SECONDS', description: 'How long to run; by default until stopped' },
  load: { type: 'boolean', default: true, description: 'Drive the sample load', negativeDescription: 'Drive no sample load' },
  seed: { type: 'string', default: '1', valueHint: 'NUMBER', description: 'Seed of the sample load' },
  json: { type: 'boolean', default: false, description: 'Print the outcomes of the sample load as one JSON line' },
  logs: { type: 'string', valueHint: 'DIRECTORY', description: 'Write the output of each process to its own file' },
  'log-level': { type: 'string', default: 'warn', description: 'Log level of the daemons' },
  document: { type: 'string', valueHint: 'FILE', description: 'The initial environment document; by default the deployment\'s example' },
  daemon: { type: 'string', default: DAEMON_MAIN, valueHint: 'FILE', description: 'Main module of the daemon' }
} as const

/** The parsed command line. */
interface Flags {
  readonly deployment: string
  readonly duration?: string
  readonly load: boolean
  readonly seed: string
  readonly json: boolean
  readonly logs?: string
  readonly 'log-level': string
  readonly document?: string
  readonly daemon: string
}

function numberFlag (name: string, text: string): number {
  const value = Number(text)
  if (!Number.isFinite(value) || value < 0) throw new CornelgaugeError('invalid-settings', { detail: `--${name} must be a number of 0 or more, not ${text}` })
  return value
}

function exampleDocument (deployment: string): string {
  return fileURLToPath(new URL(`../../../../examples/${deployment}.yaml`, import.meta.url))
}

/** Writes each process's lines to `DIRECTORY/NAME.log`. */
function logWriter (directory: string): (processName: string, line: string) => void {
  const streams = new Map<string, WriteStream>()
  mkdirSync(directory, { recursive: true })
  return (processName, line) => {
    const stream = streams.get(processName) ?? createWriteStream(join(directory, `${processName}.log`))
    streams.set(processName, stream)
    stream.write(`${line}\n`)
  }
}

async function optionsOf (flags: Flags): Promise<LocalRunOptions> {
  const sizes = pickDeployment(DEPLOYMENTS, flags.deployment)
  return {
    sizes,
    daemonMain: flags.daemon,
    document: await readFile(flags.document ?? exampleDocument(sizes.name), 'utf8'),
    logLevel: flags['log-level'],
    daemonGraceMilliseconds: DAEMON_GRACE_MILLISECONDS,
    durationMilliseconds: flags.duration === undefined ? undefined : numberFlag('duration', flags.duration) * SECOND_MILLISECONDS,
    withLoad: flags.load,
    seed: numberFlag('seed', flags.seed),
    json: flags.json,
    print: line => process.stdout.write(`${line}\n`),
    onLine: flags.logs === undefined ? undefined : logWriter(flags.logs),
    onUnexpectedEnd: child => process.stderr.write(`${child.describeEnd()}\n`)
  }
}

/**
 * Stops when the npm script that started this process has exited: its shell may be
 * ended by a signal that does not reach this process.
 */
function stopWithRunner (stop: () => void): void {
  if (process.env.npm_lifecycle_event === undefined) return
  const runner = process.ppid
  const timer = setInterval(() => {
    if (process.ppid === runner) return
    clearInterval(timer)
    stop()
  }, RUNNER_POLL_MILLISECONDS)
  timer.unref()
}

/** Runs the deployment, and returns the exit code. */
async function runLocal (flags: Flags): Promise<number> {
  try {
    const run = new LocalRun(await optionsOf(flags))
    for (const signal of STOP_SIGNALS) process.on(signal, () => { run.stop() })
    process.stdout.on('error', () => { run.stop() })
    stopWithRunner(() => { run.stop() })
    return await run.run()
  } catch (thrown) {
    const failure = asFailure(thrown)
    process.stderr.write(`${failure.code}: ${failure.message}\n`)
    return failure.code === 'invalid-settings' ? EXIT_INVALID_SETTINGS : EXIT_FAILED
  }
}

await runMain(defineCommand({
  meta: { name: 'local', description: 'Runs a complete deployment as plain processes on loopback' },
  args: FLAGS,
  run: async ({ args }) => { process.exit(await runLocal(args as unknown as Flags)) }
}))
