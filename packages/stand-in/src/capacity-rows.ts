/** The rows of the capacity page: each multiplies drivers by their slopes and compares the sum with a budget. */
import { CELL, NODE_BUDGET, SIZE, TABLE_BUDGET } from './capacity-size.js'
import type { SlopesReport } from './slopes-report.js'

const DAY_SECONDS = 86_400
const ENVIRONMENTS = 2
const COMMITS_PER_SECOND = 20
const ENTRY_VMS = 9
const SNAPSHOT_ROWS = 400

/** A row of the capacity table. */
export interface CapacityRow {
  readonly role: string
  readonly what: string
  /** The kind of node that the figure and the budget apply to. */
  readonly node: string
  readonly driver: string
  readonly slope: string
  readonly figure: number
  readonly unit: 'ms/s' | 'bytes' | 'bytes/s' | '1/s' | 'ms'
  readonly budget?: number
  readonly mechanism: string
}

/** A slope below this many standard errors does not differ significantly from zero. */
const SIGNIFICANT_STANDARD_ERRORS = 2

/**
 * Returns a slope for the rows. A slope that does not differ significantly from zero
 * is replaced by its upper bound, so that noise never hides a cost.
 */
export function slopeOf (report: SlopesReport, name: string): number {
  const found = report.slopes.find(slope => slope.name === name)
  if (found === undefined) return NaN
  const uncertainty = SIGNIFICANT_STANDARD_ERRORS * found.standardError
  return found.slope >= uncertainty ? found.slope : Math.max(found.slope + uncertainty, 0)
}

interface Term {
  readonly name: string
  readonly size: number
}

type RowDescription = Omit<CapacityRow, 'driver' | 'slope' | 'figure'>

/** Makes a row whose figure is the sum of each driver times its slope. */
function makeRow (report: SlopesReport, terms: readonly Term[], description: RowDescription): CapacityRow {
  const slopes = terms.map(term => slopeOf(report, term.name))
  const figure = terms.reduce((total, term, index) => total + term.size * slopes[index]!, 0)
  return {
    ...description,
    driver: terms.map(term => `${Number(term.size.toPrecision(4))} x ${term.name}`).join(' + '),
    slope: slopes.map(slope => String(Number(slope.toPrecision(3)))).join(' + '),
    figure
  }
}

const CELL_DRIVERS: readonly (readonly [string, number])[] = [
  ['owner-server', CELL.servers], ['owner-task', CELL.tasks], ['owner-waiting', CELL.waiting], ['owner-kept', CELL.kept], ['owner-workspace', CELL.workspaces]
]
const ownerTerms = (figure: string): readonly Term[] => CELL_DRIVERS.map(([name, size]) => ({ name: `${name}/${figure}`, size }))
const OWNER_NODE = 'entry VM that owns one cell, a whole failure domain'
const ANY_NODE = 'entry VM'

/** Returns all rows, grouped by role. */
export function capacityRows (report: SlopesReport): readonly CapacityRow[] {
  return [...entryRows(report), ...ownerRows(report), ...dispatcherRows(report), ...followerRows(report), ...toolRows(report), ...tableRows(report)]
}

function entryRows (report: SlopesReport): readonly CapacityRow[] {
  const callsPerSecond = SIZE.jobsPerDay / DAY_SECONDS / ENTRY_VMS
  const role = 'entry'
  return [
    makeRow(report, [{ name: 'wire-call/processor', size: callsPerSecond }], { role, what: 'processor time, forwarded calls (both ends)', node: ANY_NODE, unit: 'ms/s', budget: NODE_BUDGET.processor, mechanism: 'one connection per peer, calls correlated by id' }),
    makeRow(report, [{ name: 'wire-call/bytes', size: callsPerSecond }, { name: 'wire-quiet/heartbeats', size: SIZE.failureDomains }], { role, what: 'messages to 21 owners', node: ANY_NODE, unit: 'bytes/s', budget: NODE_BUDGET.bytes, mechanism: 'connections opened on demand, pings after a second without traffic' }),
    makeRow(report, [{ name: 'wire-quiet/heap', size: SIZE.failureDomains }], { role, what: 'memory of connections (both ends)', node: ANY_NODE, unit: 'bytes', budget: NODE_BUDGET.memory, mechanism: 'one connection per peer, closed after an idle minute' })
  ]
}

