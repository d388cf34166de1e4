/**
 * The loopback addresses of a local deployment. Every service has its own IP address,
 * `127.DEPLOYMENT.BLOCK.HOST`. The block identifies the failure domain, so that a server
 * can derive the propagation delay to a caller from the caller's address.
 */

/** Block of the platform's own services. */
export const PLATFORM_BLOCK = 100
/** Block of callers, such as the sample load. */
export const CLIENT_BLOCK = 101
/** Block of the launcher's own interfaces. */
export const CONTROL_BLOCK = 102
/** Port of every HTTP interface. */
export const HTTP_PORT = 8080
/** Port on which entry VMs accept peer connections. */
export const WIRE_PORT = 8081

const FIRST_ENTRY_HOST = 10
const FIRST_RELAY_HOST = 50
const FIRST_BACKEND_SERVER_HOST = 100

/**
 * An IP address of a local deployment. Failure domains have the blocks 1, 2, 3 and so on.
 *
 * @example
 * hostAddress(7, PLATFORM_BLOCK, 1) // '127.7.100.1'
 */
export function hostAddress (deploymentNumber: number, block: number, host: number): string {
  return `127.${deploymentNumber}.${block}.${host}`
}

/**
 * The IP address of an entry VM, numbered from 1 in its failure domain.
 *
 * @example
 * entryHost(7, 1, 3) // '127.7.1.12'
 */
export function entryHost (deploymentNumber: number, block: number, number: number): string {
  return hostAddress(deploymentNumber, block, FIRST_ENTRY_HOST + number - 1)
}

/**
 * The IP address of the relay in front of an entry VM's peer port.
 *
 * @example
 * relayHost(7, 1, 3) // '127.7.1.52'
 */
export function relayHost (deploymentNumber: number, block: number, number: number): string {
  return hostAddress(deploymentNumber, block, FIRST_RELAY_HOST + number - 1)
}

/**
 * The IP address of a backend server, numbered from 1 in its failure domain.
 *
 * @example
 * backendServerHost(7, 1, 10) // '127.7.1.109'
 */
export function backendServerHost (deploymentNumber: number, block: number, number: number): string {
  return hostAddress(deploymentNumber, block, FIRST_BACKEND_SERVER_HOST + number - 1)
}

/**
 * The block of an IP address.
 *
 * @example
 * blockOf('127.7.2.10') // 2
 */
export function blockOf (address: string): number {
  return Number(address.split('.')[2])
}

/**
 * The one-way propagation delay between two IP addresses; 0 within a block.
 *
 * @example
 * delayBetween('127.7.1.10', '127.7.2.10', 3) // 3
 */
export function delayBetween (from: string, to: string, oneWayMilliseconds: number): number {
  return blockOf(from) === blockOf(to) ? 0 : oneWayMilliseconds
}

/**
 * Splits `ip:port`.
 *
 * @example
 * parseAddress('127.7.1.10:8080').port // 8080
 */
export function parseAddress (address: string): { readonly host: string, readonly port: number } {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) }
}
