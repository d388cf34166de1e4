/**
 * Disables one mechanism by wrapping an interface of the rig, so that the product's
 * own code is the same with and without it.
 */
import { CELLS_TABLE, DOCUMENTS_TABLE, JOURNAL_TABLE } from '@cornelgauge/coordination'
import { asFailure, CornelgaugeError, epoch } from '@cornelgauge/model'
import type { BackendServer, Condition, ExecutionId, ExecutionReport, OwnerClaim, Row, TableService, Transaction, WatchRequest } from '@cornelgauge/ports'
import type { RigInterfaces, VmContext } from './rig.js'

/** Each mechanism that can be disabled. */
export const MECHANISMS = ['fencing', 'intent-before-start', 'read-back', 'prepare-go', 'version-check', 'connection-probing'] as const

/** Name of a mechanism. */
export type Mechanism = typeof MECHANISMS[number]

/** Delay until a journal write that is acknowledged early becomes durable. */
const DELAYED_WRITE_MILLISECONDS = 400
const ANY_EPOCH = epoch(1)

const tableWith = (table: TableService, write: (transaction: Transaction) => Promise<void>): TableService => ({
  read: (name, key) => table.read(name, key),
  range: query => table.range(query),
  write
})

const withoutConditions = (table: TableService, isDropped: (condition: Condition) => boolean): TableService =>
  tableWith(table, transaction => table.write({ ...transaction, conditions: transaction.conditions.filter(condition => !isDropped(condition)) }))

const serverWith = (server: BackendServer, changes: Partial<BackendServer>): BackendServer => ({
  prepare: (claim, preparations) => server.prepare(claim, preparations),
  go: (claim, executions) => server.go(claim, executions),
  fence: (claim, executions) => server.fence(claim, executions),
  stop: (claim, executions) => server.stop(claim, executions),
  checkpoint: (claim, executions) => server.checkpoint(claim, executions),
  throttle: (claim, executions, share) => server.throttle(claim, executions, share),
  watch: request => server.watch(request),
  ...changes
})

/** Disables fencing by epoch: every owner claims the same epoch. */
function withoutEpochs (server: BackendServer): BackendServer {
  const withAnyEpoch = <Claim extends OwnerClaim>(claim: Claim): Claim => ({ ...claim, epoch: ANY_EPOCH })
  return {
    prepare: (claim, preparations) => server.prepare(withAnyEpoch(claim), preparations),
    go: (claim, executions) => server.go(withAnyEpoch(claim), executions),
    fence: (claim, executions) => server.fence(withAnyEpoch(claim), executions),
    stop: (claim, executions) => server.stop(withAnyEpoch(claim), executions),
    checkpoint: (claim, executions) => server.checkpoint(withAnyEpoch(claim), executions),
    throttle: (claim, executions, share) => server.throttle(withAnyEpoch(claim), executions, share),
    watch: request => server.watch(withAnyEpoch(request))
  }
}

/** Journal writes are acknowledged at once; they become durable later, and only if the VM is still alive. */
function withEarlyAcknowledgement (table: TableService, context: VmContext): TableService {
  const isJournal = ({ operations }: Transaction): boolean => operations.some(operation => operation.table === JOURNAL_TABLE && operation.type === 'put')
  return tableWith(table, async transaction => {
    if (!isJournal(transaction)) return table.write(transaction)
    context.clock.after(DELAYED_WRITE_MILLISECONDS, () => { if (context.isAlive()) table.write(transaction).catch(() => {}) })
  })
}

const isUnanswered = (thrown: unknown): boolean => ['unavailable', 'timeout'].includes(asFailure(thrown).code)

/** An unanswered write of a document counts as refused: the next read of its row returns the row as it was before. */
function withoutTableReadBack (table: TableService): TableService {
  const before = new Map<string, Row | undefined>()
  const unanswered = new Set<string>()
  const isDocument = ({ operations }: Transaction): boolean => operations.every(operation => operation.table === DOCUMENTS_TABLE)
  return {
    range: query => table.range(query),
    async read (name, key) {
      if (name === DOCUMENTS_TABLE && unanswered.delete(key)) return before.get(key)
      const row = await table.read(name, key)
      if (name === DOCUMENTS_TABLE) before.set(key, row)
      return row
    },
    async write (transaction) {
      try {
        await table.write(transaction)
      } catch (thrown) {
        if (!isDocument(transaction) || !isUnanswered(thrown)) throw thrown
        transaction.operations.forEach(operation => { unanswered.add(operation.key) })
        throw new CornelgaugeError('conflict')
      }
    }
  }
}

/** An unanswered start counts as never made: the backend server is not polled for its state. */
function withoutServerReadBack (server: BackendServer): BackendServer {
  const assumedFailed = new Set<string>()
  const nameOf = ({ request, attempt }: ExecutionId): string => `${request}/${attempt}`
  const start = async (executions: readonly ExecutionId[], call: () => Promise<readonly ExecutionReport[]>): Promise<readonly ExecutionReport[]> => {
    try {
      return await call()
    } catch (thrown) {
      if (isUnanswered(thrown)) executions.forEach(execution => { assumedFailed.add(nameOf(execution)) })
      throw thrown
    }
  }
  return serverWith(server, {
    prepare: (claim, preparations) => start(preparations, () => server.prepare(claim, preparations)),
    go: (claim, executions) => start(executions, () => server.go(claim, executions)),
    async fence (claim, executions) {
      const known = executions.filter(execution => !assumedFailed.has(nameOf(execution)))
      const failed = executions.filter(execution => assumedFailed.has(nameOf(execution)))
      const reports = known.length === 0 ? [] : await server.fence(claim, known)
      return [...reports, ...failed.map(({ request, attempt }) => ({ request, attempt, state: 'never-started' as const }))]
    },
    async watch (request: WatchRequest) {
      const answer = await server.watch(request)
      return { ...answer, reports: answer.reports.filter(report => !assumedFailed.has(nameOf(report))) }
    }
  })
}

/** Wraps each backend server only once, so that the wrapper can keep state. */
function wrapOnce (wrap: (server: BackendServer) => BackendServer): (server: BackendServer) => BackendServer {
  const wrapped = new WeakMap<BackendServer, BackendServer>()
  return server => {
    const known = wrapped.get(server) ?? wrap(server)
    wrapped.set(server, known)
    return known
  }
}

const WITHOUT: Readonly<Record<Mechanism, () => RigInterfaces>> = {
  fencing: () => ({
    table: table => withoutConditions(table, condition => condition.table === CELLS_TABLE),
    server: withoutEpochs
  }),
  'intent-before-start': () => ({ table: withEarlyAcknowledgement }),
  'read-back': () => ({ table: withoutTableReadBack, server: wrapOnce(withoutServerReadBack) }),
  'prepare-go': () => ({
    server: server => serverWith(server, {
      prepare: (claim, preparations) => server.prepare(claim, preparations.map(preparation => ({ ...preparation, start: true })))
    })
  }),
  'version-check': () => ({ table: table => withoutConditions(table, condition => condition.table === DOCUMENTS_TABLE) }),
  'connection-probing': () => ({ probesConnections: false })
}

/**
 * Returns the interfaces with one mechanism disabled, or no wrappers if all are enabled.
 *
 * @example
 * await Rig.start(3, interfacesWithout('fencing'))
 */
export function interfacesWithout (mechanism: Mechanism | undefined): RigInterfaces {
  return mechanism === undefined ? {} : WITHOUT[mechanism]()
}
