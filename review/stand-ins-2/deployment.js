// A small deployment on loopback: the stand-ins of the platform, and the project's programs with the command of the deploy file.
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, request as httpRequest } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { Store } from './store.js'

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const WORKER = fileURLToPath(new URL('worker.js', import.meta.url))
const METRICS_PORT = 7001
/** Where the ports of the deployment begin: below those that are given to outgoing connections. */
const FIRST_PORT = 15_000
const READINESS_MILLISECONDS = 1000
export const HOST = 'nony24.example'
const RETRIES = 4
/** Delay with which the platform starts a process again that has ended. */
const RESTART_MILLISECONDS = 500

export const pause = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds))

/** Bounds and rates as the settings of a small deployment have them. */
export const LIMITS = {
  heartbeat_ms: 1500, row_bytes: 65_536, part_writes_s: 200, history_s: 20, max_hold_ms: 10_000, drain_ms: 2000, finish_s: 14, ack_ms: 4000, contact_ms: 3000
}

const BOUNDS = [
  'seed_lag_s=3', 'addr_reuse_s=2', 'contact_ms=3000', 'ack_ms=4000', 'catch_up_s=4', 'drain_ms=2000', 'grace_s=6', 'loss_slack_ms=200', 'config_apply_ms=2000', 'rollback_slack_ms=250',
  'max_stretch_ms=5000', 'revoke_strict=true', 'revoke_ms=5000', 'recover_s=12', 'max_hold_ms=10000', 'stop_grace_ms=200', 'gang_wait_ms=3000', 'cancel_ms=3000', 'visible_ms=3000', 'early_ms=250',
  'finish_s=14', 'status_s=120', 'spread_factor=3', 'checkpoint_s=1', 'restore_ms=600', 'notice_ms=4500', 'lease_ms=3000', 'thaw_ms=300', 'reclaim_ms=2700'
]

