/**
 * A small deployment on loopback addresses: the commands of the deploy file as separate processes, and stand-ins of the
 * platform's store, of its workers and of clients, which run in the process of the case.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request as httpRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('..', import.meta.url))
export const HOST = 'jobs.example'
export const KEY = 'key-of-tenant'
/** Bounds of the small deployments. */
export const BOUNDS = { ack_ms: 4000, contact_ms: 3000, revoke_ms: 5000, grace_s: 6, stop_grace_ms: 200, cancel_ms: 3000, visible_ms: 3000, gang_wait_ms: 3000, max_hold_ms: 10000, checkpoint_s: 1, restore_ms: 600, reclaim_ms: 2700, finish_s: 14 }
const ROW_BYTES = 65536
const STORE_MILLISECONDS = 4
const HEARTBEAT_MILLISECONDS = 1500
const MEMORY_MEGABYTES = 350
const RESTART_MILLISECONDS = 500
const PORTS = { front: 8521, readiness: 8523, control: 8526, store: 8524, worker: 8530 }

export const sleep = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds))

async function readBody (request) {
  const parts = []
  for await (const part of request) parts.push(part)
  return Buffer.concat(parts).toString()
}

function listen (server, port, host) {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
}

/** Notes of a case, written to a file once it has ended. */
export class Record {
  #lines = []
  #startedAt = performance.now()

  /** Milliseconds since the start of the case. */
  get now () {
    return Math.round(performance.now() - this.#startedAt)
  }

  note (text) {
    this.#lines.push(`${String(this.now).padStart(7)} ${text}`)
  }

  write (file) {
    writeFileSync(file, `${this.#lines.join('\n')}\n`)
  }
}

/** The platform's store: rows with versions from one counter, conditional transactions, reads and a feed. */
export class Store {
  #rows = new Map()
  #changes = []
  #version = 0
  #waiting = new Set()
  #server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
  #record
  /** Transactions that were refused since a row was too long, by table. */
  refusedRows = new Map()
  /** Calls by path. */
  calls = new Map()

  constructor (record) {
    this.#record = record
  }

  async open (host) {
    await listen(this.#server, PORTS.store, host)
    this.address = `${host}:${PORTS.store}`
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** Writes a row as the operator or a worker. */
  put (table, key, value) {
    this.#apply([{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], [])
  }

  drop (table, key) {
    this.#apply([], [{ table, key }])
  }

  #apply (writes, remove) {
    this.#version += 1
    for (const { table, part = '', key, value } of writes) this.#change({ table, part, key, value, ver: this.#version })
    for (const { table, part = '', key } of remove) if (this.#rows.delete(`${table} ${key}`)) this.#changes.push({ table, part, key, ver: this.#version, deleted: true })
    for (const wake of [...this.#waiting]) wake()
  }

  #change (row) {
    this.#rows.set(`${row.table} ${row.key}`, row)
    this.#changes.push(row)
  }

  async #serve (request, response) {
    const url = new URL(request.url, 'http://store')
    this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1)
    const text = await readBody(request)
    await sleep(STORE_MILLISECONDS)
    const { status, body = {} } = await this.#answer(url, text)
    response.writeHead(status, { 'Content-Type': 'application/json' })
    response.end(JSON.stringify({ ...body, now_ms: Math.floor(performance.now()) }))
  }

  async #answer ({ pathname, searchParams }, text) {
    if (pathname === '/-/rows-tx') return this.#transact(JSON.parse(text))
    if (pathname === '/-/rows-get') return this.#get(searchParams)
    if (pathname === '/-/rows-feed') return await this.#feed(searchParams)
    return { status: 404 }
  }

