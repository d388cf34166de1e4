/** Entry point of the program `cornelgauge`: calls `run` with the streams, files and clock of the process. */
import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { readFile, writeFile } from 'node:fs/promises'
import { setTimeout as pause } from 'node:timers/promises'
import { requestKey } from '@cornelgauge/model'
import { createHttpPort } from './http.js'
import type { Tools } from './operation.js'
import { run } from './run.js'
import type { Writer } from './terminal.js'
import { timelineRenderer } from './timeline-renderer.js'

const PACKAGE_FILE = new URL('../../package.json', import.meta.url)

/** A reader such as `head` closes the pipe once it has read enough; that is not a failure. */
function ignoreClosedPipe (failure: NodeJS.ErrnoException): void {
  if (failure.code !== 'EPIPE') throw failure
}

function writerTo (stream: NodeJS.WriteStream): Writer {
  stream.on('error', ignoreClosedPipe)
  return { isTerminal: stream.isTTY ?? false, write: text => { stream.write(text) } }
}

const tools: Tools = {
  variables: process.env,
  output: writerTo(process.stdout),
  diagnostics: writerTo(process.stderr),
  http: createHttpPort(),
  timeline: timelineRenderer,
  now: () => Date.now(),
  pause: async milliseconds => { await pause(milliseconds) },
  createKey: () => requestKey(randomUUID()),
  readFile: async path => await readFile(path, 'utf8'),
  writeFile: async (path, text) => { await writeFile(path, text) }
}

const { version } = JSON.parse(readFileSync(PACKAGE_FILE, 'utf8')) as { readonly version: string }
process.exitCode = await run(process.argv.slice(2), tools, version)
