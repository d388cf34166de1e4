/** A small deployment on loopback: the program that the deploy file starts, as separate processes, with stand-ins of the platform around it. */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { Agent, request as httpRequest } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Store } from './store.js'
import { Worker } from './worker.js'

/** Two tenants; the first has guaranteed GPUs. */
export const FIRST_KEY = 'key-of-the-first-tenant'
export const SECOND_KEY = 'key-of-the-second-tenant'
export const GUARANTEED_GPUS = 12
export const HOST = 'jobs.example'
const ZONES = ['tas-hobart', 'tas-launceston', 'tas-burnie']
const DEADLINE_MILLISECONDS = 3000
const BACKEND = 'renewals'
const POLL_MILLISECONDS = 50
const READY_MILLISECONDS = 15_000
/** After this the core has been stable for `contact_ms`, as traffic starts seconds after the machines. */
const SETTLE_MILLISECONDS = 3500
/** A case that takes longer couldn't run. */
const LONGEST_CASE_MILLISECONDS = 110_000

export const pause = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds))

/** A random id of a job. */
export const newId = () => Array.from({ length: 16 }, () => Math.floor(16 * Math.random()).toString(16)).join('')

/** A queue of the configuration. */
export const queue = (name, priority, attempts) => ({ name, host: HOST, prefix: `/${name}/`, type: 'unsafe', timeout_ms: 3000, target_latency_ms: 3000, priority, backend: BACKEND, attempts, stretch: 3, public: false })

/** Appends lines with the time since the start. */
export class Record {
  #stream
  #startedAt = performance.now()

  constructor (path) {
    this.#stream = createWriteStream(path)
  }

  line (text) {
    const line = `${((performance.now() - this.#startedAt) / 1000).toFixed(3)} ${text}`
    this.#stream.write(`${line}\n`)
    return line
  }

  close () {
    return new Promise(resolve => this.#stream.end(resolve))
  }
}

/** Entry VMs, a store and workers. */
export class Deployment {
  store = new Store()
  workers = []
  vms = []
  /** All runs that workers have begun. */
  runs = []
  #folder = mkdtempSync(join(tmpdir(), 'review-'))
  #version = 0
  #agent = new Agent({ keepAlive: true })

  constructor (record) {
    this.record = record
  }

  async start ({ vms = 3, workers, capacity, queues }) {
    await this.store.open('127.0.0.1')
    this.configure(queues)
    for (let index = 0; index < workers; index += 1) await this.addWorker(index, capacity)
    const hosts = await freeHosts(vms)
    const seeds = hosts.map(host => `${host}:8526`)
    for (const [index, host] of hosts.entries()) this.startVm({ name: `front-${ZONES[index % 3]}-${index + 1}`, host, zone: ZONES[index % 3], seeds })
    await this.until('every VM is ready and one owns the planner', async () => this.ownerName !== undefined && (await Promise.all(this.vms.map(vm => this.isReady(vm)))).every(Boolean), READY_MILLISECONDS)
    await pause(SETTLE_MILLISECONDS)
  }

  /** Writes the next version of the configuration. */
  configure (queues) {
    this.#version += 3
    this.store.put('op', 'config', {
      version: this.#version,
      routes: queues,
      services: [{ name: BACKEND, health_path: '/healthz', max_conns: 64, protocol: 'h1', tls: false, enforces_capacity: true }],
      limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
      tenants: [{ name: 'first', api_keys: [FIRST_KEY], guaranteed: { gpu: GUARANTEED_GPUS } }, { name: 'second', api_keys: [SECOND_KEY], guaranteed: { gpu: 0 } }]
    })
    this.record.line(`operator writes version ${this.#version} with the routes ${queues.map(({ name }) => name).join(', ')}`)
  }

  async addWorker (index, capacity) {
    const worker = new Worker({ id: `i-${newId().slice(0, 10)}`, zone: ZONES[index % 3], rack: `r1-${Math.floor(index / 8)}`, backend: BACKEND, capacity, store: this.store, records: this.runs })
    this.workers.push(worker)
    await worker.open('127.0.0.1')
  }

