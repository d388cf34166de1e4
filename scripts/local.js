// Builds, then runs the local deployment in this process rather than in a child, so that signals reach it.
import { spawnSync } from 'node:child_process'

const { status } = spawnSync('npm', ['run', '--silent', 'build'], { stdio: ['ignore', 2, 2] })
if (status !== 0) process.exit(status ?? 1)
await import('../packages/stand-in/dist/src/local-main.js')
