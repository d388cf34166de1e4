// Stand-in of the platform's metadata store: tables of rows over HTTP, after the page on what is spoken.
import { createServer } from 'node:http'

const MAXIMUM_ENTRIES = 100
const MAXIMUM_CALL_BYTES = 1_000_000
const MAXIMUM_PAGE_ROWS = 500
/** Share of the calls that may wait for a part: one second of them. */
const MAXIMUM_PART_WAIT_MILLISECONDS = 1000
/** Reports of a worker that may be missing until its entry is removed. */
const MISSED_HEARTBEATS = 3

const pause = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds))

export async function readBody (request) {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

/** The store. `limits` has the figures of the settings: row_bytes, part_writes_s, history_s, heartbeat_ms. */
export class Store {
  #limits
  #server
  #tables = new Map()
  #history = []
  #droppedVersion = 0
  #version = 0
  #waiters = new Set()
  #partFreeAt = 0
  #heartbeats = new Map()
  #timer
  /** Writes that were refused because of their size, for the record. */
  refusedWrites = []

  constructor (limits) {
    this.#limits = limits
    this.#server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
    this.#server.keepAliveTimeout = 120_000
  }

  async open (host) {
    await new Promise(resolve => this.#server.listen(0, host, resolve))
    this.#timer = setInterval(() => this.#expire(), 250)
    return `${host}:${this.#server.address().port}`
  }

  close () {
    clearInterval(this.#timer)
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** The operator writes a row. */
  put (table, key, value) {
    this.#apply([{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], [])
  }

  /** Value of a row; undefined if there is none. */
  get (table, key) {
    const row = this.#tables.get(table)?.get(key)
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString())
  }

  /** A worker's report about itself. */
  report (id, entry) {
    const known = this.#heartbeats.get(id)
    this.#heartbeats.set(id, { at: performance.now() })
    if (known === undefined || entry !== undefined) this.put('servers', id, entry)
  }

  leave (id) {
    if (this.#heartbeats.delete(id)) this.#apply([], [{ table: 'servers', key: id }])
  }

  #expire () {
    for (const [id, { at }] of this.#heartbeats) if (performance.now() - at > MISSED_HEARTBEATS * this.#limits.heartbeat_ms) this.leave(id)
    const oldest = performance.now() - 1000 * this.#limits.history_s
    while (this.#history.length > 0 && this.#history[0].at < oldest) this.#droppedVersion = this.#history.shift().row.ver
  }

  #apply (writes, removals) {
    this.#version += 1
    const at = performance.now()
    for (const { table, key, value } of writes) {
      const row = { table, part: '', key, value, ver: this.#version }
      if (!this.#tables.has(table)) this.#tables.set(table, new Map())
      this.#tables.get(table).set(key, row)
      this.#history.push({ at, row })
    }
    for (const { table, key } of removals) {
      if (this.#tables.get(table)?.delete(key)) this.#history.push({ at, row: { table, part: '', key, ver: this.#version, deleted: true } })
    }
    for (const wake of [...this.#waiters]) wake()
  }

  async #serve (request, response) {
    const url = new URL(request.url, 'http://store')
    const text = request.method === 'GET' ? '' : await readBody(request)
    const { status, body } = await this.#answer(url, text)
    response.writeHead(status, { 'Content-Type': 'application/json' })
    response.end(JSON.stringify(body ?? {}))
  }

  #answer (url, text) {
    const handlers = {
      '/-/rows-tx': () => this.#transact(text),
      '/-/rows-get': () => this.#read(url.searchParams),
      '/-/rows-feed': () => this.#feed(url.searchParams),
      '/-/rows-parts': () => ({ status: 200, body: { parts: [''] } }),
      // Between the workers and the platform; the system doesn't use it.
      '/report': () => {
        const { id, entry, isLeaving } = JSON.parse(text)
        if (isLeaving) this.leave(id)
        else this.report(id, entry)
        return { status: 200 }
      }
    }
    return handlers[url.pathname]?.() ?? { status: 404 }
  }

  async #transact (text) {
    const { expected = [], writes = [], remove = [] } = JSON.parse(text)
    const wait = Math.max(this.#partFreeAt, performance.now()) + 1000 / this.#limits.part_writes_s - performance.now()
    if (wait > MAXIMUM_PART_WAIT_MILLISECONDS) return { status: 429 }
    this.#partFreeAt = performance.now() + wait
    await pause(wait)
    if (expected.length + writes.length + remove.length > MAXIMUM_ENTRIES || text.length > MAXIMUM_CALL_BYTES) return { status: 400 }
    if ([...writes, ...remove].some(({ table }) => table === 'op' || table === 'servers')) return { status: 403 }
    const large = writes.find(({ value }) => Buffer.byteLength(value, 'base64') > this.#limits.row_bytes)
    if (large !== undefined) {
      this.refusedWrites.push({ table: large.table, key: large.key, bytes: Buffer.byteLength(large.value, 'base64'), entries: writes.length })
      return { status: 400 }
    }
    const current = ({ table, key }) => this.#tables.get(table)?.get(key)
    if (expected.some(entry => (current(entry)?.ver ?? 0) !== entry.ver)) {
      return { status: 412, body: { rows: expected.map(current).filter(row => row !== undefined), ver: this.#version, now_ms: Math.floor(performance.now()) } }
    }
    this.#apply(writes, remove)
    return { status: 200, body: { ver: this.#version, now_ms: Math.floor(performance.now()) } }
  }

  async #read (query) {
    await pause(4)
    const from = query.get('from') ?? ''
    const target = query.get('target')
    const limit = Math.min(MAXIMUM_PAGE_ROWS, Number(query.get('limit') ?? MAXIMUM_PAGE_ROWS))
    const keys = [...this.#tables.get(query.get('table'))?.keys() ?? []].filter(key => key >= from && (target === null || key < target)).sort()
    const rows = []
    let bytes = 0
    for (const key of keys.slice(0, limit)) {
      const row = this.#tables.get(query.get('table')).get(key)
      bytes += row.value.length + row.key.length
      if (rows.length > 0 && bytes > MAXIMUM_CALL_BYTES) break
      rows.push(row)
    }
    return { status: 200, body: { rows, has_more: rows.length < keys.length, ver: this.#version, now_ms: Math.floor(performance.now()) } }
  }

  async #feed (query) {
    await pause(4)
    const table = query.get('table')
    const after = Number(query.get('after'))
    const until = performance.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0))
    for (;;) {
      if (after < this.#droppedVersion) return { status: 410 }
      const last = new Map()
      for (const { row } of this.#history) if (row.table === table && row.ver > after) last.set(row.key, row)
      if (last.size > 0 || performance.now() >= until) {
        const rows = [...last.values()].sort((left, right) => left.ver - right.ver)
        return { status: 200, body: { rows, ver: this.#version, now_ms: Math.floor(performance.now()) } }
      }
      await new Promise(resolve => {
        const waiters = this.#waiters
        const timer = setTimeout(wake, until - performance.now())
        function wake () {
          clearTimeout(timer)
          waiters.delete(wake)
          resolve()
        }
        waiters.add(wake)
      })
    }
  }
}
