/**
 * Settings of the daemon: each is a flag and an environment variable. All of them
 * are validated at startup, and all faults are reported together.
 */
import { CornelgaugeError, failureDomainName, vmName, workspaceName, type FailureDomainName, type VmName, type WorkspaceName } from '@cornelgauge/model'
import { z } from 'zod'

/** Declaration of a setting, for the flag, the environment variable and the help text. */
export interface SettingDeclaration {
  readonly description: string
  readonly valueHint: string
  readonly default?: string
}

/** All settings, by the name of the flag. */
export const SETTING_DECLARATIONS = {
  vm: { description: 'Name of this VM', valueHint: 'NAME' },
  'failure-domain': { description: 'Failure domain of this VM', valueHint: 'NAME' },
  address: { description: 'Address at which callers and operators reach it over HTTP', valueHint: 'IP:PORT' },
  'wire-address': { description: 'Address at which it listens for its peers', valueHint: 'IP:PORT' },
  'wire-advertise': { description: 'Address at which its peers reach it, if different', valueHint: 'IP:PORT', default: '' },
  'table-service': { description: 'Address of the platform\'s table service', valueHint: 'IP:PORT' },
  'object-store': { description: 'Address of the platform\'s object store', valueHint: 'IP:PORT' },
  'vm-list': { description: 'Address of the platform\'s VM list', valueHint: 'IP:PORT' },
  environment: { description: 'Environment whose document is in force here', valueHint: 'trial|production', default: 'production' },
  'workspace-tokens': { description: 'Accepted tokens of callers; a workspace may have several', valueHint: 'NAME=TOKEN,...' },
  'operator-tokens': { description: 'Accepted tokens of operators', valueHint: 'TOKEN,...' },
  'peer-secrets': { description: 'Secrets of the inner protocol; the first is used, and all are accepted', valueHint: 'SECRET,...' },
  'metrics-address': { description: 'StatsD address for metrics; none are sent without it', valueHint: 'IP:PORT', default: '' },
  'log-level': { description: 'Lowest level of log lines', valueHint: 'error|warn|info|debug', default: 'info' },
  'lame-duck-milliseconds': { description: 'How long a stopping daemon still accepts requests while it reports that it is not ready', valueHint: 'MILLISECONDS', default: '1000' }
} as const satisfies Record<string, SettingDeclaration>

/** Name of a setting. */
export type SettingName = keyof typeof SETTING_DECLARATIONS

/** An `ip:port`. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** An accepted token of a caller. */
export interface WorkspaceToken {
  readonly workspace: WorkspaceName
  readonly token: string
}

/** The validated settings. */
export interface Settings {
  readonly vm: VmName
  readonly failureDomain: FailureDomainName
  readonly address: Address
  readonly wireAddress: Address
  readonly wireAdvertise: string
  readonly tableService: string
  readonly objectStore: string
  readonly vmList: string
  readonly environment: 'trial' | 'production'
  readonly workspaceTokens: readonly WorkspaceToken[]
  readonly operatorTokens: readonly string[]
  readonly peerSecrets: readonly string[]
  readonly metricsAddress: Address | undefined
  readonly logLevel: 'error' | 'warn' | 'info' | 'debug'
  readonly lameDuckMilliseconds: number
}

const MINIMUM_SECRET_LENGTH = 8
const HIGHEST_PORT = 65_535
const LONGEST_LAME_DUCK_MILLISECONDS = 60_000

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be lower-case letters, digits and hyphens')
const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be IP:PORT').refine(text => portOf(text) <= HIGHEST_PORT, 'has a port out of range')
const secret = z.string().min(MINIMUM_SECRET_LENGTH, `must have at least ${MINIMUM_SECRET_LENGTH} characters`)
const secrets = z.string().transform(splitList).pipe(z.array(secret).min(1, 'must have at least one entry'))
const workspaceToken = z.string().regex(/^[a-z0-9][a-z0-9-]*=.+$/, 'must be NAME=TOKEN').transform(splitToken)
  .pipe(z.object({ workspace: z.custom<WorkspaceName>(), token: secret }))

