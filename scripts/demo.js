// Installs the dependencies if needed, builds, and runs the demo, which shows the responses that callers get.
import { spawnSync } from 'node:child_process'
import { existsSync } from 'node:fs'

const mustRun = parameters => {
  const { status } = spawnSync('npm', parameters, { stdio: ['ignore', 2, 2] })
  if (status !== 0) process.exit(status ?? 1)
}

if (!existsSync('node_modules')) mustRun(['ci'])
mustRun(['run', '--silent', 'build'])
await import('../packages/stand-in/dist/src/demo.js')
