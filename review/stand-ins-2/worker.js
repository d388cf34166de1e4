// Stand-in of one worker, as a process. Arguments: a JSON object with id, host, port, store and entry.
// A specification such as `work=2000 cpu=250 mem=256 gpu=0` says how long a task works, and what it needs.
// Each start and each end is one line of JSON on standard output.
import { createServer, request as httpRequest } from 'node:http'
import { readBody } from './store.js'

const MAXIMUM_LISTED_ENDS = 500
const STOP_MILLISECONDS = 50
const options = JSON.parse(process.argv[2])
const { id, host, port, store, heartbeatMilliseconds, maximumHoldMilliseconds, drainMilliseconds } = options
const born = Date.now()
const startedAt = performance.now()
const clock = () => Math.floor(performance.now() - startedAt)
const runs = new Map()
const highest = new Map()
const waiting = new Set()
let ended = []
let endCount = 0
let token = 0
let leaseUntil = 0
let sequence = 0
let state = 'ready'
const free = { ...options.entry.capacity }

function record (event) {
  process.stdout.write(`${JSON.stringify({ at: Date.now(), worker: id, ...event })}\n`)
}

function needOf (spec) {
  const read = name => Number(new RegExp(`\\b${name}=(\\d+)`).exec(spec)?.[1] ?? 0)
  return { cpu: read('cpu'), mem_mb: read('mem'), gpu: read('gpu'), work: read('work') }
}

function end (task, how) {
  const run = runs.get(task)
  if (run === undefined) return
  runs.delete(task)
  clearTimeout(run.timer)
  for (const name of ['cpu', 'mem_mb', 'gpu']) free[name] += run.need[name]
  highest.set(task, Math.max(highest.get(task) ?? 0, run.run))
  endCount += 1
  ended.push([endCount, task, run.run, how, ''])
  record({ type: 'end', task, run: run.run, how })
  for (const wake of [...waiting]) wake()
}

const isFenced = (given = 0) => {
  if (given < token) return true
  token = given
  return false
}

const renew = until => { leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + maximumHoldMilliseconds)) }

function start ({ task, run, spec, until_ms: until, fencing_token: given }) {
  if (isFenced(given)) return [409, { reason: 'fence' }]
  if (runs.get(task)?.run === run) return [200]
  if (run <= Math.max(highest.get(task) ?? 0, runs.get(task)?.run ?? 0)) return [409, { reason: 'old' }]
  if (until <= clock()) return [409, { reason: 'late' }]
  const need = needOf(spec)
  renew(until)
  if (['cpu', 'mem_mb', 'gpu'].some(name => need[name] > free[name])) return [409, { reason: 'room' }]
  for (const name of ['cpu', 'mem_mb', 'gpu']) free[name] -= need[name]
  const how = /\bfails=(\d+)/.exec(spec)
  const outcome = how !== null && Number(how[1]) > 0 && Math.random() * 100 < Number(how[1]) ? 'failed' : 'done'
  runs.set(task, { run, need, startedAt: clock(), timer: setTimeout(() => end(task, outcome), need.work) })
  record({ type: 'start', task, run })
  return [200]
}

function stop ({ task, run, fencing_token: given }) {
  if (isFenced(given)) return [409, { reason: 'fence' }]
  highest.set(task, Math.max(highest.get(task) ?? 0, run))
  if (runs.get(task)?.run === run) setTimeout(() => { if (runs.get(task)?.run === run) end(task, 'stopped') }, STOP_MILLISECONDS)
  return [200]
}

async function hold ({ fencing_token: given, last_seen: lastSeen = 0, until_ms: until, wait_ms: wait = 0 }) {
  if (isFenced(given)) return [409, { reason: 'fence' }]
  ended = ended.filter(([position]) => position > lastSeen)
  if (until !== undefined) renew(until)
  if (ended.length === 0 && wait > 0) {
    await new Promise(resolve => {
      const timer = setTimeout(wake, Math.min(2000, wait))
      function wake () {
        clearTimeout(timer)
        waiting.delete(wake)
        resolve()
      }
      waiting.add(wake)
    })
  }
  const running = [...runs].map(([task, { run, need, startedAt: since }]) => [task, run, '', Math.min(99, Math.floor(100 * (clock() - since) / Math.max(1, need.work))), need.cpu])
  return [200, { running, ended: ended.slice(0, MAXIMUM_LISTED_ENDS) }]
}

const handlers = { '/-/run-start': start, '/-/run-stop': stop, '/-/hold': hold }

const server = createServer((request, response) => {
  const serve = async () => {
    const body = await readBody(request)
    const answer = (status, content = {}) => {
      response.writeHead(status, { 'Content-Type': 'application/json', 'X-Instance-Id': id })
      response.end(JSON.stringify({ clock_ms: clock(), born, ...content }))
    }
    const handler = handlers[request.url]
    if (handler === undefined) return answer(404)
    const expected = request.headers['x-expected-instance']
    if (expected !== undefined && expected !== id) return answer(421)
    answer(...await handler(JSON.parse(body)))
  }
  serve().catch(() => response.destroy())
})
server.keepAliveTimeout = 120_000

function post (body) {
  const [storeHost, storePort] = store.split(':')
  return new Promise(resolve => {
    const request = httpRequest({ host: storeHost, port: storePort, method: 'POST', path: '/report', headers: { 'Content-Type': 'application/json' } }, response => {
      response.resume()
      response.on('end', resolve)
    })
    request.on('error', resolve)
    request.end(JSON.stringify(body))
  })
}

function report () {
  sequence += 1
  return post({ id, entry: { ...options.entry, address: `${host}:${port}`, state, cold_left_ms: 0, clock_ms: clock(), born, seq: sequence, ...(state === 'draining' ? { remaining_ms: drainMilliseconds } : {}) } })
}

setInterval(() => { if (leaseUntil <= clock()) for (const task of [...runs.keys()]) end(task, 'lapsed') }, 50)
setInterval(report, heartbeatMilliseconds)
process.on('SIGTERM', () => {
  state = 'draining'
  report().then(() => setTimeout(() => {
    for (const task of [...runs.keys()]) end(task, 'stopped')
    post({ id, isLeaving: true }).then(() => process.exit(0))
  }, drainMilliseconds))
})
process.on('disconnect', () => process.exit(0))
server.listen(port, host, report)
