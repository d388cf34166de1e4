/**
 * What a contract test needs from the implementation under test.
 */
import { asFailure } from '@cornelgauge/model'
import type { FaultSetting, VirtualClock } from '../../src/index.js'

/** One implementation of a port, with the clock of its service and a way to inject faults. */
export interface Subject<Port> {
  readonly port: Port
  readonly clock: VirtualClock
  setFault (setting: FaultSetting): Promise<void>
  close (): Promise<void>
}

/** The error code of a failed call, or `none` if it succeeded. */
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
