/** Generates docs/CAPACITY.md from docs/slopes.json. */
import { capacityRows, slopeOf, type CapacityRow } from './capacity-rows.js'
import { ASSUMED, CELL, NODE_BUDGET, SIZE, TABLE_BUDGET } from './capacity-size.js'
import type { SlopesReport } from './slopes-report.js'

const POLL_SECONDS = 20
const CHANGE_BYTES = 200
const HEAD_BYTES = 200
const DAY_SECONDS = 86_400
const MILLISECONDS = 1000

/**
 * Renders the capacity page as Markdown.
 *
 * @example
 * capacityPage(JSON.parse(text) as SlopesReport).startsWith('# Capacity')
 */
export function capacityPage (report: SlopesReport): string {
  const rows = capacityRows(report)
  return [
    ...introduction(report), ...rowTable(rows), ...missedBudgets(report, rows), ...entryVms(report), ...checkTable(report), ...slopeTable(report)
  ].join('\n') + '\n'
}

const formatNumber = (value: number): string => Number(value.toPrecision(3)).toLocaleString('en-US', { maximumSignificantDigits: 3 })

function introduction (report: SlopesReport): readonly string[] {
  const idle = report.slopes.find(slope => slope.name === 'daemon-server/resident')?.intercept ?? NaN
  return [
    '# Capacity', '',
    'A slope of less than two of its standard errors is taken at its upper bound in the rows, so that noise never makes a cost look like none.', '',
    'Written by `npm run docs:capacity` from `docs/slopes.json`, which `npm run slopes` measures. Do not edit by hand.', '',
    `The size: ${Object.entries(SIZE).map(([name, value]) => `${name} ${value.toLocaleString('en-US')}`).join(', ')}.`,
    `One cell is one failure domain: ${Object.entries(CELL).map(([name, value]) => `${name} ${value.toLocaleString('en-US')}`).join(', ')}.`,
    `Not given by the size, and assumed: ${ASSUMED.waitingShareOfDay * 100}% of a day's jobs wait at once, and ended requests are kept for ${ASSUMED.retentionDays} day. Several hundred writes a second are taken as ${TABLE_BUDGET.writes}.`, '',
    `A node may spend ${NODE_BUDGET.processor} ms of processor time a second (1.3% of a core), ${formatNumber(NODE_BUDGET.memory)} bytes and ${formatNumber(NODE_BUDGET.bytes)} bytes a second for control. Each row says what its node is. The system runs nothing on workers; their share is what it makes them send and receive.`, '',
    `**Baseline, counted apart from the increments below:** a process that does nothing holds ${formatNumber(report.bareProcessBytes)} bytes resident, a daemon that owns a cell without backend servers ${formatNumber(idle)}. The baseline alone is over the budget of memory, as is any process of this runtime; the rows count what control adds.`, '',
    `Measured on one machine with ${report.cores} cores, Node.js ${report.node}, shared with other work: processor times are of the process, not of the clock. "Budget" and "margin" are blank where the size gives none.`, ''
  ]
}

function rowTable (rows: readonly CapacityRow[]): readonly string[] {
  const line = (row: CapacityRow): string => {
    const margin = row.budget === undefined ? '' : `${formatNumber(row.budget / row.figure)}x${row.figure > row.budget ? ' **missed**' : ''}`
    return `| ${[row.role, row.what, row.node, row.driver, row.slope, `${formatNumber(row.figure)} ${row.unit}`, row.budget === undefined ? '' : `${formatNumber(row.budget)} ${row.unit}`, margin, row.mechanism, '`npm run slopes`'].join(' | ')} |`
  }
  return [
    '## By role', '',
    '| role | what | node | driver | slope | figure | budget | margin | mechanism | measured by |',
    '|---|---|---|---|---|---|---|---|---|---|',
    ...rows.map(line), ''
  ]
}

