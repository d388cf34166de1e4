// Builds, then runs the local deployment in this very process, so that a signal reaches it.
import { spawnSync } from 'node:child_process'

const { status } = spawnSync('npm', ['run', '--silent', 'build'], { stdio: ['ignore', 2, 2] })
if (status !== 0) process.exit(status ?? 1)
await import('../packages/stand-in/dist/src/local-main.js')
