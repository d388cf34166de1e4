/**
 * Starts the services of a stand-in process, by role.
 */
import { MemoryBackendServer, MemoryObjectStore, MemoryTableService, MemoryVmList } from '@cornelgauge/ports'
import { delayBetween, parseAddress } from './address-plan.js'
import { backendServerOptions } from './backend-server-routes.js'
import { objectStoreOptions } from './object-store-routes.js'
import type { ProcessLine, ProcessRole } from './process-line.js'
import { StandInServer, type StandInServerOptions } from './stand-in-server.js'
import { tableServiceOptions } from './table-service-routes.js'
import { vmListOptions } from './vm-list-routes.js'

/** A running stand-in. */
export interface RunningStandIn {
  readonly line: ProcessLine
  readonly server: StandInServer
}

/** Name and `ip:port` of one backend server. */
export interface NamedAddress {
  readonly name: string
  readonly address: string
}

/** The backend servers of one process, and the settings that they share. */
export interface BackendServersOptions {
  readonly servers: readonly NamedAddress[]
  readonly slots: number
  readonly accelerators: number
  readonly usageLagMilliseconds: number
  /** One-way propagation delay to callers in another failure domain. */
  readonly oneWayMilliseconds: number
}

async function serve (role: ProcessRole, { name, address }: NamedAddress, options: StandInServerOptions): Promise<RunningStandIn> {
  const server = new StandInServer(options)
  const actual = await server.listen(parseAddress(address))
  return { line: { role, name, pid: process.pid, address: actual }, server }
}

/**
 * Runs the table service.
 *
 * @example
 * const { line } = await runTableService('127.0.0.1:0', 3)
 */
export function runTableService (address: string, oneWayMilliseconds: number): Promise<RunningStandIn> {
  const options = tableServiceOptions(new MemoryTableService())
  return serve('table-service', { name: 'table-service', address }, { ...options, delayTo: () => oneWayMilliseconds })
}

/**
 * Runs the object store.
 *
 * @example
 * const { line } = await runObjectStore('127.0.0.1:0', 3)
 */
export function runObjectStore (address: string, oneWayMilliseconds: number): Promise<RunningStandIn> {
  const options = objectStoreOptions(new MemoryObjectStore())
  return serve('object-store', { name: 'object-store', address }, { ...options, delayTo: () => oneWayMilliseconds })
}

/**
 * Runs the VM list.
 *
 * @example
 * const { line } = await runVmList('127.0.0.1:0', 3, 2000)
 */
export function runVmList (address: string, oneWayMilliseconds: number, lagMilliseconds: number): Promise<RunningStandIn> {
  const options = vmListOptions(new MemoryVmList(lagMilliseconds))
  return serve('vm-list', { name: 'vm-list', address }, { ...options, delayTo: () => oneWayMilliseconds })
}

/**
 * Runs backend servers in this process, each on its own address.
 *
 * @example
 * const [first] = await runBackendServers({ servers, slots: 8, accelerators: 8, usageLagMilliseconds: 1000, oneWayMilliseconds: 3 })
 */
export function runBackendServers (options: BackendServersOptions): Promise<readonly RunningStandIn[]> {
  return Promise.all(options.servers.map(server => runBackendServer(server, options)))
}

function runBackendServer (named: NamedAddress, options: BackendServersOptions): Promise<RunningStandIn> {
  const { host } = parseAddress(named.address)
  const delayTo = (caller: string): number => delayBetween(caller, host, options.oneWayMilliseconds)
  return serve('backend-server', named, { ...backendServerOptions(new MemoryBackendServer(options)), delayTo })
}