const schema = z.object({
  vm: name,
  'failure-domain': name,
  address,
  'wire-address': address,
  'wire-advertise': z.union([z.literal(''), address]),
  'table-service': address,
  'object-store': address,
  'vm-list': address,
  environment: z.enum(['trial', 'production']),
  'workspace-tokens': z.string().transform(splitList).pipe(z.array(workspaceToken).min(1, 'must have at least one entry')),
  'operator-tokens': secrets,
  'peer-secrets': secrets,
  'metrics-address': z.union([z.literal(''), address]),
  'log-level': z.enum(['error', 'warn', 'info', 'debug']),
  'lame-duck-milliseconds': z.coerce.number().int().min(0).max(LONGEST_LAME_DUCK_MILLISECONDS)
})

/**
 * Returns the name of the environment variable of a setting.
 *
 * @example
 * environmentVariable('wire-address') // 'CORNELGAUGE_WIRE_ADDRESS'
 */
export function environmentVariable (setting: string): string {
  return `CORNELGAUGE_${setting.toUpperCase().replaceAll('-', '_')}`
}

/**
 * Reads and validates the settings; a flag takes precedence over its environment variable.
 *
 * @example
 * const settings = readSettings({ vm: 'praha-1' }, process.env)
 * @throws CornelgaugeError `invalid-settings` with every fault in the member `faults`
 */
export function readSettings (flags: Readonly<Record<string, unknown>>, environment: NodeJS.ProcessEnv): Settings {
  const given = Object.fromEntries(Object.entries(SETTING_DECLARATIONS).map(([setting, declaration]) =>
    [setting, flags[setting] ?? environment[environmentVariable(setting)] ?? (declaration as SettingDeclaration).default]))
  const result = schema.safeParse(given)
  if (!result.success) throw faultsOf(result.error)
  return settingsOf(result.data)
}

function faultsOf (error: z.ZodError): CornelgaugeError {
  const faults = error.issues.map(issue => {
    const setting = String(issue.path[0])
    return { setting, flag: `--${setting}`, environmentVariable: environmentVariable(setting), detail: issue.message }
  })
  const detail = faults.map(fault => `${fault.flag} (${fault.environmentVariable}): ${fault.detail}`).join('\n')
  return new CornelgaugeError('invalid-settings', { detail, members: { faults } })
}

function settingsOf (data: z.infer<typeof schema>): Settings {
  return {
    vm: vmName(data.vm),
    failureDomain: failureDomainName(data['failure-domain']),
    address: parseAddress(data.address),
    wireAddress: parseAddress(data['wire-address']),
    wireAdvertise: data['wire-advertise'] === '' ? data['wire-address'] : data['wire-advertise'],
    tableService: data['table-service'],
    objectStore: data['object-store'],
    vmList: data['vm-list'],
    environment: data.environment,
    workspaceTokens: data['workspace-tokens'],
    operatorTokens: data['operator-tokens'],
    peerSecrets: data['peer-secrets'],
    metricsAddress: data['metrics-address'] === '' ? undefined : parseAddress(data['metrics-address']),
    logLevel: data['log-level'],
    lameDuckMilliseconds: data['lame-duck-milliseconds']
  }
}

function splitList (text: string): string[] {
  return text.split(',').map(part => part.trim()).filter(part => part !== '')
}

function splitToken (text: string): WorkspaceToken {
  const at = text.indexOf('=')
  return { workspace: workspaceName(text.slice(0, at)), token: text.slice(at + 1) }
}

function parseAddress (text: string): Address {
  return { host: text.slice(0, text.lastIndexOf(':')), port: portOf(text) }
}

function portOf (text: string): number {
  return Number(text.slice(text.lastIndexOf(':') + 1))
}
