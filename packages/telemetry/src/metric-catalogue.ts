/**
 * The metrics, each with its type, its unit and its tags. `docs/METRICS.md` is
 * generated from this table.
 */

/** How the values of a metric are put together. */
export type MetricType = 'counter' | 'gauge' | 'histogram'

/** One metric. */
export interface MetricEntry {
  readonly type: MetricType
  readonly unit: string
  readonly tags: readonly string[]
  readonly meaning: string
}

/** Every metric by its name; the prefix `cornelgauge.` is added when it is sent. */
export const METRIC_CATALOGUE = {
  'requests.accepted': { type: 'counter', unit: 'requests', tags: ['workspace', 'kind'], meaning: 'Requests committed as pending' },
  'requests.refused': { type: 'counter', unit: 'requests', tags: ['workspace', 'kind', 'code'], meaning: 'Requests not accepted, by the code told to the caller' },
  'requests.ended': { type: 'counter', unit: 'requests', tags: ['workspace', 'kind', 'state'], meaning: 'Requests that reached a final state' },
  'requests.pending': { type: 'gauge', unit: 'requests', tags: ['cell'], meaning: 'Requests committed and not yet started' },
  'requests.running': { type: 'gauge', unit: 'requests', tags: ['cell'], meaning: 'Requests with a committed intent and no end' },
  'requests.wait': { type: 'histogram', unit: 'milliseconds', tags: ['workspace', 'kind'], meaning: 'Time from acceptance to the intent to start' },
  'requests.completion': { type: 'histogram', unit: 'milliseconds', tags: ['workspace', 'kind'], meaning: 'Time from acceptance to the final state' },
  'requests.answer.size': { type: 'histogram', unit: 'bytes', tags: ['kind'], meaning: 'Length of stored answers' },
  'http.requests': { type: 'counter', unit: 'requests', tags: ['method', 'status'], meaning: 'HTTP requests answered' },
  'http.duration': { type: 'histogram', unit: 'milliseconds', tags: ['method', 'status'], meaning: 'Time to answer an HTTP request' },
  'commits.finished': { type: 'counter', unit: 'commits', tags: ['cell'], meaning: 'Journal commits that took effect' },
  'commits.failed': { type: 'counter', unit: 'commits', tags: ['cell', 'code'], meaning: 'Journal commits that did not take effect' },
  'commits.uncertain': { type: 'counter', unit: 'commits', tags: ['cell'], meaning: 'Journal commits whose answer was lost' },
  'commits.transitions': { type: 'histogram', unit: 'transitions', tags: ['cell'], meaning: 'Transitions in one commit' },
  'commits.size': { type: 'histogram', unit: 'bytes', tags: ['cell'], meaning: 'Size of one journal row' },
  'commits.duration': { type: 'histogram', unit: 'milliseconds', tags: ['cell'], meaning: 'Time from the write to its answer' },
  'snapshots.written': { type: 'counter', unit: 'snapshots', tags: ['cell'], meaning: 'Snapshots stored' },
  'snapshots.size': { type: 'histogram', unit: 'bytes', tags: ['cell'], meaning: 'Size of a snapshot' },
  'table.reads': { type: 'counter', unit: 'reads', tags: ['outcome'], meaning: 'Reads sent to the table service' },
  'table.writes': { type: 'counter', unit: 'writes', tags: ['outcome'], meaning: 'Writes sent to the table service, transactions included' },
  'table.duration': { type: 'histogram', unit: 'milliseconds', tags: ['operation'], meaning: 'Time to an answer of the table service' },
  'objects.reads': { type: 'counter', unit: 'reads', tags: ['outcome'], meaning: 'Reads sent to the object store' },
  'objects.writes': { type: 'counter', unit: 'writes', tags: ['outcome'], meaning: 'Writes sent to the object store' },
  'cells.owned': { type: 'gauge', unit: 'cells', tags: [], meaning: 'Cells that this VM owns' },
  'cells.claims': { type: 'counter', unit: 'claims', tags: ['cell', 'outcome'], meaning: 'Claims to the ownership of a cell' },
  'cells.recovery': { type: 'histogram', unit: 'milliseconds', tags: ['cell'], meaning: 'Time to rebuild a cell from snapshot and journal' },
  'cells.handover': { type: 'histogram', unit: 'milliseconds', tags: ['cell'], meaning: 'Time to hand a cell over at a planned stop' },
  'wire.bytes.sent': { type: 'counter', unit: 'bytes', tags: [], meaning: 'Bytes sent to peers' },
  'wire.bytes.received': { type: 'counter', unit: 'bytes', tags: [], meaning: 'Bytes received from peers' },
  'wire.frames.sent': { type: 'counter', unit: 'frames', tags: [], meaning: 'Frames sent to peers' },
  'wire.frames.received': { type: 'counter', unit: 'frames', tags: [], meaning: 'Frames received from peers' },
  'wire.connections': { type: 'gauge', unit: 'connections', tags: ['role'], meaning: 'Open connections to and from peers' },
  'wire.calls.in-flight': { type: 'gauge', unit: 'calls', tags: ['role'], meaning: 'Calls without a reply yet' },
  'wire.calls': { type: 'counter', unit: 'calls', tags: ['type', 'outcome'], meaning: 'Calls made to peers' },
  'wire.duration': { type: 'histogram', unit: 'milliseconds', tags: ['type'], meaning: 'Time from a call to its reply' },
  'decisions.duration': { type: 'histogram', unit: 'milliseconds', tags: ['cell'], meaning: 'Time that one run of the policy takes' },
  'decisions.placed': { type: 'counter', unit: 'requests', tags: ['cell', 'kind'], meaning: 'Requests that the policy placed' },
  'decisions.preempted': { type: 'counter', unit: 'tasks', tags: ['cell'], meaning: 'Tasks that the policy preempted' },
  'decisions.fragmentation': { type: 'gauge', unit: 'ratio', tags: ['cell'], meaning: 'Share of free accelerators that no guaranteed shape can use' },
  'admission.refused': { type: 'counter', unit: 'requests', tags: ['kind'], meaning: 'Requests refused because they could not be answered in time' },
  'admission.limit': { type: 'gauge', unit: 'requests', tags: ['cell'], meaning: 'Requests admitted at once' },
  'admission.retries': { type: 'counter', unit: 'retries', tags: ['kind'], meaning: 'Retries taken from the budget' },
  'servers.available': { type: 'gauge', unit: 'backend servers', tags: ['cell'], meaning: 'Backend servers that may get work' },
  'servers.ejected': { type: 'gauge', unit: 'backend servers', tags: ['cell'], meaning: 'Backend servers ejected for their failures' },
  'servers.accelerators.free': { type: 'gauge', unit: 'accelerators', tags: ['cell'], meaning: 'Accelerators without a task' },
  'document.version': { type: 'gauge', unit: 'version', tags: ['environment'], meaning: 'Version of the document in force on this VM' },
  'process.event-loop.lag': { type: 'histogram', unit: 'milliseconds', tags: [], meaning: 'Time by which a timer of the event loop was late' },
  'process.memory.resident': { type: 'gauge', unit: 'bytes', tags: [], meaning: 'Resident memory' },
  'process.memory.heap': { type: 'gauge', unit: 'bytes', tags: [], meaning: 'Heap in use' }
} as const satisfies Readonly<Record<string, MetricEntry>>

type Catalogue = typeof METRIC_CATALOGUE

/** The name of a metric. */
export type MetricName = keyof Catalogue
/** The names of all metrics of one type. */
export type MetricNameOf<Type extends MetricType> = { [Name in MetricName]: Catalogue[Name]['type'] extends Type ? Name : never }[MetricName]
/** The tags that a metric may carry. */
export type MetricTags<Name extends MetricName> = { readonly [Tag in Catalogue[Name]['tags'][number]]?: string }
