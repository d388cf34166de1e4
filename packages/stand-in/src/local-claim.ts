/**
 * Claims a range of loopback addresses, so that deployments can run side by side.
 */
import { once } from 'node:events'
import { createServer, type Server } from 'node:net'
import { CornelgaugeError } from '@cornelgauge/model'
import { CONTROL_BLOCK, entryHost, hostAddress, HTTP_PORT } from './address-plan.js'

const FIRST_DEPLOYMENT = 1
const LAST_DEPLOYMENT = 250
const LOCK_HOST = 2
const LOCK_PORT = 7999

/** A range that is ours until it is released. */
export interface DeploymentClaim {
  /** Second number of the range's IP numbers. */
  readonly deployment: number
  release (): Promise<void>
}

/**
 * Claims the first free range, from `first` on. A range is free where nobody holds its lock port,
 * and nobody listens on the first entry VM's address. Fails with `unavailable`.
 *
 * @example
 * const { deployment, release } = await claimDeployment()
 */
export async function claimDeployment (first = FIRST_DEPLOYMENT): Promise<DeploymentClaim> {
  for (let deployment = first; deployment <= LAST_DEPLOYMENT; deployment++) {
    const claim = await tryClaim(deployment)
    if (claim !== undefined) return claim
  }
  throw new CornelgaugeError('unavailable', { detail: 'No range of loopback addresses is free' })
}

async function tryClaim (deployment: number): Promise<DeploymentClaim | undefined> {
  const lock = await tryListen(hostAddress(deployment, CONTROL_BLOCK, LOCK_HOST), LOCK_PORT)
  if (lock === undefined) return undefined
  const probe = await tryListen(entryHost(deployment, 1, 1), HTTP_PORT)
  if (probe === undefined) {
    await close(lock)
    return undefined
  }
  await close(probe)
  return { deployment, release: () => close(lock) }
}

async function tryListen (host: string, port: number): Promise<Server | undefined> {
  const server = createServer()
  try {
    server.listen(port, host)
    await once(server, 'listening')
    return server
  } catch {
    return undefined
  }
}

async function close (server: Server): Promise<void> {
  server.close()
  await once(server, 'close')
}
