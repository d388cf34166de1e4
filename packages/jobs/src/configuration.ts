/** The configuration that the operators have in force: queues, pools and workspaces. */
import type { Branded, WorkspaceName } from '@cornelgauge/model'
import type { PoolName, QueueName } from './ids.js'

/** Version of a configuration; it only rises. */
export type ConfigurationVersion = Branded<number, 'ConfigurationVersion'>

export const configurationVersion = (number: number): ConfigurationVersion => number as ConfigurationVersion

/** One queue and the address that its callers use. */
export interface Queue {
  readonly name: QueueName
  readonly host: string
  /** The beginning of the paths that belong to the queue. */
  readonly prefix: string
  readonly pool: PoolName
  /** 0 is the most urgent. */
  readonly priority: number
  /** Failed runs of a task after which the job has failed. */
  readonly attempts: number
  /** The objective is this many times the work of the longest chain of steps. */
  readonly stretch: number
  /** Added to the objective, in milliseconds. */
  readonly latencyMilliseconds: number
  /** Longest time that a caller's request may take, in milliseconds. */
  readonly timeoutMilliseconds: number
  /** Needs no key. */
  readonly isPublic: boolean
  readonly advice?: AdvicePolicy
}

/** A queue whose tasks only an outside service may place. */
export interface AdvicePolicy {
  /** Time of one decision, and of each backend server named, in milliseconds. */
  readonly decisionMilliseconds: number
  readonly perServerMilliseconds: number
  readonly validMilliseconds: number
}

/** One pool. */
export interface Pool {
  readonly name: PoolName
  /** Connections that one VM may hold to one backend server. */
  readonly maximumConnections: number
  /** False: its backend servers start what they are told, whether it fits or not. */
  readonly enforcesCapacity: boolean
  /** Its VMs are off until they are moved elsewhere. */
  readonly isStandby: boolean
}

/** One workspace. */
export interface Workspace {
  readonly name: WorkspaceName
  readonly keys: readonly string[]
  /** Accelerators that its jobs of priority 0 can have at any time. */
  readonly guaranteedAccelerators: number
}

/** Bounds on callers' requests. */
export interface RequestLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerMilliseconds: number
  readonly idleMilliseconds: number
}

/** One version, whole. */
export interface Configuration {
  readonly version: ConfigurationVersion
  readonly queues: readonly Queue[]
  readonly pools: readonly Pool[]
  readonly workspaces: readonly Workspace[]
  readonly limits: RequestLimits
}

/**
 * The queue that a host and path select: the longest prefix wins.
 *
 * @example
 * findQueue(configuration, 'rota.example', '/term/17')?.name
 */
export function findQueue (configuration: Configuration, host: string, path: string): Queue | undefined {
  let found: Queue | undefined
  for (const queue of configuration.queues) {
    const isMatch = queue.host === host && path.startsWith(queue.prefix)
    if (isMatch && queue.prefix.length > (found?.prefix.length ?? -1)) found = queue
  }
  return found
}

/**
 * The workspace that holds a key.
 *
 * @example
 * findWorkspace(configuration, 'd4a3hwrr')?.name
 */
export function findWorkspace (configuration: Configuration, key: string): Workspace | undefined {
  return configuration.workspaces.find(workspace => workspace.keys.includes(key))
}
