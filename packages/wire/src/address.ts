/** Parsing and formatting of TCP socket addresses. */
import { CornelgaugeError } from '@cornelgauge/model'

/** A parsed address. */
export interface SocketAddress {
  readonly host: string
  readonly port: number
}

const ADDRESS_PATTERN = /^(?:\[(?<bracketed>[^\]]+)\]|(?<plain>[^:]+)):(?<port>\d{1,5})$/

/**
 * Parses an address of the form `ip:port` or `[ip]:port`.
 *
 * @throws {CornelgaugeError} `invalid-settings`
 * @example
 * parseAddress('127.0.0.1:7400') // { host: '127.0.0.1', port: 7400 }
 */
export function parseAddress (address: string): SocketAddress {
  const groups = ADDRESS_PATTERN.exec(address)?.groups
  const host = groups?.bracketed ?? groups?.plain
  const port = Number(groups?.port)
  if (host !== undefined && port > 0 && port < 65536) return { host, port }
  throw new CornelgaugeError('invalid-settings', { detail: `${JSON.stringify(address)} is no address of the form ip:port`, members: { sent: false } })
}

/**
 * Formats an address as `ip:port`, or `[ip]:port` for IPv6.
 *
 * @example
 * formatAddress({ host: '::1', port: 7400 }) // '[::1]:7400'
 */
export function formatAddress ({ host, port }: SocketAddress): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`
}
