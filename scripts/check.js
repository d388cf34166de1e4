// Runs all checks of CI in sequence; the last line of the output is the number of tests passed and failed.
import { spawnSync } from 'node:child_process'
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

// Many times the normal duration; a test run that takes longer is considered hung and has failed.
const TEST_RUN_TIMEOUT_MILLISECONDS = 15 * 60 * 1000
const KNOWN_RED_FILE = 'KNOWN-RED.txt'

const run = (command, parameters, options = {}) =>
  spawnSync(command, parameters, { stdio: 'inherit', ...options }).status === 0

const mustRun = (command, parameters) => {
  console.log(`> ${[command, ...parameters].join(' ')}`)
  if (run(command, parameters)) return
  console.log(`${command} ${parameters.join(' ')} failed`)
  console.log('0 passed, 1 failed')
  process.exit(1)
}

const knownRedTitles = () => {
  if (!existsSync(KNOWN_RED_FILE)) return new Set()
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n')
  return new Set(lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()))
}

const runTests = () => {
  const folder = mkdtempSync(join(tmpdir(), 'check-'))
  const file = join(folder, 'result.json')
  run('npx', ['mocha', 'packages/*/dist/test/**/*.test.js', 'platform/dist/test/**/*.test.js', '--reporter', 'json', '--reporter-option', `output=${file}`], { stdio: ['ignore', 'ignore', 'inherit'], timeout: TEST_RUN_TIMEOUT_MILLISECONDS })
  const result = existsSync(file) ? JSON.parse(readFileSync(file, 'utf8')) : undefined
  rmSync(folder, { recursive: true })
  return result
}

const printFailure = (failure, label) => {
  console.log(`${label}: ${failure.fullTitle}`)
  console.log(failure.err.stack ?? failure.err.message)
}

if (!existsSync('node_modules')) mustRun('npm', ['ci'])
mustRun('npm', ['run', '--silent', 'format:check'])
mustRun('npm', ['run', '--silent', 'lint'])
// Removes the build output: files built from deleted sources would otherwise still be tested.
for (const folder of [...readdirSync('packages').map(name => join('packages', name)), 'platform']) rmSync(join(folder, 'dist'), { recursive: true, force: true })
mustRun('npm', ['run', '--silent', 'types'])

console.log('> mocha')
const result = runTests()
if (result === undefined || result.stats.tests === 0 || result.pending.length > 0) {
  console.log('the test run gave no complete result')
  console.log('0 passed, 1 failed')
  process.exit(1)
}
const knownTitles = knownRedTitles()
const knownFailures = result.failures.filter(failure => knownTitles.has(failure.fullTitle))
const newFailures = result.failures.filter(failure => !knownTitles.has(failure.fullTitle))
knownFailures.forEach(failure => printFailure(failure, 'KNOWN RED'))
newFailures.forEach(failure => printFailure(failure, 'FAILED'))
if (knownFailures.length > 0) console.log(`${knownFailures.length} known red, listed in ${KNOWN_RED_FILE}`)
console.log(`${result.passes.length} passed, ${newFailures.length} failed`)
process.exit(newFailures.length === 0 ? 0 : 1)
