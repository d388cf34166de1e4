/**
 * The metric catalogue: each metric with its type, its unit, its tags and its meaning.
 * `docs/METRICS.md` is generated from it.
 */

/** How the values of a metric are aggregated. */
export type MetricType = 'counter' | 'gauge' | 'histogram'

/** The description of one metric. */
export interface MetricEntry {
  readonly type: MetricType
  readonly unit: string
  readonly tags: readonly string[]
  readonly meaning: string
}

/** All metrics by name, without the prefix `cornelgauge.` that is added when they are sent. */
export const METRIC_CATALOGUE = {
  'requests.accepted': { type: 'counter', unit: 'requests', tags: ['workspace', 'kind'], meaning: 'Requests committed as pending' },
  'requests.refused': { type: 'counter', unit: 'requests', tags: ['workspace', 'kind', 'code'], meaning: 'Requests refused, by the error code sent to the caller' },
  'requests.ended': { type: 'counter', unit: 'requests', tags: ['workspace', 'kind', 'state'], meaning: 'Requests that reached a final state' },
  'requests.pending': { type: 'gauge', unit: 'requests', tags: ['cell'], meaning: 'Requests that wait to be started' },
  'requests.running': { type: 'gauge', unit: 'requests', tags: ['cell'], meaning: 'Requests that are starting, running or stopping' },
  'requests.wait': { type: 'histogram', unit: 'milliseconds', tags: ['workspace', 'kind'], meaning: 'Time from acceptance to the first decision to start' },
  'requests.completion': { type: 'histogram', unit: 'milliseconds', tags: ['workspace', 'kind'], meaning: 'Time from acceptance to the final state' },
  'requests.answer.size': { type: 'histogram', unit: 'bytes', tags: ['kind'], meaning: 'Length of stored answers' },
  'commits.finished': { type: 'counter', unit: 'commits', tags: ['cell'], meaning: 'Journal commits that took effect' },
  'commits.failed': { type: 'counter', unit: 'commits', tags: ['cell'], meaning: 'Journal commits that failed permanently' },
  'commits.transitions': { type: 'histogram', unit: 'transitions', tags: ['cell'], meaning: 'Number of transitions in a commit' },
  'commits.duration': { type: 'histogram', unit: 'milliseconds', tags: ['cell'], meaning: 'Time from the write of a commit to its confirmation' },
  'snapshots.written': { type: 'counter', unit: 'snapshots', tags: ['cell'], meaning: 'Snapshots stored' },
  'table.reads': { type: 'counter', unit: 'reads', tags: [], meaning: 'Reads sent to the table service' },
  'table.writes': { type: 'counter', unit: 'writes', tags: [], meaning: 'Writes sent to the table service, transactions included' },
  'cells.owned': { type: 'gauge', unit: 'cells', tags: [], meaning: 'Cells that this VM owns' },
  'cells.claims': { type: 'counter', unit: 'claims', tags: ['cell', 'outcome'], meaning: 'Claims to the ownership of a cell' },
  'cells.recovery': { type: 'histogram', unit: 'milliseconds', tags: ['cell'], meaning: 'Time to restore the state of a cell from its snapshot and journal' },
  'cells.handover': { type: 'histogram', unit: 'milliseconds', tags: ['cell'], meaning: 'Time to hand a cell over' },
  'wire.bytes.sent': { type: 'counter', unit: 'bytes', tags: [], meaning: 'Bytes sent to peers' },
  'wire.bytes.received': { type: 'counter', unit: 'bytes', tags: [], meaning: 'Bytes received from peers' },
  'wire.frames.sent': { type: 'counter', unit: 'frames', tags: [], meaning: 'Frames sent to peers' },
  'wire.frames.received': { type: 'counter', unit: 'frames', tags: [], meaning: 'Frames received from peers' },
  'wire.connections': { type: 'gauge', unit: 'connections', tags: ['role'], meaning: 'Open connections to and from peers' },
  'wire.calls.in-flight': { type: 'gauge', unit: 'calls', tags: ['role'], meaning: 'Calls that have no reply yet' },
  'decisions.duration': { type: 'histogram', unit: 'milliseconds', tags: ['cell'], meaning: 'Processing time of an event at the cell\'s owner, for events that triggered a policy decision' },
  'decisions.preempted': { type: 'counter', unit: 'tasks', tags: ['cell'], meaning: 'Tasks that the policy preempted' },
  'admission.refused': { type: 'counter', unit: 'requests', tags: ['kind'], meaning: 'Requests refused by admission control: they could not be answered in time, or their workspace is at its limit' },
  'servers.available': { type: 'gauge', unit: 'backend servers', tags: ['cell'], meaning: 'Backend servers that are available for work' },
  'document.version': { type: 'gauge', unit: 'version', tags: ['environment'], meaning: 'Version of the document in force on this VM' },
  'process.event-loop.lag': { type: 'histogram', unit: 'milliseconds', tags: [], meaning: 'Delay of a timer of the event loop' },
  'process.memory.resident': { type: 'gauge', unit: 'bytes', tags: [], meaning: 'Resident memory' },
  'process.memory.heap': { type: 'gauge', unit: 'bytes', tags: [], meaning: 'Heap memory in use' }
} as const satisfies Readonly<Record<string, MetricEntry>>

type Catalogue = typeof METRIC_CATALOGUE

/** Name of a metric. */
export type MetricName = keyof Catalogue
/** Names of the metrics of one type. */
export type MetricNameOf<Type extends MetricType> = { [Name in MetricName]: Catalogue[Name]['type'] extends Type ? Name : never }[MetricName]
/** The tags that a metric may carry. */
export type MetricTags<Name extends MetricName> = { readonly [Tag in Catalogue[Name]['tags'][number]]?: string }
