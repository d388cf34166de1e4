#!/usr/bin/env node
/** The executable `cornelgauged`: the daemon of an entry VM. */
import { asFailure } from '@cornelgauge/model'
import { defineCommand, runMain } from 'citty'
import { Daemon } from './daemon.js'
import { environmentVariable, readSettings, SETTING_DECLARATIONS, type SettingDeclaration, type Settings } from './settings.js'

const EXIT_INVALID_SETTINGS = 2
const EXIT_CANNOT_START = 1
const LONGEST_STOP_MILLISECONDS = 60_000

const flags = Object.fromEntries(Object.entries(SETTING_DECLARATIONS).map(([name, declaration]) => {
  const { description, valueHint, default: fallback } = declaration as SettingDeclaration
  const defaultNote = fallback === undefined || fallback === '' ? '' : `, default ${fallback}`
  return [name, { type: 'string', valueHint, description: `${description} (${environmentVariable(name)}${defaultNote})` }] as const
}))

function settingsOrExit (given: Readonly<Record<string, unknown>>): Settings {
  try {
    return readSettings(given, process.env)
  } catch (thrown) {
    process.stderr.write(`cornelgauged: invalid settings\n${asFailure(thrown).message}\n`)
    process.exit(EXIT_INVALID_SETTINGS)
  }
}

async function run (settings: Settings): Promise<void> {
  const daemon = new Daemon(settings)
  const stop = (): void => {
    setTimeout(() => { process.exit(EXIT_CANNOT_START) }, LONGEST_STOP_MILLISECONDS).unref()
    daemon.stop().then(() => { process.exit(0) }, () => { process.exit(EXIT_CANNOT_START) })
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
  try {
    await daemon.start()
  } catch (thrown) {
    process.stderr.write(`cornelgauged: ${asFailure(thrown).message}\n`)
    process.exit(EXIT_CANNOT_START)
  }
}

await runMain(defineCommand({
  meta: { name: 'cornelgauged', version: '0.1.0', description: 'The daemon of an entry VM. Every flag has an environment variable; a flag takes precedence over it.' },
  args: flags as Record<string, { type: 'string', description: string }>,
  run: ({ args }) => run(settingsOrExit(args))
}))