function missedBudgets (report: SlopesReport, rows: readonly CapacityRow[]): readonly string[] {
  const names = rows.filter(row => row.budget !== undefined && row.figure > row.budget).map(row => `${row.role}: ${row.what}`)
  const servers = CELL.servers
  const daemonProcessor = slopeOf(report, 'daemon-server/processor') - slopeOf(report, 'owner-server/processor')
  const pollBytes = slopeOf(report, 'watch-poll/socket')
  const changesPerSecond = SIZE.documentChangesPerDay / DAY_SECONDS
  const renewalsPerSecond = SIZE.failureDomains * slopeOf(report, 'table-cell/writes')
  const commitInterval = MILLISECONDS * SIZE.failureDomains / (TABLE_BUDGET.writes - renewalsPerSecond)
  const bytesPerClient = slopeOf(report, 'daemon-server/resident')
  return [
    '## Where a budget is missed', '', ...names.map(name => `- ${name}`), '',
    'What would meet them; worked out, not built:', '',
    `- **Longer polls, the lease renewed by them in a batch per backend server** (${POLL_SECONDS} s in place of 1 s; a change still answers at once): ${formatNumber(servers * daemonProcessor / POLL_SECONDS)} ms/s and ${formatNumber(servers * pollBytes / POLL_SECONDS)} bytes/s a cell. A silent backend server is then found by its connection's probe and not by the poll.`,
    '- **The owner looks at what is due, not at everything**: a queue of due times in place of ticks over all servers and runs. The step at rest then costs only its events, so that the terms of servers and tasks fall by the ratio of ticks to changes.',
    `- **Memory by connection**: ${formatNumber(bytesPerClient)} bytes for each backend server's client. Fewer than ${formatNumber(NODE_BUDGET.memory / bytesPerClient)} servers fit the budget of one VM, so either one connection carries a rack, or a cell is made smaller.`,
    `- **Documents as differences with a digest**: a head of ${HEAD_BYTES} bytes a second and environment, and ${CHANGE_BYTES} bytes a change: ${formatNumber(2 * HEAD_BYTES + changesPerSecond * CHANGE_BYTES)} bytes/s.`,
    `- **Commit interval from a shared budget of writes**: ${TABLE_BUDGET.writes} writes a second less ${formatNumber(renewalsPerSecond)} renewals, over ${SIZE.failureDomains} cells: ${formatNumber(commitInterval)} ms in place of 50 ms at the fastest.`,
    '- **Incremental snapshots**: only what has changed since the last one is written; a snapshot then costs by its 400 rows and not by the ledger.', ''
  ]
}

function entryVms (report: SlopesReport): readonly string[] {
  const servers = SIZE.workers
  const processor = slopeOf(report, 'daemon-server/processor') * servers + slopeOf(report, 'owner-task/processor') * SIZE.tasks
  const bytes = slopeOf(report, 'watch-poll/socket') * servers
  const memory = slopeOf(report, 'daemon-server/resident') * servers + slopeOf(report, 'owner-task/heap') * SIZE.tasks
  const needs = [processor / NODE_BUDGET.processor, bytes / NODE_BUDGET.bytes, memory / NODE_BUDGET.memory].map(Math.ceil)
  const reads = Math.floor((TABLE_BUDGET.reads - SIZE.failureDomains * slopeOf(report, 'table-cell/reads')) / slopeOf(report, 'table-vm/reads'))
  return [
    '## How many entry VMs', '',
    `With the mechanisms of today, all cells together cost ${formatNumber(processor)} ms/s, ${formatNumber(bytes)} bytes/s and ${formatNumber(memory)} bytes: by the budget of a node that is ${needs.map(formatNumber).join(', ')} entry VMs for processor, bytes and memory. The largest, ${formatNumber(Math.max(...needs))}, would be needed, and a failure domain would have to be cut into ${formatNumber(Math.ceil(Math.max(...needs) / SIZE.failureDomains))} cells, since a cell has one owner. The table service's reads allow ${formatNumber(reads)} entry VMs at the most.`, '',
    'If the budget is held by no more than one VM for each cell, the limit is a core: see the dispatcher\'s processor time per cell, which is to be held under 1,000 ms/s. Spread over the 21 failure domains, two VMs each (one owner and one to take over) make 42 entry VMs; these miss the budget of a node until the changes above are built.', ''
  ]
}

function checkTable (report: SlopesReport): readonly string[] {
  return [
    '## One whole cell: predicted and measured', '',
    `The owner's step alone, ${CELL.servers} backend servers and ${CELL.tasks} running tasks in one process, without sockets.`, '',
    '| figure | predicted | measured | measured over predicted |', '|---|---|---|---|',
    ...report.checks.map(({ name, unit, predicted, measured }) => predicted === undefined
      ? `| ${name} | not predicted | ${formatNumber(measured)} ${unit} | |`
      : `| ${name} | ${formatNumber(predicted)} ${unit} | ${formatNumber(measured)} ${unit} | ${formatNumber(measured / predicted)} |`), '',
    'The last row is the processor time that a new owner needs to hear all of its backend servers after a takeover. With the 3 s of the lease it is what an urgent start within 8.7 s has to wait for at the worst; end to end it was not measured at this size.', ''
  ]
}

function slopeTable (report: SlopesReport): readonly string[] {
  return [
    '## The slopes', '', '| figure | unit | slope | standard error | intercept | largest residual |', '|---|---|---|---|---|---|',
    ...report.slopes.map(({ name, unit, driver, slope, standardError, intercept, residuals }) =>
      `| ${name} | ${unit} per ${driver} | ${formatNumber(slope)} | ${formatNumber(standardError)} | ${formatNumber(intercept)} | ${formatNumber(Math.max(...residuals.map(Math.abs)))} |`), '',
    'Not measured here: gangs of 1024 (the decision is on a gang of 64 accelerators in one rack), the time until a change of a document is in force on every VM, an urgent start at this size, VM failures and restarts in a day\'s numbers, restarts of backend servers, spread over real networks, partitions between regions (a cell\'s owner goes on with what it has accepted; nobody else takes the cell while the table service is out of reach, and entry VMs tell their callers that the owner cannot be asked).'
  ]
}
