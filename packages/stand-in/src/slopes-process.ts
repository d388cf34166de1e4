/** Measures of memory and processor time per process: an idle Node.js process, and daemons. */
import { readFile } from 'node:fs/promises'
import { setTimeout as sleep } from 'node:timers/promises'
import { DOCUMENTS_TABLE } from '@cornelgauge/coordination'
import { digestOf, failureDomainName, vmName } from '@cornelgauge/model'
import { HttpTableService, HttpVmList } from '@cornelgauge/ports'
import { DAEMON_MAIN, entryEnvironment } from './local-entry.js'
import { LocalProcess } from './local-process.js'
import type { ProcessLine } from './process-line.js'
import { runBackendServers, runObjectStore, runTableService, runVmList } from './roles.js'
import type { Measure } from './slopes-measure.js'
import { documentText } from './slopes-owner-harness.js'

const SETTLE_MILLISECONDS = 6000
const SAMPLE_DURATION_MILLISECONDS = 6000
const SECOND_MILLISECONDS = 1000
const STOP_MILLISECONDS = 5000
const SLOTS = 8
const KILOBYTE = 1024
/** `/proc` counts processor time in ticks of a hundredth of a second. */
const TICK_MILLISECONDS = 10
const USER_TIME_FIELD = 11
const SYSTEM_TIME_FIELD = 12
const ADDRESS = '127.0.0.1:0'

/** Resident memory of a process, in bytes. */
export async function residentBytes (pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8')
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) * KILOBYTE
}

/** Processor time of a process since its start, in milliseconds. */
export async function processorTime (pid: number): Promise<number> {
  const fields = (await readFile(`/proc/${pid}/stat`, 'utf8')).split(') ')[1]!.split(' ')
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) * TICK_MILLISECONDS
}

/** Resident memory of a Node.js process that does nothing, in bytes. */
export async function bareProcessBytes (): Promise<number> {
  const bare = new LocalProcess({ name: 'bare', command: [process.execPath, '-e', 'setInterval(() => {}, 1000)'] })
  await sleep(SECOND_MILLISECONDS)
  const bytes = await residentBytes(bare.pid)
  await bare.stop(STOP_MILLISECONDS)
  return bytes
}

/** Measures a daemon that owns an idle cell by the backend servers that it watches. */
export const DAEMON_MEASURE: Measure = {
  name: 'daemon-server',
  driver: 'backend server watched by a whole daemon',
  sizes: [0, 24, 48, 72, 96],
  units: { resident: 'bytes', processor: 'ms/s' },
  repeats: 1,
  take: daemonCost
}

async function daemonCost (servers: number): Promise<{ resident: number, processor: number }> {
  const names = Array.from({ length: servers }, (_, number) => ({ name: `server-${number + 1}`, address: ADDRESS }))
  const platform = await Promise.all([runTableService(ADDRESS, 0), runObjectStore(ADDRESS, 0), runVmList(ADDRESS, 0, 0)])
  const backend = await runBackendServers({ servers: names, slots: SLOTS, accelerators: SLOTS, usageLagMilliseconds: 0, oneWayMilliseconds: 0 })
  const [table, objects, vmList] = platform.map(({ line }) => line.address)
  await writeDocument(table!, Math.max(servers, 1))
  await registerServers(vmList!, backend.map(({ line }) => line))
  const daemon = new LocalProcess({
    name: 'daemon',
    command: [process.execPath, DAEMON_MAIN, '--vm', 'vm-1', '--failure-domain', 'domain-1', '--address', ADDRESS, '--wire-address', ADDRESS, '--table-service', table!, '--object-store', objects!, '--vm-list', vmList!],
    environment: entryEnvironment({ workspaces: { 'team-1': 'slopes-token' }, operator: 'slopes-operator', peerSecret: 'slopes-secret' }, 'error')
  })
  try {
    return await sampleProcess(daemon.pid)
  } finally {
    await daemon.stop(STOP_MILLISECONDS)
    await Promise.all([...platform, ...backend].map(({ server }) => server.close()))
  }
}

async function sampleProcess (pid: number): Promise<{ resident: number, processor: number }> {
  await sleep(SETTLE_MILLISECONDS)
  const before = await processorTime(pid)
  await sleep(SAMPLE_DURATION_MILLISECONDS)
  const processorUsed = await processorTime(pid) - before
  return { resident: await residentBytes(pid), processor: processorUsed * SECOND_MILLISECONDS / SAMPLE_DURATION_MILLISECONDS }
}

async function writeDocument (address: string, servers: number): Promise<void> {
  const table = new HttpTableService({ address, timeoutMilliseconds: STOP_MILLISECONDS })
  const text = documentText({ servers, slots: SLOTS, accelerators: SLOTS, workspaces: 4 })
  const value = { version: 1, digest: digestOf(text), text, appliedBy: 'operator', appliedAt: 0 }
  await table.write({ conditions: [], operations: [{ type: 'put', table: DOCUMENTS_TABLE, key: 'production', value }] })
  await table.close()
}

async function registerServers (address: string, lines: readonly ProcessLine[]): Promise<void> {
  const list = new HttpVmList({ address, timeoutMilliseconds: STOP_MILLISECONDS })
  for (const line of lines) {
    await list.setVm({ name: vmName(line.name), role: 'backend-server', failureDomain: failureDomainName('domain-1'), rack: 'rack-1', slots: SLOTS, accelerators: SLOTS, address: line.address, status: 'live' })
  }
  await list.close()
}
