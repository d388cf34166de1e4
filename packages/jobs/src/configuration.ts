/** The configuration in force: queues, pools and workspaces. */
import type { Branded, WorkspaceName } from '@cornelgauge/model'
import type { PoolName, QueueName } from './ids.js'

/** Version of a configuration; increases monotonically. */
export type ConfigurationVersion = Branded<number, 'ConfigurationVersion'>

export const configurationVersion = (number: number): ConfigurationVersion => number as ConfigurationVersion

/** What a queue says of how its jobs are run. */
export interface QueueTerms {
  /** 0 is the most urgent. */
  readonly priority: number
  /** Failed runs of a task after which the job fails. */
  readonly attempts: number
  /** The objective is this many times the run time of the longest chain of steps. */
  readonly stretch: number
  /** Added to the objective, in milliseconds. */
  readonly latencyMilliseconds: number
  readonly advice?: AdvicePolicy
}

/** A queue, with the host and path prefix under which callers reach it. */
export interface Queue extends QueueTerms {
  readonly name: QueueName
  readonly host: string
  /** Path prefix of the queue's requests. */
  readonly prefix: string
  readonly pool: PoolName
  /** Timeout of a caller's request, in milliseconds. */
  readonly timeoutMilliseconds: number
  /** Requests need no key. */
  readonly isPublic: boolean
}

/** Policy of a queue whose placements an external service has to approve. */
export interface AdvicePolicy {
  /** Time of one decision, in milliseconds: a fixed part and a part per backend server in the request. */
  readonly decisionMilliseconds: number
  readonly perServerMilliseconds: number
  readonly validMilliseconds: number
}

/** A pool of backend servers. */
export interface Pool {
  readonly name: PoolName
  /** Maximum number of connections of one VM to one backend server. */
  readonly maximumConnections: number
  /** False if its backend servers accept every start, even beyond their capacity. */
  readonly enforcesCapacity: boolean
  /** Its VMs are switched off until they are moved to another pool. */
  readonly isStandby: boolean
}

/** A workspace with its keys and its guarantee. */
export interface Workspace {
  readonly name: WorkspaceName
  readonly keys: readonly string[]
  /** Accelerators that its jobs of priority 0 can get at any time. */
  readonly guaranteedAccelerators: number
}

/** Size and time limits of callers' requests. */
export interface RequestLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerMilliseconds: number
  readonly idleMilliseconds: number
}

/** One complete version of the configuration. */
export interface Configuration {
  readonly version: ConfigurationVersion
  readonly queues: readonly Queue[]
  readonly pools: readonly Pool[]
  readonly workspaces: readonly Workspace[]
  readonly limits: RequestLimits
}

/**
 * Returns the terms of a queue, which are stored with its jobs.
 *
 * @example
 * termsOf(queue).attempts
 */
export function termsOf ({ priority, attempts, stretch, latencyMilliseconds, advice }: Queue): QueueTerms {
  return { priority, attempts, stretch, latencyMilliseconds, ...(advice === undefined ? {} : { advice }) }
}

/**
 * Finds the queue for a host and path: the one with the longest matching prefix.
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
 * Finds the workspace that a key belongs to.
 *
 * @example
 * findWorkspace(configuration, 'd4a3hwrr')?.name
 */
export function findWorkspace (configuration: Configuration, key: string): Workspace | undefined {
  return configuration.workspaces.find(workspace => workspace.keys.includes(key))
}
