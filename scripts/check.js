// Everything that CI checks, step by step; the last line counts the tests.
import { spawnSync } from 'node:child_process'
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

// Many times what the tests take; a run that doesn't end has failed.
const TEST_RUN_MILLISECONDS = 15 * 60 * 1000
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
  run('npx', ['mocha', 'packages/*/dist/test/**/*.test.js', 'platform/dist/test/**/*.test.js', '--reporter', 'json', '--reporter-option', `output=${file}`], { stdio: ['ignore', 'ignore', 'inherit'], timeout: TEST_RUN_MILLISECONDS })
  const result = existsSync(file) ? JSON.parse(readFileSync(file, 'utf8')) : undefined
  rmSync(folder, { recursive: true })
  return result
}

const report = (failure, prefix) => {
  console.log(`${prefix}: ${failure.fullTitle}`)
  console.log(failure.err.stack ?? failure.err.message)
}

if (!existsSync('node_modules')) mustRun('npm', ['ci'])
mustRun('npm', ['run', '--silent', 'format:check'])
mustRun('npm', ['run', '--silent', 'lint'])
// What was built of files that are gone would still be tested.
for (const folder of [...readdirSync('packages').map(name => join('packages', name)), 'platform']) rmSync(join(folder, 'dist'), { recursive: true, force: true })
mustRun('npm', ['run', '--silent', 'types'])

console.log('> mocha')
const result = runTests()
if (result === undefined || result.stats.tests === 0 || result.pending.length > 0) {
  console.log('the test run gave no whole result')
  console.log('0 passed, 1 failed')
  process.exit(1)
}
const known = knownRedTitles()
const red = result.failures.filter(failure => known.has(failure.fullTitle))
const failed = result.failures.filter(failure => !known.has(failure.fullTitle))
red.forEach(failure => report(failure, 'KNOWN RED'))
failed.forEach(failure => report(failure, 'FAILED'))
if (red.length > 0) console.log(`${red.length} known red, listed in ${KNOWN_RED_FILE}`)
console.log(`${result.passes.length} passed, ${failed.length} failed`)
process.exit(failed.length === 0 ? 0 : 1)