  #transact ({ expected = [], writes = [], remove = [] }) {
    if (expected.length + writes.length + remove.length > 100) return { status: 400 }
    if ([...writes, ...remove].some(({ table }) => table === 'op' || table === 'servers')) return { status: 403 }
    const long = writes.find(({ value }) => Buffer.byteLength(value, 'base64') > ROW_BYTES)
    if (long !== undefined) {
      if (!this.refusedRows.has(long.table)) this.#record.note(`store: 400 to a transaction with a row of ${Buffer.byteLength(long.value, 'base64')} bytes in the table ${long.table}`)
      this.refusedRows.set(long.table, (this.refusedRows.get(long.table) ?? 0) + 1)
      return { status: 400 }
    }
    const versionOf = ({ table, key }) => this.#rows.get(`${table} ${key}`)?.ver ?? 0
    if (expected.some(row => versionOf(row) !== (row.ver ?? 0))) {
      return { status: 412, body: { ver: this.#version, rows: expected.map(({ table, key }) => this.#rows.get(`${table} ${key}`)).filter(row => row !== undefined) } }
    }
    this.#apply(writes, remove)
    return { status: 200, body: { ver: this.#version } }
  }

  #get (query) {
    const table = query.get('table')
    const from = query.get('from') ?? ''
    const found = [...this.#rows.values()].filter(row => row.table === table && row.key >= from).sort((left, right) => left.key < right.key ? -1 : 1)
    const rows = found.slice(0, Math.min(500, Number(query.get('limit') ?? 500)))
    return { status: 200, body: { rows, has_more: rows.length < found.length, ver: this.#version } }
  }

  async #feed (query) {
    const after = Number(query.get('after'))
    const select = () => this.#changes.filter(({ table, ver }) => table === query.get('table') && ver > after)
    const endsAt = performance.now() + Number(query.get('wait_ms'))
    while (select().length === 0 && performance.now() < endsAt) await this.#nextChange(endsAt - performance.now())
    const newest = new Map(select().map(row => [row.key, row]))
    return { status: 200, body: { rows: [...newest.values()], ver: this.#version } }
  }

  #nextChange (milliseconds) {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer)
        this.#waiting.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, milliseconds)
      this.#waiting.add(finish)
    })
  }
}

/** A worker that guards its capacity. The specification of a task says how long it works and how it ends. */
export class Worker {
  #deployment
  #server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
  #runs = new Map()
  #highest = new Map()
  #ended = []
  #endCount = 0
  #token = 0
  #leaseUntil = 0
  #born = 0
  #sequence = 0
  #waiting = new Set()
  #timers = []
  isUp = false

  constructor (deployment, { id, host, port, labels, capacity }) {
    Object.assign(this, { id, host, port, labels, capacity })
    this.#deployment = deployment
  }

  /** Starts the process, or starts it again under its id. */
  async start () {
    this.#runs.clear()
    this.#highest.clear()
    this.#ended = []
    this.#endCount = 0
    this.#token = 0
    this.#leaseUntil = 0
    this.#sequence = 0
    this.#born = Date.now()
    this.#server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
    await listen(this.#server, this.port, this.host)
    this.isUp = true
    this.#timers = [setInterval(() => this.#expire(), 50), setInterval(() => this.#beat(), HEARTBEAT_MILLISECONDS)]
    this.#beat()
  }

  /** Ends the process with all that runs on it, without a word. */
  crash () {
    this.isUp = false
    for (const timer of this.#timers) clearInterval(timer)
    for (const run of this.running) {
      clearTimeout(run.timer)
      this.#runs.delete(run.task)
      this.#leave(run, 'lost')
      this.#deployment.noteEnd(this, run, 'lost')
    }
    this.#server.closeAllConnections()
    this.#server.close()
  }

  get unacknowledged () {
    return this.#ended.length
  }

  get running () {
    return [...this.#runs.values()]
  }

  get #clock () {
    return Date.now() - this.#born + 1000
  }

  #beat () {
    this.#sequence += 1
    this.#deployment.store.put('servers', this.id, { backend: 'pool', address: `${this.host}:${this.port}`, zone: 'north', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq: this.#sequence, born: this.#born, capacity: this.capacity, labels: this.labels })
  }

  async #serve (request, response) {
    const text = await readBody(request)
    const { status, body = {} } = await this.#answer(request, text)
    response.writeHead(status, { 'Content-Type': 'application/json' })
    response.end(JSON.stringify({ clock_ms: this.#clock, born: this.#born, ...body }))
  }

  async #answer (request, text) {
    if (request.headers['x-expected-instance'] !== undefined && request.headers['x-expected-instance'] !== this.id) return { status: 421 }
    if (request.url === '/healthz') return { status: 200 }
    const call = JSON.parse(text)
    if ((call.fencing_token ?? 0) < this.#token) return { status: 409, body: { reason: 'fence' } }
    this.#token = call.fencing_token ?? 0
    if (request.url === '/-/run-start') return this.#startRun(call)
    if (request.url === '/-/run-stop') return this.#stopRun(call)
    if (request.url === '/-/hold') return await this.#hold(call)
    return { status: 404 }
  }

  #extend (until) {
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(until, this.#clock + BOUNDS.max_hold_ms))
  }

  #startRun ({ task, run, spec, until_ms: until }) {
    if (this.#runs.get(task)?.run === run) return { status: 200 }
    if (run <= (this.#highest.get(task) ?? 0) || this.#runs.has(task)) return { status: 409, body: { reason: 'old' } }
    if (until < this.#clock) return { status: 409, body: { reason: 'late' } }
    const need = this.#deployment.stepOf(task)
    const used = name => this.running.reduce((sum, other) => sum + (other.need[name] ?? 0), 0)
    if (['cpu', 'mem_mb', 'gpu'].some(name => used(name) + (need[name] ?? 0) > this.capacity[name])) return { status: 409, body: { reason: 'room' } }
    this.#extend(until)
    const work = Number(/work=(\d+)/.exec(spec)?.[1] ?? 100)
    const entry = { task, run, need, work, startedAt: Date.now(), timer: undefined }
    this.#runs.set(task, entry)
    this.#deployment.noteStart(this, entry)
    if (need.gang) this.#join(entry, work)
    else if (!need.long_running) entry.timer = setTimeout(() => this.#end(entry, spec.includes('fails') ? 'failed' : 'done'), work)
    return { status: 200 }
  }

  /** The members of a gang begin to work when all of them are there, and end together. */
  #join (entry, work) {
    const gang = this.#deployment.gangOf(entry)
    entry.gang = gang
    entry.endWith = how => this.#end(entry, how)
    gang.members.add(entry)
    if (gang.members.size < entry.need.count) entry.timer = setTimeout(() => this.#end(entry, 'alone'), BOUNDS.gang_wait_ms)
    else for (const member of gang.members) clearTimeout(member.timer)
    if (gang.members.size === entry.need.count) gang.timer = setTimeout(() => { for (const member of [...gang.members]) member.endWith('done') }, work)
  }

  #stopRun ({ task, run }) {
    this.#highest.set(task, Math.max(run, this.#highest.get(task) ?? 0))
    const entry = this.#runs.get(task)
    if (entry?.run === run) this.#end(entry, 'stopped')
    return { status: 200 }
  }

  async #hold ({ until_ms: until, last_seen: lastSeen = 0, wait_ms: wait = 0 }) {
    for (const [position, task, run, how] of this.#ended) if (position <= lastSeen) this.#deployment.noteTaken(this, task, run, how)
    this.#ended = this.#ended.filter(([position]) => position > lastSeen)
    if (until !== undefined) this.#extend(until)
    if (this.#ended.length === 0 && wait > 0) await this.#nextEnd(wait)
    const running = this.running.map(({ task, run, startedAt, work, need }) => [task, run, '', need.long_running ? 100 : Math.min(99, Math.floor(100 * (Date.now() - startedAt) / work)), 0])
    return { status: 200, body: { running, ended: this.#ended.slice(0, 500) } }
  }

  #nextEnd (milliseconds) {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer)
        this.#waiting.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, milliseconds)
      this.#waiting.add(finish)
    })
  }

  #end (entry, how) {
    clearTimeout(entry.timer)
    if (this.#runs.get(entry.task) !== entry) return
    this.#runs.delete(entry.task)
    this.#leave(entry, how)
    this.#highest.set(entry.task, Math.max(entry.run, this.#highest.get(entry.task) ?? 0))
    this.#endCount += 1
    this.#ended.push([this.#endCount, entry.task, entry.run, how, ''])
    this.#deployment.noteEnd(this, entry, how)
    for (const wake of [...this.#waiting]) wake()
  }

  /** The other members of a gang that works break when one ends otherwise than all of them. */
  #leave (entry, how) {
    const { gang, need } = entry
    if (gang === undefined) return
    const wasComplete = gang.members.size === need.count
    gang.members.delete(entry)
    if (how === 'done' || how === 'broken' || !wasComplete) return
    clearTimeout(gang.timer)
    for (const member of [...gang.members]) member.endWith('broken')
  }

  #expire () {
    if (this.#clock > this.#leaseUntil) for (const entry of this.running) this.#end(entry, 'lapsed')
  }
}

/** A process of the deploy file on an address of its own. The platform starts it again when it has ended. */
class Machine {
  #deployment
  #child
  #isClosing = false
  #sampling
  exits = []
  peakMegabytes = 0

  constructor (deployment, name, host) {
    this.#deployment = deployment
    this.name = name
    this.host = host
    this.settings = join(deployment.folder, `${name}.conf`)
  }

  start () {
    writeFileSync(this.settings, this.#deployment.settingsOf(this))
    const [program, ...words] = this.#deployment.command
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, words, { cwd: ROOT, env: { PATH, HOME, LANG, CORNELGAUGE_CONFIG: this.settings }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#child = child
    let errors = ''
    child.stdout.on('data', data => this.#deployment.onLog?.(this, String(data)))
    child.stderr.on('data', data => { errors = (errors + data).slice(-4000) })
    child.once('exit', (code, signal) => this.#ended(code, signal, errors))
    this.#sampling = setInterval(() => this.#sample(), 100)
  }

  signal (name) {
    this.#child.kill(name)
  }

  #sample () {
    try {
      const megabytes = Number(/VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${this.#child.pid}/status`, 'utf8'))?.[1] ?? 0) / 1024
      this.peakMegabytes = Math.max(this.peakMegabytes, megabytes)
      if (megabytes > MEMORY_MEGABYTES) this.#child.kill('SIGKILL')
    } catch { /* The process has just ended. */ }
  }

  #ended (code, signal, errors) {
    clearInterval(this.#sampling)
    if (this.#isClosing) return
    const cause = /FATAL ERROR: [^\n]*/.exec(errors)?.[0] ?? errors.trim().split('\n').at(-1)
    this.exits.push({ code, signal })
    this.#deployment.record.note(`machine ${this.name}: ended by itself, code ${code}, signal ${signal}, at ${Math.round(this.peakMegabytes)} MB at most; ${cause}`)
    setTimeout(() => { if (!this.#isClosing) this.start() }, RESTART_MILLISECONDS)
  }

  async close () {
    this.#isClosing = true
    if (this.#child.exitCode !== null || this.#child.signalCode !== null) return
    const ended = new Promise(resolve => this.#child.once('exit', resolve))
    this.#child.kill('SIGCONT')
    this.#child.kill('SIGKILL')
    await ended
  }
}

/** All parts of a deployment. */
export class Deployment {
  #network = `127.${100 + Math.floor(Math.random() * 100)}.${1 + Math.floor(Math.random() * 250)}`
  #jobs = new Map()
  #gangs = new Map()
  #version = 0
  folder = mkdtempSync(join(tmpdir(), 'review-'))
  record = new Record()
  store = new Store(this.record)
  machines = []
  workers = []
  /** What began and ended on workers. */
  runs = []
  onLog

  constructor () {
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
    this.command = /^run = "(.*)"$/m.exec(deploy)[1].split(' ')
  }

  async start ({ machines, workers }) {
    await this.store.open(`${this.#network}.1`)
    this.configure()
    for (const [index, options] of workers.entries()) {
      const worker = new Worker(this, { id: `i-${index}`, host: `${this.#network}.2`, port: PORTS.worker + index, labels: ['a', `r1-${Math.floor(index / 8)}`], capacity: { cpu: 128000, mem_mb: 262144, gpu: 8 }, ...options })
      this.workers.push(worker)
      await worker.start()
    }
    for (let index = 0; index < machines; index += 1) this.machines.push(new Machine(this, `front-${index}`, `${this.#network}.${10 + index}`))
    for (const machine of this.machines) machine.start()
    await this.until('all machines are ready', async () => (await Promise.all(this.machines.map(machine => this.isReady(machine)))).every(Boolean), 15000)
    this.record.note(`deployment: ${machines} machines, ${workers.length} workers, all ready`)
  }

  settingsOf ({ name, host }) {
    const seeds = this.machines.slice(0, 3).map(machine => `${machine.host}:${PORTS.control}`)
    return [
      `node_name=${name}`, 'role=entry', 'machine_class=front', `ip=${host}`, 'zone=north', 'region=land', 'zones.north=land',
      `listen.front=${host}:${PORTS.front}`, `listen.readiness=${host}:${PORTS.readiness}`, `listen.control=${host}:${PORTS.control}`, 'port_range=7000,7015',
      `seeds=${seeds.join(',')}`, 'bootstrap=true', 'limits.cpu_share=0.675', 'limits.cores=1', `limits.memory_mb=${MEMORY_MEGABYTES}`, 'limits.max_fds=4100',
      'heartbeat_ms=1500', 'commands=rpc', `platform.address=${this.store.address}`, 'platform.form=table', `platform.row_bytes=${ROW_BYTES}`,
      ...Object.entries(BOUNDS).map(([bound, value]) => `bounds.${bound}=${value}`)
    ].join('\n')
  }

  configure () {
    this.#version += 3
    const route = (name, priority, attempts) => ({ name, host: HOST, prefix: `/${name}/`, type: 'unsafe', timeout_ms: 0, target_latency_ms: 1000, priority, backend: 'pool', attempts, stretch: 2 })
    this.store.put('op', 'config', {
      version: this.#version,
      routes: [route('urgent', 0, 2), route('batch', 1, 4), route('check', 2, 4)],
      services: [{ name: 'pool', health_path: '/healthz', max_conns: 64, protocol: 'h1', tls: false, enforces_capacity: true }],
      limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
      tenants: [{ name: 'tenant', api_keys: [KEY], guaranteed: { gpu: 0 } }]
    })
  }

  async isReady ({ host }) {
    const answer = await this.#send({ host, port: PORTS.readiness, path: '/-/readyz', timeout: 1000 })
    return answer.status === 200
  }

  /** Hands a job in as a client does: again at another machine after no answer, a 502 or a 504, until it is accepted or the time is over. */
  async submit (route, id, body, { attempts = 8, deadline } = {}) {
    this.#jobs.set(id, body)
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      const answer = await this.call('POST', `/${route}/${id}`, { body, attempt, deadline })
      if (answer.status === 200) return answer
      await sleep(500)
    }
    return { status: 0 }
  }

  /** Makes one call of a client. */
  async call (method, path, { body, attempt = 0, deadline = 3000, wait = Math.min(deadline, 30000) } = {}) {
    const { host } = this.machines[attempt % this.machines.length]
    return await this.#send({ host, port: PORTS.front, method, path, timeout: wait, headers: { Host: HOST, Authorization: `Token ${KEY}`, 'X-Deadline-Ms': String(deadline) } }, body)
  }

  /** The state of a job as the first machine that answers says it. */
  async stateOf (route, id) {
    for (let attempt = 0; attempt < this.machines.length; attempt += 1) {
      const answer = await this.call('GET', `/${route}/${id}`, { attempt })
      if (answer.status === 200 || answer.status === 410) return answer.body.state ?? String(answer.status)
    }
    return 'no answer'
  }

  #send ({ timeout, ...options }, body) {
    return new Promise(resolve => {
      const request = httpRequest({ agent: false, ...options }, response => {
        readBody(response).then(text => resolve({ status: response.statusCode, body: text === '' ? {} : JSON.parse(text) }), () => resolve({ status: 0, body: {} }))
      })
      const timer = setTimeout(() => request.destroy(new Error('timeout')), timeout)
      request.on('close', () => clearTimeout(timer))
      request.on('error', () => resolve({ status: 0, body: {} }))
      request.end(body === undefined ? '' : JSON.stringify(body))
    })
  }

  async until (what, holds, milliseconds) {
    const endsAt = performance.now() + milliseconds
    while (!await holds()) {
      if (performance.now() > endsAt) throw new Error(`not within ${milliseconds} ms: ${what}`)
      await sleep(100)
    }
  }

  gangOf ({ task, run }) {
    const name = `${task.split('.').slice(0, 3).join('.')}#${run}`
    if (!this.#gangs.has(name)) this.#gangs.set(name, { members: new Set(), timer: undefined })
    return this.#gangs.get(name)
  }

  stepOf (task) {
    const [id, , step] = task.split('.')
    return this.#jobs.get(id)?.steps[Number(step)] ?? {}
  }

  noteStart (worker, { task, run }) {
    this.runs.push({ worker: worker.id, task, run, startedAt: this.record.now })
  }

  noteEnd (worker, { task, run }, how) {
    const found = this.runs.findLast(each => each.worker === worker.id && each.task === task && each.run === run)
    Object.assign(found, { endedAt: this.record.now, how })
  }

  noteTaken (worker, task, run) {
    const found = this.runs.findLast(each => each.worker === worker.id && each.task === task && each.run === run)
    if (found !== undefined) found.takenAt ??= this.record.now
  }

  async close () {
    await Promise.all(this.machines.map(machine => machine.close()))
    for (const worker of this.workers) if (worker.isUp) worker.crash()
    this.store.close()
    rmSync(this.folder, { recursive: true, force: true })
  }
}

/** Runs a case and writes its record: `play` returns true if the rule was broken. The exit code is 1 then, 0 if it held, and 2 if the case couldn't run. */
export async function runCase (recordFile, play) {
  const deployment = new Deployment()
  let code = 2
  const limit = setTimeout(() => finish(deployment, recordFile, 2).catch(() => process.exit(2)), 115000)
  try {
    code = await play(deployment, process.env.TROUBLE !== '0') ? 1 : 0
  } catch (thrown) {
    deployment.record.note(`the case could not run: ${thrown.message}`)
  }
  clearTimeout(limit)
  await finish(deployment, recordFile, code)
}

async function finish (deployment, recordFile, code) {
  await deployment.close()
  deployment.record.note(`exit ${code}`)
  deployment.record.write(recordFile)
  process.exit(code)
}
