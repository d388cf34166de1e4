/** Services that do to each call what a test decides: the fates that the brief names. */
import { CornelgaugeError } from '@cornelgauge/model'
import type { ObjectStore, RangeQuery, Row, TableService, Transaction } from '@cornelgauge/ports'

/** `late`: the caller hears of a failure now, and the effect comes when the test says so. */
export type Fate = 'answered' | 'refused' | 'answer-lost' | 'late'

export type Decide = (call: string, detail: Transaction | string) => Fate | Promise<Fate>

export class FaultyServices {
  /** Effects of late calls that have not taken place yet. */
  readonly late: (() => Promise<unknown>)[] = []
  readonly table: TableService
  readonly objects: ObjectStore
  decide: Decide
  /** Takes in the effect of a late call. */
  postpone = (effect: () => Promise<unknown>): void => { this.late.push(effect) }
  /** Waited for between an effect and its answer. */
  beforeAnswer = async (): Promise<void> => {}

  constructor (table: TableService, objects: ObjectStore, decide: Decide = () => 'answered') {
    this.decide = decide
    this.table = {
      read: (name, key) => this.#call<Row | undefined>('read', `${name}/${key}`, () => table.read(name, key)),
      range: (query: RangeQuery) => this.#call<readonly Row[]>('range', query.table, () => table.range(query)),
      write: transaction => this.#call<void>('write', transaction, () => table.write(transaction))
    }
    this.objects = {
      put: (name, content) => this.#call<void>('put', name, () => objects.put(name, content)),
      get: name => this.#call<Uint8Array | undefined>('get', name, () => objects.get(name)),
      delete: name => this.#call<void>('delete', name, () => objects.delete(name)),
      list: prefix => this.#call<readonly string[]>('list', prefix, () => objects.list(prefix))
    }
  }

  /** Lets every late call take effect, or fail on its conditions. */
  async landLate (): Promise<void> {
    for (const effect of this.late.splice(0)) await effect().catch(() => {})
  }

  async #call<Value> (call: string, detail: Transaction | string, effect: () => Promise<Value>): Promise<Value> {
    const fate = await this.decide(call, detail)
    if (fate === 'late') this.postpone(effect)
    if (fate === 'late' || fate === 'refused') throw new CornelgaugeError('timeout')
    const value = await effect()
    await this.beforeAnswer()
    if (fate === 'answer-lost') throw new CornelgaugeError('timeout')
    return value
  }
}

/** Gives the fates to the writes of a table in turn, and `answered` to all that follows. */
export function fatesOfWrites (table: string, fates: readonly Fate[]): Decide {
  const left = [...fates]
  return (call, detail) => {
    const concerns = call === 'write' && (detail as Transaction).operations.some(operation => operation.table === table)
    return concerns ? left.shift() ?? 'answered' : 'answered'
  }
}
