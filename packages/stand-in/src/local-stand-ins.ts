/**
 * The stand-in processes of a local deployment.
 */
import { fileURLToPath } from 'node:url'
import type { LocalPlan } from './local-plan.js'

const STAND_IN_MAIN = fileURLToPath(new URL('./main.js', import.meta.url))

/** One stand-in process, and the number of process lines that it prints once its services listen. */
export interface StandInCommand {
  readonly name: string
  readonly command: readonly string[]
  readonly services: number
}

/**
 * The commands of all stand-ins. The backend servers of one failure domain share a process.
 *
 * @example
 * standInCommands(plan).map(({ name }) => name)
 */
export function standInCommands (plan: LocalPlan): readonly StandInCommand[] {
  const oneWay = ['--one-way-milliseconds', String(plan.sizes.oneWayMilliseconds)]
  const single = (role: string, address: string): StandInCommand => ({
    name: role,
    command: [process.execPath, STAND_IN_MAIN, role, '--address', address, ...oneWay],
    services: 1
  })
  return [
    single('table-service', plan.tableService),
    single('object-store', plan.objectStore),
    single('vm-list', plan.vmList),
    ...plan.sizes.failureDomains.map(domain => backendServersCommand(plan, domain, oneWay))
  ]
}

function backendServersCommand (plan: LocalPlan, domain: string, oneWay: readonly string[]): StandInCommand {
  const { slots, accelerators } = plan.sizes
  const servers = plan.backendServers.filter(({ failureDomain }) => failureDomain === domain)
  const named = servers.map(({ name, address }) => `${name}=${address}`).join(',')
  const capacity = ['--slots', String(slots), '--accelerators', String(accelerators)]
  return {
    name: `${domain}-backend`,
    command: [process.execPath, STAND_IN_MAIN, 'backend-server', '--servers', named, ...capacity, ...oneWay],
    services: servers.length
  }
}