  startVm ({ name, host, zone, seeds }) {
    const folder = join(this.#folder, name)
    mkdirSync(folder, { recursive: true })
    const path = join(folder, 'boot.conf')
    writeFileSync(path, settings({ name, host, zone, seeds, store: this.store.address }))
    const [, run] = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))
    const [command, ...words] = run.split(' ')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(command, words, { env: { PATH, HOME, LANG, CORNELGAUGE_CONFIG: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    const vm = { name, host, zone, seeds, child, log: [] }
    const keep = data => { vm.log.push(String(data)) }
    child.stdout.on('data', keep)
    child.stderr.on('data', keep)
    child.on('exit', (code, signal) => { this.record.line(`${name} has ended: ${signal ?? code}`) })
    this.vms.push(vm)
  }

  get ownerName () {
    return this.store.decoded('owner')[0]?.value.vm
  }

  get owner () {
    return this.vms.find(({ name }) => name === this.ownerName)
  }

  async isReady ({ host }) {
    try {
      return (await this.request({ host, port: 8523, method: 'GET', path: '/-/readyz' })).status === 200
    } catch {
      return false
    }
  }

  /** Sends a client's request to a VM. */
  call (vm, method, path, body, { deadline = DEADLINE_MILLISECONDS, key = FIRST_KEY } = {}) {
    return this.request({ host: vm.host, port: 8521, method, path, body, deadline, headers: { Host: HOST, Authorization: `Token ${key}`, 'X-Deadline-Ms': String(deadline) } })
  }

  request ({ host, port, method, path, body, deadline = DEADLINE_MILLISECONDS, headers = {} }) {
    const text = body === undefined ? '' : JSON.stringify(body)
    return new Promise((resolve, reject) => {
      const request = httpRequest({ agent: this.#agent, host, port, method, path, headers: { ...headers, ...(body === undefined ? {} : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }) }, timeout: deadline }, response => {
        const chunks = []
        response.on('data', chunk => chunks.push(chunk))
        response.on('error', reject)
        response.on('end', () => {
          const answer = Buffer.concat(chunks).toString()
          resolve({ status: response.statusCode, body: answer === '' ? {} : JSON.parse(answer) })
        })
      })
      request.on('timeout', () => request.destroy(new Error('no answer before the deadline')))
      request.on('error', reject)
      request.end(text)
    })
  }

  /** Hands a job in, again after an answer that leaves it open, and returns whether it was accepted. */
  async submit (queueName, id, body, key = FIRST_KEY) {
    for (let attempt = 0; attempt < 5; attempt += 1) {
      const vm = this.vms[(attempt + Number.parseInt(id.slice(0, 2), 16)) % this.vms.length]
      const { status } = await this.call(vm, 'POST', `/${queueName}/${id}`, body, { key }).catch(thrown => ({ status: thrown.message }))
      this.record.line(`client hands in ${id} (${queueName}) at ${vm.name}: ${status}`)
      if (status === 200) return true
      await pause(300)
    }
    return false
  }

  /** State of a job as a VM tells it. */
  async stateOf (queueName, id, vm = this.vms[0]) {
    const { status, body } = await this.call(vm, 'GET', `/${queueName}/${id}`).catch(thrown => ({ status: thrown.message, body: {} }))
    return body.state ?? String(status)
  }

  async until (description, condition, milliseconds) {
    const endsAt = performance.now() + milliseconds
    while (!await condition()) {
      if (performance.now() > endsAt) throw new Error(`Not reached within ${milliseconds} ms: ${description}`)
      await pause(POLL_MILLISECONDS)
    }
  }

  /** Ends all processes and stand-ins. */
  async stop () {
    for (const { child } of this.vms) if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
    await Promise.all(this.vms.map(async ({ child }) => { while (child.exitCode === null && child.signalCode === null) await pause(POLL_MILLISECONDS) }))
    this.#agent.destroy()
    await Promise.all([...this.workers, this.store].map(standIn => standIn.close()))
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

/** Runs a case and ends the process with its outcome: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase (folder, options, play) {
  const record = new Record(join(folder, 'record.txt'))
  const isTrouble = process.env.TROUBLE !== '0'
  record.line(`trouble: ${isTrouble ? 'yes' : 'no'}`)
  const deployment = new Deployment(record)
  let code = 2
  try {
    const faults = await Promise.race([playOn(deployment, options, () => play(deployment, { record, isTrouble })), interruption()])
    for (const fault of faults) console.log(record.line(`broken: ${fault}`))
    code = faults.length === 0 ? 0 : 1
  } catch (thrown) {
    console.log(record.line(`the case couldn't run: ${thrown.stack}`))
  }
  writeRuns(deployment, record)
  if (process.env.LOGS !== undefined) writeFileSync(process.env.LOGS, deployment.vms.map(({ log }) => log.join('')).join('\n'))
  await deployment.stop()
  console.log(record.line(`exit code ${code}`))
  await record.close()
  process.exit(code)
}

async function playOn (deployment, options, play) {
  await deployment.start(options)
  return await play()
}

/** Rejects when the case takes too long or is told to end. */
function interruption () {
  return new Promise((resolve, reject) => {
    setTimeout(() => reject(new Error('It took too long')), LONGEST_CASE_MILLISECONDS)
    for (const event of ['SIGTERM', 'SIGINT', 'uncaughtException', 'unhandledRejection']) process.on(event, cause => reject(new Error(`It was ended by ${cause}`)))
  })
}

function writeRuns ({ runs, store }, record) {
  for (const { task, run, worker, token, startedAt, endedAt, how, notedAt } of runs) {
    const at = time => time === undefined ? '-' : (time / 1000).toFixed(3)
    record.line(`run ${task} #${run} on ${worker} under ${token}: began ${at(startedAt)}, ended ${at(endedAt)} ${how ?? ''}, taken note of ${at(notedAt)}`)
  }
  record.line(`answers of the store: ${JSON.stringify(store.answers)}`)
}

/** Addresses of the loopback range on which nothing uses the ports of a VM. */
async function freeHosts (count) {
  const hosts = []
  while (hosts.length < count) {
    const host = `127.${10 + Math.floor(200 * Math.random())}.${Math.floor(250 * Math.random())}.${1 + Math.floor(250 * Math.random())}`
    const free = await Promise.all([7001, 8521, 8523, 8526].map(port => canListen(host, port)))
    if (free.every(Boolean)) hosts.push(host)
  }
  return hosts
}

function canListen (host, port) {
  const server = createServer()
  return new Promise(resolve => {
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

function settings ({ name, host, zone, seeds, store }) {
  return [
    `node_name=${name}`, 'role=entry', 'machine_class=front', 'serves=front,control', `ip=${host}`, `zone=${zone}`, 'region=tas', ...ZONES.map(each => `zones.${each}=tas`),
    `listen.front=${host}:8521`, `listen.readiness=${host}:8523`, `listen.control=${host}:8526`, 'port_range=7000,7015', `seeds=${seeds.join(',')}`, 'bootstrap=true', 'fault_counted=false',
    'limits.cpu_share=0.675', 'limits.cores=1', 'limits.memory_mb=350', 'limits.max_fds=4100', 'limits.link_mbps=1000.0', 'limits.disk_mb=0', 'discovery=platform', 'entrypoint=vip', 'heartbeat_ms=1500',
    'contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing', 'bounds.contact_ms=3000', 'bounds.ack_ms=4000', 'bounds.drain_ms=2000', 'bounds.grace_s=6', 'bounds.loss_slack_ms=200',
    'bounds.config_apply_ms=2000', 'bounds.revoke_strict=true', 'bounds.revoke_ms=5000', 'bounds.max_hold_ms=10000', 'bounds.stop_grace_ms=200', 'bounds.gang_wait_ms=3000', 'bounds.cancel_ms=3000', 'bounds.visible_ms=3000',
    'bounds.early_ms=250', 'bounds.finish_s=14', 'bounds.status_s=120', 'commands=rpc', 'advice=', `platform.address=${store}`, 'platform.form=table', 'platform.writes_per_s=800', 'platform.reads_per_s=2000',
    'platform.tx_ms=5.0', 'platform.part_writes_s=200', 'platform.row_bytes=65536', 'platform.cross_shard=false', 'platform.history_s=20', ''
  ].join('\n')
}
