/** A stand-in of a worker: runs tasks under leases and fencing tokens, guards its capacity, and lists 500 ends at a time. */
import { createServer } from 'node:http'

const HEARTBEAT_MILLISECONDS = 1500
const MOST_LISTED_ENDS = 500
const MOST_HOLD_MILLISECONDS = 10_000
const MOST_WAIT_MILLISECONDS = 2000
const LEASE_CHECK_MILLISECONDS = 20

/** One life of a worker. A job's specification is JSON: how long its tasks work (`ms`), whether they then fail (`fails`), and what they need. */
export class Worker {
  #server
  #store
  #records
  #runs = new Map()
  #highestRuns = new Map()
  #ended = []
  #endCount = 0
  #token = 0
  #leaseUntil = 0
  #waiting = new Set()
  #timers = []
  #born = Date.now()
  #startedAt = performance.now()
  #sequence = 0
  state = 'ready'
  /** When leases have lapsed. */
  lapses = []
  /** Largest number of ends that weren't taken note of. */
  mostEnds = 0

  constructor ({ id, zone, rack, backend, capacity, store, records }) {
    Object.assign(this, { id, zone, rack, backend, capacity })
    this.#store = store
    this.#records = records
  }

  async open (host) {
    this.#server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
    this.#server.keepAliveTimeout = 60_000
    await new Promise(resolve => this.#server.listen(0, host, resolve))
    this.address = `${host}:${this.#server.address().port}`
    this.register()
    this.#timers = [setInterval(() => this.register(), HEARTBEAT_MILLISECONDS), setInterval(() => this.#expire(), LEASE_CHECK_MILLISECONDS)]
  }

  async close () {
    for (const timer of this.#timers) clearInterval(timer)
    for (const { timer } of this.#runs.values()) clearTimeout(timer)
    if (this.#server === undefined) return
    this.#server.closeAllConnections()
    await new Promise(resolve => this.#server.close(resolve))
  }

  /** Ends that aren't taken note of. */
  get waitingEnds () {
    return this.#ended.length
  }

  /** Writes its entry in the registry, unless the store is down. */
  register () {
    if (this.#store.fault !== 'none') return
    this.#sequence += 1
    this.#store.put('servers', this.id, {
      backend: this.backend, address: this.address, zone: this.zone, version: 'v1', slots: 8, state: this.state, cold_left_ms: 0, seq: this.#sequence, born: this.#born, clock_ms: this.#clock, capacity: this.capacity, labels: ['a', this.rack]
    })
  }

  get #clock () {
    return Math.floor(1000 + performance.now() - this.#startedAt)
  }

  async #serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const answer = request.headers['x-expected-instance'] === this.id ? await this.#answer(request.url, JSON.parse(Buffer.concat(chunks))) : { status: 421 }
    response.writeHead(answer.status, { 'Content-Type': 'application/json' }).end(JSON.stringify({ clock_ms: this.#clock, born: this.#born, ...answer.body }))
  }

  async #answer (path, call) {
    if ((call.fencing_token ?? 0) < this.#token) return { status: 409, body: { reason: 'fence' } }
    this.#token = call.fencing_token ?? 0
    if (path === '/-/run-start') return this.#start(call)
    if (path === '/-/run-stop') return this.#stop(call)
    if (path === '/-/hold') return await this.#hold(call)
    return { status: 404 }
  }

  #extend (until) {
    if (until !== undefined) this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(until, this.#clock + MOST_HOLD_MILLISECONDS))
  }

  #start ({ task, run, spec, until_ms: until, fencing_token: token }) {
    if (this.#runs.get(task)?.record.run === run) return { status: 200 }
    if (until < this.#clock) return { status: 409, body: { reason: 'late' } }
    this.#extend(until)
    if (run <= (this.#highestRuns.get(task) ?? 0)) return { status: 409, body: { reason: 'old' } }
    const work = JSON.parse(spec)
    if (!this.#fits(work)) return { status: 409, body: { reason: 'room' } }
    const record = { task, run, worker: this.id, token, startedAt: performance.now() }
    this.#records.push(record)
    const timer = setTimeout(() => this.#end(task, work.fails === true ? 'failed' : 'done'), work.ms)
    this.#runs.set(task, { record, timer, work })
    return { status: 200 }
  }

  #fits (work) {
    const used = { cpu: 0, mem_mb: 0, gpu: 0 }
    for (const { work } of this.#runs.values()) for (const name of Object.keys(used)) used[name] += work[name]
    return Object.keys(used).every(name => used[name] + work[name] <= this.capacity[name])
  }

  #stop ({ task, run }) {
    this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0))
    if ((this.#runs.get(task)?.record.run ?? Infinity) <= run) this.#end(task, 'stopped')
    return { status: 200 }
  }

  async #hold ({ last_seen: lastSeen = 0, until_ms: until, wait_ms: wait = 0 }) {
    for (const { position, record } of this.#ended) if (position <= lastSeen) record.notedAt = performance.now()
    this.#ended = this.#ended.filter(({ position }) => position > lastSeen)
    this.#extend(until)
    if (this.#ended.length === 0 && wait > 0) await this.#nextEnd(Math.min(wait, MOST_WAIT_MILLISECONDS))
    const running = [...this.#runs.values()].map(({ record, work }) => [record.task, record.run, '', Math.min(99, Math.floor(100 * (performance.now() - record.startedAt) / work.ms))])
    const ended = this.#ended.slice(0, MOST_LISTED_ENDS).map(({ position, record }) => [position, record.task, record.run, record.how, ''])
    return { status: 200, body: { running, ended } }
  }

  #nextEnd (milliseconds) {
    return new Promise(resolve => {
      const waiting = this.#waiting
      const timer = setTimeout(wake, milliseconds)
      function wake () {
        clearTimeout(timer)
        waiting.delete(wake)
        resolve()
      }
      waiting.add(wake)
    })
  }

  #end (task, how) {
    const { record, timer } = this.#runs.get(task)
    clearTimeout(timer)
    this.#runs.delete(task)
    record.how = how
    record.endedAt = performance.now()
    this.#highestRuns.set(task, Math.max(record.run, this.#highestRuns.get(task) ?? 0))
    this.#endCount += 1
    this.#ended.push({ position: this.#endCount, record })
    this.mostEnds = Math.max(this.mostEnds, this.#ended.length)
    for (const wake of [...this.#waiting]) wake()
  }

  #expire () {
    if (this.#clock <= this.#leaseUntil || this.#runs.size === 0) return
    this.lapses.push(performance.now())
    for (const task of [...this.#runs.keys()]) this.#end(task, 'lapsed')
  }
}