function ownerRows (report: SlopesReport): readonly CapacityRow[] {
  const requestsPerSecond = SIZE.jobsPerDay / DAY_SECONDS / SIZE.failureDomains
  const role = 'cell owner'
  return [
    makeRow(report, ownerTerms('processor'), { role, what: 'processor time of the step, at rest', node: OWNER_NODE, unit: 'ms/s', budget: NODE_BUDGET.processor, mechanism: 'a pure step per event; periodic ticks scan every server and run' }),
    makeRow(report, [{ name: 'owner-request/processor', size: requestsPerSecond }], { role, what: 'processor time of the step, requests', node: OWNER_NODE, unit: 'ms/s', budget: NODE_BUDGET.processor, mechanism: 'group commit' }),
    makeRow(report, ownerTerms('heap'), { role, what: 'state', node: OWNER_NODE, unit: 'bytes', budget: NODE_BUDGET.memory, mechanism: 'persistent maps, shared between versions of the state' }),
    makeRow(report, [{ name: 'policy-decision/processor', size: CELL.accelerators }], { role, what: 'one decision for a gang', node: OWNER_NODE, unit: 'ms', budget: NODE_BUDGET.processor, mechanism: 'placement by rack' }),
    makeRow(report, [{ name: 'recovery-row/processor', size: SNAPSHOT_ROWS }, { name: 'snapshot/recover', size: CELL.kept + CELL.tasks }], { role, what: 'reading snapshot and tail after a takeover', node: OWNER_NODE, unit: 'ms', budget: 1000, mechanism: 'a snapshot every 400 rows' }),
    makeRow(report, [{ name: 'snapshot/take', size: CELL.kept + CELL.tasks }], { role, what: 'one snapshot', node: OWNER_NODE, unit: 'ms', mechanism: 'the complete ledger is written as one object' })
  ]
}

function dispatcherRows (report: SlopesReport): readonly CapacityRow[] {
  const role = 'dispatcher'
  const servers = CELL.servers
  return [
    makeRow(report, [{ name: 'daemon-server/processor', size: servers }], { role, what: 'processor time of the whole daemon, including the owner\'s step', node: OWNER_NODE, unit: 'ms/s', budget: NODE_BUDGET.processor, mechanism: 'one long poll of a second per backend server' }),
    makeRow(report, [{ name: 'daemon-server/resident', size: servers }], { role, what: 'memory of the whole daemon above its baseline', node: OWNER_NODE, unit: 'bytes', budget: NODE_BUDGET.memory, mechanism: 'an HTTP client per backend server' }),
    makeRow(report, [{ name: 'watch-poll/socket', size: servers }], { role, what: 'polls, one a second for each backend server', node: OWNER_NODE, unit: 'bytes/s', budget: NODE_BUDGET.bytes, mechanism: 'a poll renews the lease of all tasks on its server' }),
    makeRow(report, [{ name: 'watch-poll/socket', size: 1 }], { role, what: 'polls, seen from a worker', node: 'worker', unit: 'bytes/s', budget: NODE_BUDGET.bytes, mechanism: 'only changes are reported' })
  ]
}

function followerRows (report: SlopesReport): readonly CapacityRow[] {
  const changesPerSecond = SIZE.documentChangesPerDay / DAY_SECONDS
  const role = 'document follower'
  return [
    makeRow(report, [{ name: 'document-size/bytes', size: SIZE.teams * ENVIRONMENTS }], { role, what: 'head rows read, two environments', node: ANY_NODE, unit: 'bytes/s', budget: NODE_BUDGET.bytes, mechanism: 'each poll reads the complete text of the document' }),
    makeRow(report, [{ name: 'document-adopt/processor', size: SIZE.teams * changesPerSecond }], { role, what: 'processor time of adopting changes', node: ANY_NODE, unit: 'ms/s', budget: NODE_BUDGET.processor, mechanism: 'the complete document is parsed and checked' })
  ]
}

function toolRows (report: SlopesReport): readonly CapacityRow[] {
  return [
    makeRow(report, [{ name: 'wire-call/bytes', size: ENTRY_VMS }], { role: 'operator\'s tools', what: 'one status report of nine VMs', node: 'entry VM that is asked', unit: 'bytes', mechanism: 'one call to each peer; a reply is assumed to be as large as a record' })
  ]
}

function tableRows (report: SlopesReport): readonly CapacityRow[] {
  const role = 'table service'
  const node = 'the platform\'s service, all cells together'
  const writes = makeRow(report, [{ name: 'table-cell/writes', size: SIZE.failureDomains }], { role, what: 'writes, if every cell commits as often as it can', node, unit: '1/s', budget: TABLE_BUDGET.writes, mechanism: 'a group commit every 50 ms at the most, one lease renewal a second' })
  return [
    makeRow(report, [{ name: 'table-vm/reads', size: ENTRY_VMS }, { name: 'table-cell/reads', size: SIZE.failureDomains }], { role, what: 'reads of nine entry VMs', node, unit: '1/s', budget: TABLE_BUDGET.reads, mechanism: 'one range of owner rows read twice a second, two head rows a second' }),
    { ...writes, driver: `${writes.driver} + ${SIZE.failureDomains} x commits`, slope: `${writes.slope} + ${COMMITS_PER_SECOND}`, figure: writes.figure + SIZE.failureDomains * COMMITS_PER_SECOND }
  ]
}
