/**
 * Reserves a range of loopback addresses, so that several deployments can run on one machine.
 */
import { once } from 'node:events'
import { createServer, type Server } from 'node:net'
import { CornelgaugeError } from '@cornelgauge/model'
import { CONTROL_BLOCK, entryHost, hostAddress, HTTP_PORT } from './address-plan.js'

const FIRST_DEPLOYMENT_NUMBER = 1
const LAST_DEPLOYMENT_NUMBER = 250
const LOCK_HOST_NUMBER = 2
const LOCK_PORT = 7999

/** An address range reserved by this process until it is released. */
export interface DeploymentClaim {
  /** Second number of the range's IP addresses, as in `127.DEPLOYMENT.BLOCK.HOST`. */
  readonly deploymentNumber: number
  release (): Promise<void>
}

/**
 * Reserves the first free range, from `firstNumber` on. A range is free when its lock port and the HTTP
 * address of its first entry VM can be bound. Fails with `unavailable`.
 *
 * @example
 * const { deploymentNumber, release } = await claimDeployment()
 */
export async function claimDeployment (firstNumber = FIRST_DEPLOYMENT_NUMBER): Promise<DeploymentClaim> {
  for (let deploymentNumber = firstNumber; deploymentNumber <= LAST_DEPLOYMENT_NUMBER; deploymentNumber++) {
    const claim = await tryClaim(deploymentNumber)
    if (claim !== undefined) return claim
  }
  throw new CornelgaugeError('unavailable', { detail: 'No range of loopback addresses is free' })
}

async function tryClaim (deploymentNumber: number): Promise<DeploymentClaim | undefined> {
  const lock = await tryListen(hostAddress(deploymentNumber, CONTROL_BLOCK, LOCK_HOST_NUMBER), LOCK_PORT)
  if (lock === undefined) return undefined
  const probe = await tryListen(entryHost(deploymentNumber, 1, 1), HTTP_PORT)
  if (probe === undefined) {
    await close(lock)
    return undefined
  }
  await close(probe)
  return { deploymentNumber, release: () => close(lock) }
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
