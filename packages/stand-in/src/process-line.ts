/**
 * The JSON lines in which the processes of a local deployment announce their role and address.
 */

/** The role of a process. */
export type ProcessRole = 'entry' | 'table-service' | 'object-store' | 'vm-list' | 'backend-server'

/** One service. The backend servers of a failure domain share a process, and so a pid. */
export interface ProcessLine {
  readonly role: ProcessRole
  readonly name: string
  readonly pid: number
  /** `ip:port` of the HTTP interface. */
  readonly address: string
  /** Of an entry VM: the full command line, with which it can be started again. */
  readonly command?: string
  /** Of an entry VM: the environment variables that go with the command line. */
  readonly environment?: Readonly<Record<string, string>>
}

const isProcessLine = (value: unknown): value is ProcessLine =>
  typeof value === 'object' && value !== null && 'role' in value && 'pid' in value && 'address' in value

/**
 * Parses a process line; `undefined` if the text is not one.
 *
 * @example
 * parseProcessLine('{"role":"vm-list","name":"vm-list","pid":7,"address":"127.7.100.3:8080"}')?.pid // 7
 */
export function parseProcessLine (text: string): ProcessLine | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return isProcessLine(value) ? value : undefined
  } catch {
    return undefined
  }
}
