/**
 * The stand-in of the table service.
 */
import { CornelgaugeError } from '@cornelgauge/model'
import type { MemoryTableService, RangeQuery, Transaction } from '@cornelgauge/ports'
import { bodyOf, isObject, requireFields, type Call, type Route } from './route.js'
import type { StandInServerOptions } from './stand-in-server.js'

const CONDITION_TYPES: ReadonlySet<unknown> = new Set(['absent', 'version', 'fields'])
const OPERATION_TYPES: ReadonlySet<unknown> = new Set(['put', 'delete'])

/**
 * The faults and routes of the table service's stand-in.
 *
 * @example
 * new StandInServer(tableServiceOptions(new MemoryTableService()))
 */
export function tableServiceOptions (tables: MemoryTableService): StandInServerOptions {
  const routes: readonly Route[] = [
    { method: 'POST', path: '/transactions', handle: call => tables.write(transactionOf(call)) },
    { method: 'GET', path: '/tables/:table/rows/:key', handle: call => readRow(tables, call) },
    { method: 'GET', path: '/tables/:table/rows', handle: async call => tables.range(rangeOf(call)) }
  ]
  const controlRoutes: readonly Route[] = [{ method: 'GET', path: '/counters', handle: async () => tables.counters }]
  return { faults: tables.faults, routes, controlRoutes }
}

async function readRow (tables: MemoryTableService, { parameters }: Call): Promise<unknown> {
  const row = await tables.read(parameters.table!, parameters.key!)
  if (row === undefined) throw new CornelgaugeError('not-found', { detail: `Table ${parameters.table} has no row ${parameters.key}` })
  return row
}

function rangeOf ({ parameters, query }: Call): RangeQuery {
  const limit = query.get('limit')
  return {
    table: parameters.table!,
    from: query.get('from') ?? undefined,
    before: query.get('before') ?? undefined,
    limit: limit === null ? undefined : limitOf(limit)
  }
}

function limitOf (text: string): number {
  const limit = Number(text)
  if (!Number.isInteger(limit) || limit < 0) throw new CornelgaugeError('invalid-request', { detail: `The limit ${text} is no whole number` })
  return limit
}

const isRowEntry = (types: ReadonlySet<unknown>) => (value: unknown): boolean =>
  isObject(value) && types.has(value.type) && typeof value.table === 'string' && typeof value.key === 'string'

const isListOf = (check: (value: unknown) => boolean) => (value: unknown): boolean =>
  Array.isArray(value) && value.every(check)

function transactionOf (call: Call): Transaction {
  const transaction = bodyOf<Transaction>(call)
  requireFields(transaction, {
    conditions: isListOf(isRowEntry(CONDITION_TYPES)),
    operations: isListOf(isRowEntry(OPERATION_TYPES))
  })
  const hasValues = transaction.operations.every(operation => operation.type === 'delete' || isObject(operation.value))
  if (!hasValues) throw new CornelgaugeError('invalid-request', { detail: 'A put needs an object as its value' })
  return transaction
}
