/**
 * What a contract suite needs of the implementation under test.
 */
import { asFailure } from '@cornelgauge/model'
import type { FaultSetting, VirtualClock } from '../../src/index.js'

/** One implementation of a port, with its fault switch and the clock that its service goes by. */
export interface Subject<Port> {
  readonly port: Port
  readonly clock: VirtualClock
  setFault (setting: FaultSetting): Promise<void>
  close (): Promise<void>
}

/** The code with which a call failed, or `none`. */
export async function failureCode (call: Promise<unknown>): Promise<string> {
  try {
    await call
    return 'none'
  } catch (failure) {
    return asFailure(failure).code
  }
}

/** Waits until the condition holds. */
export async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setImmediate(resolve))
}
