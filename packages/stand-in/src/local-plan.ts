/**
 * The layout of a local deployment: the name and the addresses of every service.
 */
import { failureDomainName, vmName } from '@cornelgauge/model'
import type { ListedVm } from '@cornelgauge/ports'
import { backendServerHost, entryHost, hostAddress, HTTP_PORT, PLATFORM_BLOCK, relayHost, WIRE_PORT } from './address-plan.js'
import type { DeploymentSizes } from './local-sizes.js'

/** One entry VM. */
export interface EntryPlan {
  readonly name: string
  readonly failureDomain: string
  readonly host: string
  /** `ip:port` of the HTTP interface. */
  readonly address: string
  /** `ip:port` on which the daemon listens for peers. */
  readonly wireAddress: string
  readonly relayHost: string
  /** `ip:port` that peers connect to: its relay. */
  readonly wireAdvertise: string
}

/** One backend server. */
export interface BackendServerPlan {
  readonly name: string
  readonly failureDomain: string
  readonly rack: string
  readonly address: string
}

/** The layout of a complete local deployment. */
export interface LocalPlan {
  readonly sizes: DeploymentSizes
  /** Second number of all its IP addresses. */
  readonly deploymentNumber: number
  readonly tableService: string
  readonly objectStore: string
  readonly vmList: string
  readonly entries: readonly EntryPlan[]
  readonly backendServers: readonly BackendServerPlan[]
}

const oneTo = (count: number): readonly number[] => Array.from({ length: count }, (_, index) => index + 1)

/**
 * Lays out a deployment whose IP addresses begin with `127.DEPLOYMENT`.
 *
 * @example
 * planDeployment(DEPLOYMENTS.hlidka, 7).entries[0].address // '127.7.1.10:8080'
 */
export function planDeployment (sizes: DeploymentSizes, deploymentNumber: number): LocalPlan {
  const platformAddress = (host: number): string => `${hostAddress(deploymentNumber, PLATFORM_BLOCK, host)}:${HTTP_PORT}`
  const inEachDomain = <Plan>(count: number, plan: (domain: string, block: number, number: number) => Plan): readonly Plan[] =>
    sizes.failureDomains.flatMap((domain, index) => oneTo(count).map(number => plan(domain, index + 1, number)))
  return {
    sizes,
    deploymentNumber,
    tableService: platformAddress(1),
    objectStore: platformAddress(2),
    vmList: platformAddress(3),
    entries: inEachDomain(sizes.entryVmsPerDomain, (domain, block, number) => planEntry(deploymentNumber, domain, block, number)),
    backendServers: inEachDomain(sizes.backendServersPerDomain, (domain, block, number) => ({
      name: `${domain}-backend-${number}`,
      failureDomain: domain,
      rack: `${domain}-rack-${Math.ceil(number / sizes.serversPerRack)}`,
      address: `${backendServerHost(deploymentNumber, block, number)}:${HTTP_PORT}`
    }))
  }
}

function planEntry (deploymentNumber: number, domain: string, block: number, number: number): EntryPlan {
  const host = entryHost(deploymentNumber, block, number)
  const relay = relayHost(deploymentNumber, block, number)
  return {
    name: `${domain}-entry-${number}`,
    failureDomain: domain,
    host,
    address: `${host}:${HTTP_PORT}`,
    wireAddress: `${host}:${WIRE_PORT}`,
    relayHost: relay,
    wireAdvertise: `${relay}:${WIRE_PORT}`
  }
}

/**
 * The VM list's entries for a deployment.
 *
 * @example
 * listedVms(plan).filter(({ role }) => role === 'entry').length // 9
 */
export function listedVms ({ sizes, entries, backendServers }: LocalPlan): readonly ListedVm[] {
  const listedEntries = entries.map(({ name, failureDomain, address, wireAdvertise }): ListedVm => ({
    name: vmName(name), role: 'entry', failureDomain: failureDomainName(failureDomain), address, wireAddress: wireAdvertise, status: 'live'
  }))
  const listedServers = backendServers.map(({ name, failureDomain, rack, address }): ListedVm => ({
    name: vmName(name),
    role: 'backend-server',
    failureDomain: failureDomainName(failureDomain),
    rack,
    slots: sizes.slots,
    accelerators: sizes.accelerators,
    address,
    status: 'live'
  }))
  return [...listedEntries, ...listedServers]
}
