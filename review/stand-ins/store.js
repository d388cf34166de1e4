/** A stand-in of the platform's store: rows, transactions and feeds over HTTP, with its limits. */
import { createServer } from 'node:http'

const ROW_BYTES = 65_536
const MOST_ENTRIES = 100
const MOST_CALL_BYTES = 1_000_000
const MOST_ROWS = 500
const OPERATOR_TABLES = new Set(['op', 'servers'])
/** Usual time of an answer, in milliseconds. */
const ANSWER_MILLISECONDS = 4
const MISSING = { ver: 0 }

const pause = milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds))
const rowBytes = value => Buffer.from(value ?? '', 'base64').length

/** The store. `fault` is `none`, `busy` (503) or `silent` (no answers). */
export class Store {
  #rows = new Map()
  #version = 0
  #waiting = new Set()
  #server
  fault = 'none'
  /** A transaction for which this returns a number gets no answer, and is carried out after as many milliseconds. */
  lateness = () => undefined
  /** Counts of answers by path and status. */
  answers = {}
  /** Largest row of each table that a transaction has held, in bytes. */
  largestRows = {}

  async open (host) {
    this.#server = createServer((request, response) => { this.#serve(request, response).catch(() => response.destroy()) })
    this.#server.keepAliveTimeout = 60_000
    await new Promise(resolve => this.#server.listen(0, host, resolve))
    this.address = `${host}:${this.#server.address().port}`
  }

  async close () {
    if (this.#server === undefined) return
    this.#server.closeAllConnections()
    await new Promise(resolve => this.#server.close(resolve))
  }

  /** Rows of a table with their decoded values, for checks. */
  decoded (table) {
    return [...this.#table(table).values()].filter(row => row.value !== undefined).map(row => ({ key: row.key, value: JSON.parse(Buffer.from(row.value, 'base64')) }))
  }

  /** Writes or drops a row as the operator or a worker. */
  put (table, key, value) {
    this.#version += 1
    const row = { table, part: '', key, ver: this.#version, ...(value === undefined ? { deleted: true } : { value: Buffer.from(JSON.stringify(value)).toString('base64') }) }
    this.#table(table).set(key, row)
    this.#wake()
  }

  #table (name) {
    if (!this.#rows.has(name)) this.#rows.set(name, new Map())
    return this.#rows.get(name)
  }

  #wake () {
    for (const resolve of [...this.#waiting]) resolve()
  }

  async #serve (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    if (this.fault === 'silent') return
    const url = new URL(request.url, 'http://store')
    const text = Buffer.concat(chunks).toString()
    const lateness = url.pathname === '/-/rows-tx' ? this.lateness(JSON.parse(text)) : undefined
    if (lateness !== undefined) return this.#answerLate(text, lateness)
    await pause(ANSWER_MILLISECONDS)
    const { status, body } = this.fault === 'busy' ? { status: 503, body: {} } : await this.#answer(url, text)
    if (this.fault === 'silent') return
    const name = `${url.pathname} ${status}`
    this.answers[name] = (this.answers[name] ?? 0) + 1
    response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
  }

  /** Carries a transaction out later if its condition still holds, without an answer. */
  async #answerLate (text, milliseconds) {
    await pause(milliseconds)
    this.onLate?.(this.#transact(text).status)
  }

  async #answer (url, text) {
    const query = url.searchParams
    if (url.pathname === '/-/rows-tx') return this.#transact(text)
    if (url.pathname === '/-/rows-get') return this.#page(query)
    if (url.pathname === '/-/rows-feed') return await this.#feed(query)
    return { status: 404, body: {} }
  }

  #transact (text) {
    const { expected = [], writes = [], remove = [] } = JSON.parse(text)
    for (const { table, value } of writes) this.largestRows[table] = Math.max(this.largestRows[table] ?? 0, rowBytes(value))
    if (expected.length + writes.length + remove.length > MOST_ENTRIES || text.length > MOST_CALL_BYTES) return { status: 400, body: { error: 'too large' } }
    if (writes.some(({ value }) => rowBytes(value) > ROW_BYTES)) return { status: 400, body: { error: 'row too large' } }
    if ([...writes, ...remove].some(({ table }) => OPERATOR_TABLES.has(table))) return { status: 403, body: {} }
    const current = ({ table, key }) => this.#table(table).get(key) ?? MISSING
    const isMet = entry => (current(entry).value === undefined ? 0 : current(entry).ver) === (entry.ver ?? 0)
    if (!expected.every(isMet)) return { status: 412, body: { ver: this.#version, now_ms: performance.now(), rows: expected.map(current).filter(row => row.value !== undefined) } }
    this.#version += 1
    for (const { table, key, value } of writes) this.#table(table).set(key, { table, part: '', key, value, ver: this.#version })
    for (const { table, key } of remove) this.#table(table).set(key, { table, part: '', key, ver: this.#version, deleted: true })
    this.#wake()
    return { status: 200, body: { ver: this.#version, now_ms: performance.now() } }
  }

  #page (query) {
    const from = query.get('from') ?? ''
    const target = query.get('target')
    const limit = Math.min(MOST_ROWS, Number(query.get('limit') ?? MOST_ROWS))
    const isWanted = row => row.value !== undefined && row.key >= from && (target === null || row.key < target)
    const rows = [...this.#table(query.get('table')).values()].filter(isWanted).sort((left, right) => left.key < right.key ? -1 : 1)
    const page = firstRows(rows, limit)
    return { status: 200, body: { rows: page, has_more: page.length < rows.length, ver: this.#version, now_ms: performance.now() } }
  }

  async #feed (query) {
    const after = Number(query.get('after'))
    const endsAt = performance.now() + Number(query.get('wait_ms') ?? 0)
    const changed = () => [...this.#table(query.get('table')).values()].filter(row => row.ver > after).sort((left, right) => left.ver - right.ver)
    while (changed().length === 0 && performance.now() < endsAt) await this.#change(endsAt - performance.now())
    const rows = changed()
    const page = firstRows(rows, MOST_ROWS)
    return { status: 200, body: { rows: page, ver: page.length < rows.length ? page.at(-1).ver : this.#version, now_ms: performance.now() } }
  }

  #change (milliseconds) {
    return new Promise(resolve => {
      const timer = setTimeout(wake, milliseconds)
      const waiting = this.#waiting
      function wake () {
        clearTimeout(timer)
        waiting.delete(wake)
        resolve()
      }
      waiting.add(wake)
    })
  }
}

/** The first rows, up to a number and to the length of one call. */
function firstRows (rows, limit) {
  const page = []
  let bytes = 0
  for (const row of rows) {
    bytes += JSON.stringify(row).length
    if (page.length === limit || (bytes > MOST_CALL_BYTES && page.length > 0)) return page
    page.push(row)
  }
  return page
}
