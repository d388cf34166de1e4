/** Platform services with fault injection: the test decides the outcome of each call. */
import { CornelgaugeError } from '@cornelgauge/model'
import type { ObjectStore, RangeQuery, Row, TableService, Transaction } from '@cornelgauge/ports'

/**
 * Outcome of a call:
 * - `answered`: takes effect and is answered;
 * - `refused`: has no effect and times out;
 * - `answer-lost`: takes effect and times out;
 * - `late`: times out, and takes effect later, when the test chooses.
 */
export type CallOutcome = 'answered' | 'refused' | 'answer-lost' | 'late'

export type OutcomeDecider = (call: string, detail: Transaction | string) => CallOutcome | Promise<CallOutcome>

export class FaultyServices {
  /** Pending effects of late calls. */
  readonly lateEffects: (() => Promise<unknown>)[] = []
  readonly table: TableService
  readonly objects: ObjectStore
  decideOutcome: OutcomeDecider
  /** Called with the effect of each late call. */
  deferEffect = (effect: () => Promise<unknown>): void => { this.lateEffects.push(effect) }
  /** Awaited between the effect of a call and its answer. */
  beforeAnswer = async (): Promise<void> => {}

  constructor (table: TableService, objects: ObjectStore, decide: OutcomeDecider = () => 'answered') {
    this.decideOutcome = decide
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

  /** Runs the pending effects of late calls; those whose conditions no longer hold fail. */
  async applyLateEffects (): Promise<void> {
    for (const effect of this.lateEffects.splice(0)) await effect().catch(() => {})
  }

  async #call<Value> (call: string, detail: Transaction | string, effect: () => Promise<Value>): Promise<Value> {
    const outcome = await this.decideOutcome(call, detail)
    if (outcome === 'late') this.deferEffect(effect)
    if (outcome === 'late' || outcome === 'refused') throw new CornelgaugeError('timeout')
    const value = await effect()
    await this.beforeAnswer()
    if (outcome === 'answer-lost') throw new CornelgaugeError('timeout')
    return value
  }
}

/** Assigns the outcomes in order to the writes of one table; all other calls are `answered`. */
export function outcomesOfWrites (table: string, outcomes: readonly CallOutcome[]): OutcomeDecider {
  const remaining = [...outcomes]
  return (call, detail) => {
    const isWriteOfTable = call === 'write' && (detail as Transaction).operations.some(operation => operation.table === table)
    return isWriteOfTable ? remaining.shift() ?? 'answered' : 'answered'
  }
}
