/**
 * Fault injection for the in-memory platform services and the stand-in processes.
 */
import { CornelgaugeError } from '@cornelgauge/model'
import type { Clock } from './clock.js'

/** All fault modes. `leaving` and `fail-everything` affect only backend servers. */
export const FAULT_MODES = ['none', 'down', 'slow', 'lose-answers', 'silent', 'leaving', 'fail-everything'] as const

/** A way in which a service fails. */
export type FaultMode = typeof FAULT_MODES[number]

/** Whether a call reads or changes state. */
export type Access = 'reads' | 'writes'

/** The fault to inject, and the calls that it affects. */
export interface FaultSetting {
  readonly mode: FaultMode
  /** For `slow`: the delay before each call takes effect. */
  readonly delayMilliseconds?: number
  /** Number of calls to affect before the mode returns to `none`; all calls if omitted. */
  readonly calls?: number
  /** Kind of calls to affect; all calls if omitted. */
  readonly only?: Access
  /** For `silent`, over HTTP: affects only the connections that are open now; new ones work. */
  readonly openConnectionsOnly?: boolean
}

const NO_FAULT: FaultSetting = { mode: 'none' }
const SLOW_MILLISECONDS = 1000

/** What a fault does before a call takes effect and before its response is sent. */
interface FaultHandler {
  readonly beforeEffect?: (setting: FaultSetting, clock: Clock) => Promise<void>
  readonly afterEffect?: (setting: FaultSetting, clock: Clock) => Promise<void>
}

const hang = (): Promise<void> => new Promise(() => {})

const refuse = async (): Promise<void> => {
  throw new CornelgaugeError('unavailable')
}

const delay = (setting: FaultSetting, clock: Clock): Promise<void> =>
  new Promise(resolve => clock.after(setting.delayMilliseconds ?? SLOW_MILLISECONDS, resolve))

const HANDLERS: Readonly<Record<FaultMode, FaultHandler>> = {
  none: {},
  down: { beforeEffect: refuse, afterEffect: refuse },
  slow: { beforeEffect: delay },
  'lose-answers': { afterEffect: refuse },
  silent: { beforeEffect: hang, afterEffect: hang },
  leaving: {},
  'fail-everything': {}
}

/**
 * Injects the configured fault into calls.
 *
 * @example
 * const faults = new FaultSwitch(systemClock)
 * faults.set({ mode: 'lose-answers', calls: 1, only: 'writes' })
 */
export class FaultSwitch {
  readonly #clock: Clock
  readonly #listeners = new Set<() => void>()
  #setting: FaultSetting = NO_FAULT
  #callsLeft = Infinity

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get setting (): FaultSetting {
    return this.#setting
  }

  get mode (): FaultMode {
    return this.#setting.mode
  }

  set (setting: FaultSetting): void {
    this.#setting = setting
    this.#callsLeft = setting.calls ?? Infinity
    for (const listener of [...this.#listeners]) listener()
  }

  /** Registers a listener that is called after each `set`. */
  onChange (listener: () => void): void {
    this.#listeners.add(listener)
  }

  /** Runs one call under the current fault. Without a fault, a synchronous effect takes place before this returns. */
  async apply<Result> (access: Access, effect: () => Result | Promise<Result>): Promise<Result> {
    const fault = this.#consumeFault(access)
    const handler = HANDLERS[fault.mode]
    if (handler.beforeEffect !== undefined) await handler.beforeEffect(fault, this.#clock)
    const result = await effect()
    if (handler.afterEffect !== undefined) await handler.afterEffect(fault, this.#clock)
    await this.#applyNewFault(fault, access)
    return result
  }

  /** The fault for a call of this access; counts the call against the setting's limit. */
  #consumeFault (access: Access): FaultSetting {
    const setting = this.#setting
    if (!affects(setting, access)) return NO_FAULT
    this.#callsLeft -= 1
    if (this.#callsLeft <= 0) this.#setting = NO_FAULT
    return setting
  }

  /** Applies a fault without a call limit that was set while the call was in progress, so that the call loses its response. */
  async #applyNewFault (applied: FaultSetting, access: Access): Promise<void> {
    const current = this.#setting
    if (current === applied || current.calls !== undefined || !affects(current, access)) return
    const { afterEffect } = HANDLERS[current.mode]
    if (afterEffect !== undefined) await afterEffect(current, this.#clock)
  }
}

/** True if the fault affects calls of this access. */
function affects (setting: FaultSetting, access: Access): boolean {
  if (setting.openConnectionsOnly === true) return false
  return setting.only === undefined || setting.only === access
}

const isMode = (value: unknown): value is FaultMode => (FAULT_MODES as readonly unknown[]).includes(value)
const isOptionalCount = (value: unknown): boolean => value === undefined || (typeof value === 'number' && value >= 0)
const isOptionalAccess = (value: unknown): boolean => value === undefined || value === 'reads' || value === 'writes'
const isOptionalFlag = (value: unknown): boolean => value === undefined || typeof value === 'boolean'

/**
 * Validates a fault setting from a request. Fails with `invalid-request`.
 *
 * @example
 * parseFaultSetting({ mode: 'slow', delayMilliseconds: 200 })
 */
export function parseFaultSetting (value: unknown): FaultSetting {
  const setting = (value ?? {}) as { [name: string]: unknown }
  const valid = isMode(setting.mode) && isOptionalCount(setting.delayMilliseconds) && isOptionalCount(setting.calls) &&
    isOptionalAccess(setting.only) && isOptionalFlag(setting.openConnectionsOnly)
  if (!valid) throw new CornelgaugeError('invalid-request', { detail: `A fault setting needs a mode of ${FAULT_MODES.join(', ')}` })
  return value as FaultSetting
}