function canListen (host, port) {
  const server = createServer()
  return new Promise(resolve => {
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** The program and arguments of the role in the deploy file. */
function deployCommand () {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8')
  return /^run = "(.*)"$/m.exec(text)[1].split(' ')
}

export class Deployment {
  #options
  #folder = mkdtempSync(join(tmpdir(), 'review-'))
  #processes = new Set()
  #agent = new Agent({ keepAlive: true })
  #readinessTimer
  #port = FIRST_PORT + process.pid % 1000 * 10
  /** What was sent, answered and run, in order. */
  record = []
  #isStopping = false
  /** How often the processes of each machine have ended by themselves; the platform starts them again. */
  ownEnds = new Map()
  fronts = []
  workers = []
  store = new Store(LIMITS)

  /** `zones`, `frontsPerZone`, `workersPerZone`, `capacity` of a worker, `configuration` and `onWorkerEvent`. */
  constructor (options) {
    this.#options = options
    process.on('exit', () => { for (const child of this.#processes) child.kill('SIGKILL') })
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => process.exit(2))
  }

  note (event) {
    this.record.push({ at: Date.now(), ...event })
  }

  async start () {
    const { zones, frontsPerZone, workersPerZone, configuration } = this.#options
    this.storeAddress = await this.store.open('127.0.0.1')
    this.store.put('op', 'config', configuration)
    const net = 40 + process.pid % 100
    for (let number = 0; number < zones.length * frontsPerZone; number += 1) {
      const zone = zones[number % zones.length]
      const host = `127.${net}.${1 + number % zones.length}.${10 + Math.floor(number / zones.length)}`
      if (!await canListen(host, METRICS_PORT)) throw new Error(`the port of the metrics is taken at ${host}`)
      const [front, readiness, control] = [await this.#freePort(host), await this.#freePort(host), await this.#freePort(host)]
      this.fronts.push({ name: `front-${zone}-${1 + Math.floor(number / zones.length)}`, zone, host, front: `${host}:${front}`, readiness: `${host}:${readiness}`, control: `${host}:${control}`, storeAddress: this.storeAddress, isReady: false })
    }
    for (const front of this.fronts) this.startFront(front)
    for (let number = 0; number < zones.length * workersPerZone; number += 1) {
      const zone = zones[number % zones.length]
      const host = `127.${net}.${101 + number % zones.length}.${10 + Math.floor(number / zones.length)}`
      const rack = `r${1 + number % zones.length}-${Math.floor(number / zones.length / 8)}`
      const worker = { id: `i-${(0x7f3a0000 + net * 1000 + number).toString(16)}`, zone, host, rack, port: await this.#freePort(host) }
      this.workers.push(worker)
      this.startWorker(worker)
    }
    this.#readinessTimer = setInterval(() => { for (const front of this.fronts) this.#checkReadiness(front) }, READINESS_MILLISECONDS)
    await this.until(() => this.fronts.every(front => front.isReady), 30_000, 'readiness')
  }

  startFront (front, changes = {}) {
    const { zones } = this.#options
    const seeds = this.fronts.slice(0, 3).map(({ control }) => control)
    const path = join(this.#folder, `${front.name}.conf`)
    writeFileSync(path, [
      `node_name=${front.name}`, 'role=entry', 'machine_class=front', 'serves=front,control', `ip=${front.host}`, `zone=${front.zone}`, 'region=region-1',
      ...zones.map(zone => `zones.${zone}=region-1`), `listen.front=${front.front}`, `listen.readiness=${front.readiness}`, `listen.control=${front.control}`, 'port_range=7000,7015',
      `seeds=${seeds.join(',')}`, 'bootstrap=true', 'limits.cpu_share=0.675', 'limits.cores=1', 'limits.memory_mb=350', 'limits.max_fds=4100', 'heartbeat_ms=1500',
      ...BOUNDS.map(line => `bounds.${line}`), 'commands=rpc', `platform.address=${front.storeAddress}`, 'platform.form=table', 'platform.writes_per_s=800', 'platform.reads_per_s=2000',
      'platform.part_writes_s=200', 'platform.row_bytes=65536', 'platform.cross_shard=false', 'platform.history_s=20', ''
    ].join('\n'))
    const [program, ...parameters] = deployCommand()
    front.log ??= []
    front.isKilled = false
    front.process = this.#spawn(program, parameters, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', CORNELGAUGE_CONFIG: path, ...changes } })
    for (const stream of [front.process.stdout, front.process.stderr]) createInterface({ input: stream }).on('line', line => front.log.push(line))
    const { process: child } = front
    child.on('exit', (code, signal) => {
      front.isReady = false
      if (this.#isStopping) return
      this.note({ type: 'front-ended', front: front.name, code, signal, byItself: !front.isKilled })
      if (front.isKilled) return
      this.ownEnds.set(front.name, (this.ownEnds.get(front.name) ?? 0) + 1)
      setTimeout(() => { if (!this.#isStopping && front.process === child) this.startFront(front) }, RESTART_MILLISECONDS)
    })
    this.note({ type: 'front-started', front: front.name })
  }

  startWorker (worker) {
    const { capacity, pool } = this.#options
    const parameters = {
      id: worker.id,
      host: worker.host,
      port: worker.port,
      store: this.storeAddress,
      heartbeatMilliseconds: LIMITS.heartbeat_ms,
      maximumHoldMilliseconds: LIMITS.max_hold_ms,
      drainMilliseconds: LIMITS.drain_ms,
      entry: { backend: pool, zone: worker.zone, version: 'v1', slots: 8, capacity, labels: ['a', worker.rack] }
    }
    worker.process = this.#spawn(process.execPath, [WORKER, JSON.stringify(parameters)], { stdio: ['ignore', 'pipe', 'inherit', 'ipc'] })
    worker.process.on('exit', (code, signal) => { if (!this.#isStopping) this.note({ type: 'worker-ended', worker: worker.id, code, signal }) })
    createInterface({ input: worker.process.stdout }).on('line', line => {
      const event = JSON.parse(line)
      this.record.push(event)
      this.#options.onWorkerEvent?.(event)
    })
    this.note({ type: 'worker-started', worker: worker.id, zone: worker.zone })
  }

  /** Sends a signal to a process of the deployment. */
  signal (target, signal) {
    this.note({ type: 'signal', signal, to: target.name ?? target.id })
    if (signal === 'SIGKILL' || signal === 'SIGTERM') target.isKilled = true
    target.process.kill(signal)
  }

  /** One call of a client; undefined if there was no answer. */
  call (front, method, path, { body, key, deadline = 3000, headers = {} } = {}) {
    const [host, port] = front.front.split(':')
    return new Promise(resolve => {
      const request = httpRequest({ agent: this.#agent, host, port, method, path, timeout: deadline, headers: { Host: HOST, 'X-Deadline-Ms': String(deadline), ...(key === undefined ? {} : { Authorization: `Token ${key}` }), ...headers } }, response => {
        const chunks = []
        response.on('data', chunk => chunks.push(chunk))
        response.on('error', () => resolve(undefined))
        response.on('end', () => {
          try {
            resolve({ status: response.statusCode, body: JSON.parse(Buffer.concat(chunks).toString() || '{}') })
          } catch {
            resolve({ status: response.statusCode, body: {} })
          }
        })
      })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(undefined))
      request.end(body === undefined ? undefined : JSON.stringify(body))
    })
  }

  /** Hands a job in, with the retries of a client; returns true once it is accepted. */
  async submit (path, job, key) {
    for (let attempt = 0; attempt <= RETRIES; attempt += 1) {
      const front = this.pickFront()
      this.note({ type: 'submit', path, front: front.name, attempt })
      const answer = await this.call(front, 'POST', path, { body: job, key })
      this.note({ type: 'submit-answered', path, status: answer?.status })
      if (answer?.status === 200) return true
      await pause(1000)
    }
    return false
  }

  pickFront () {
    const ready = this.fronts.filter(front => front.isReady)
    const among = ready.length === 0 ? this.fronts : ready
    return among[Math.floor(Math.random() * among.length)]
  }

  /** State of a job as a client is told it. */
  async state (path, key) {
    const front = this.pickFront()
    const answer = await this.call(front, 'GET', path, { key })
    this.note({ type: 'state', path, front: front.name, status: answer?.status, state: answer?.body?.state })
    return answer
  }

  async until (condition, milliseconds, what) {
    const limit = Date.now() + milliseconds
    while (!await condition()) {
      if (Date.now() > limit) throw new Error(`no ${what} in time`)
      await pause(50)
    }
  }

  get ownerEpoch () {
    return this.store.get('owner', 'planner')?.epoch
  }

  get owner () {
    const name = this.store.get('owner', 'planner')?.vm
    return this.fronts.find(front => front.name === name)
  }

  /** Ends all processes of the deployment. */
  async stop () {
    this.#isStopping = true
    clearInterval(this.#readinessTimer)
    const ending = [...this.#processes].map(child => new Promise(resolve => {
      child.once('exit', resolve)
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }))
    await Promise.all(ending)
    this.#agent.destroy()
    this.store.close()
    rmSync(this.#folder, { recursive: true, force: true })
  }

  #spawn (program, parameters, options) {
    const child = spawn(program, parameters, { stdio: ['ignore', 'pipe', 'pipe'], ...options })
    this.#processes.add(child)
    child.on('exit', () => this.#processes.delete(child))
    return child
  }

  async #freePort (host) {
    for (;;) {
      this.#port += 1
      if (await canListen(host, this.#port)) return this.#port
    }
  }

  async #checkReadiness (front) {
    const [host, port] = front.readiness.split(':')
    const isReady = await new Promise(resolve => {
      const request = httpRequest({ host, port, path: '/-/readyz', timeout: READINESS_MILLISECONDS }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('timeout', () => request.destroy())
      request.on('error', () => resolve(false))
      request.end()
    })
    front.misses = isReady ? 0 : (front.misses ?? 0) + 1
    if (isReady) front.isReady = true
    else if (front.misses >= 2) front.isReady = false
  }
}
