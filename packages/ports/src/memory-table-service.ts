/**
 * The in-memory table service.
 */
import { isDeepStrictEqual } from 'node:util'
import { CornelgaugeError } from '@cornelgauge/model'
import { systemClock, type Clock } from './clock.js'
import { FaultSwitch } from './fault-switch.js'
import { countersOf, RateCounter, type ServiceCounters } from './rate-counter.js'
import { SortedTable } from './sorted-table.js'
import type { Condition, Json, Operation, RangeQuery, Row, RowValue, TableService, Transaction } from './table-service.js'

/** Maximum size of a row's value as JSON. */
export const ROW_LIMIT_BYTES = 1024 * 1024

type ConditionCheck<Type extends Condition['type']> = (row: Row | undefined, condition: Extract<Condition, { type: Type }>) => boolean

const CONDITION_CHECKS: { readonly [Type in Condition['type']]: ConditionCheck<Type> } = {
  absent: row => row === undefined,
  version: (row, { version }) => row?.version === version,
  fields: (row, { fields }) => row !== undefined && hasFields(row.value, fields)
}

type OperationHandler<Type extends Operation['type']> = (table: SortedTable, operation: Extract<Operation, { type: Type }>) => void

const OPERATION_HANDLERS: { readonly [Type in Operation['type']]: OperationHandler<Type> } = {
  put: (table, { key, value }) => table.put(key, value),
  delete: (table, { key }) => table.delete(key)
}

/**
 * A table service that keeps its rows in the memory of this process. Its counters
 * count a transaction as one write, and each `read` or `range` as one read.
 *
 * @example
 * const tables = new MemoryTableService()
 * await tables.write({ conditions: [], operations: [{ type: 'put', table: 'cells', key: 'praha', value: { epoch: 1 } }] })
 */
export class MemoryTableService implements TableService {
  readonly faults: FaultSwitch
  readonly #tables = new Map<string, SortedTable>()
  readonly #writes: RateCounter
  readonly #reads: RateCounter

  constructor (clock: Clock = systemClock) {
    this.faults = new FaultSwitch(clock)
    this.#writes = new RateCounter(clock)
    this.#reads = new RateCounter(clock)
  }

  get counters (): ServiceCounters {
    return countersOf(this.#writes, this.#reads)
  }

  read (table: string, key: string): Promise<Row | undefined> {
    return this.faults.apply('reads', () => {
      this.#reads.count()
      return this.#table(table).get(key)
    })
  }

  range (query: RangeQuery): Promise<readonly Row[]> {
    return this.faults.apply('reads', () => {
      this.#reads.count()
      return this.#table(query.table).range(query)
    })
  }

  write (transaction: Transaction): Promise<void> {
    return this.faults.apply('writes', () => {
      this.#writes.count()
      this.#commit(transaction)
    })
  }

  #commit (transaction: Transaction): void {
    const failedCondition = transaction.conditions.find(condition => !this.#holds(condition))
    if (failedCondition !== undefined) throw new CornelgaugeError('conflict', { members: { condition: failedCondition } })
    const operations = transaction.operations.map(frozenCopy)
    for (const operation of operations) this.#perform(operation)
  }

  #holds (condition: Condition): boolean {
    const check = CONDITION_CHECKS[condition.type] as ConditionCheck<Condition['type']>
    return check(this.#table(condition.table).get(condition.key), condition)
  }

  #perform (operation: Operation): void {
    const handler = OPERATION_HANDLERS[operation.type] as OperationHandler<Operation['type']>
    handler(this.#table(operation.table), operation)
  }

  #table (name: string): SortedTable {
    const table = this.#tables.get(name) ?? new SortedTable()
    this.#tables.set(name, table)
    return table
  }
}

/** True if the row has each of these fields with an equal value. */
function hasFields (value: RowValue, fields: RowValue): boolean {
  return Object.entries(fields).every(([name, field]) => isDeepStrictEqual(value[name], field))
}

/** Copies and freezes the value of a put, so that the caller cannot change it later. Fails with `body-too-large`. */
function frozenCopy (operation: Operation): Operation {
  if (operation.type !== 'put') return operation
  const text = JSON.stringify(operation.value)
  if (Buffer.byteLength(text) > ROW_LIMIT_BYTES) {
    throw new CornelgaugeError('body-too-large', { detail: `Row ${operation.key} is over ${ROW_LIMIT_BYTES} bytes` })
  }
  return { ...operation, value: deepFreeze(JSON.parse(text)) as RowValue }
}

/** Freezes a JSON value and everything nested in it. */
function deepFreeze (value: Json): Json {
  if (typeof value !== 'object' || value === null) return value
  for (const part of Object.values(value)) deepFreeze(part)
  return Object.freeze(value)
}
