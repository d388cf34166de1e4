/**
 * The fault switch that every in-memory form of a platform service carries, and
 * that the stand-in processes share.
 */
import { CornelgaugeError } from '@cornelgauge/model'
import type { Clock } from './clock.js'

/** Each fault mode. `leaving` and `fail-everything` mean something to backend servers alone. */
export const FAULT_MODES = ['none', 'down', 'slow', 'lose-answers', 'silent', 'leaving', 'fail-everything'] as const

/** How a service misbehaves. */
export type FaultMode = typeof FAULT_MODES[number]

/** Whether a call changes anything. */
export type Access = 'reads' | 'writes'

/** What the switch is set to. */
export interface FaultSetting {
  readonly mode: FaultMode
  /** For `slow`: how long each call waits before it takes effect. */
  readonly delayMilliseconds?: number
  /** How many calls suffer the fault before the switch goes back to `none`; all, where it is missing. */
  readonly calls?: number
  /** Which calls suffer it; all, where it is missing. */
  readonly only?: Access
  /** For `silent`, over HTTP: only connections that are open now fall silent, and new ones work. */
  readonly openConnectionsOnly?: boolean
}

const NO_FAULT: FaultSetting = { mode: 'none' }
const SLOW_MILLISECONDS = 1000

/** What a fault does to a call on its way in and to its answer on the way out. */
interface FaultHandler {
  readonly arrive?: (setting: FaultSetting, clock: Clock) => Promise<void>
  readonly leave?: (setting: FaultSetting, clock: Clock) => Promise<void>
}

const never = (): Promise<void> => new Promise(() => {})

const refuse = async (): Promise<void> => {
  throw new CornelgaugeError('unavailable')
}

const delay = (setting: FaultSetting, clock: Clock): Promise<void> =>
  new Promise(resolve => clock.after(setting.delayMilliseconds ?? SLOW_MILLISECONDS, resolve))

const HANDLERS: Readonly<Record<FaultMode, FaultHandler>> = {
  none: {},
  down: { arrive: refuse, leave: refuse },
  slow: { arrive: delay },
  'lose-answers': { leave: refuse },
  silent: { arrive: never, leave: never },
  leaving: {},
  'fail-everything': {}
}

/**
 * Makes calls fail as it is set to.
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

  /** Calls the listener after each change by `set`. */
  onChange (listener: () => void): void {
    this.#listeners.add(listener)
  }

  /** Runs one call under the fault in force. Without a fault, a synchronous effect takes place before this returns. */
  async apply<Result> (access: Access, effect: () => Result | Promise<Result>): Promise<Result> {
    const taken = this.#take(access)
    const handler = HANDLERS[taken.mode]
    if (handler.arrive !== undefined) await handler.arrive(taken, this.#clock)
    const result = await effect()
    if (handler.leave !== undefined) await handler.leave(taken, this.#clock)
    await this.#leaveUnderNewFault(taken, access)
    return result
  }

  #take (access: Access): FaultSetting {
    const setting = this.#setting
    if (!concerns(setting, access)) return NO_FAULT
    this.#callsLeft -= 1
    if (this.#callsLeft <= 0) this.#setting = NO_FAULT
    return setting
  }

  /** A call that was under way when a lasting fault was switched on loses its answer to it. */
  async #leaveUnderNewFault (taken: FaultSetting, access: Access): Promise<void> {
    const current = this.#setting
    if (current === taken || current.calls !== undefined || !concerns(current, access)) return
    const { leave } = HANDLERS[current.mode]
    if (leave !== undefined) await leave(current, this.#clock)
  }
}

/** True where a call of this access suffers the fault. */
function concerns (setting: FaultSetting, access: Access): boolean {
  if (setting.openConnectionsOnly === true) return false
  return setting.only === undefined || setting.only === access
}

const isMode = (value: unknown): value is FaultMode => (FAULT_MODES as readonly unknown[]).includes(value)
const isOptionalCount = (value: unknown): boolean => value === undefined || (typeof value === 'number' && value >= 0)
const isOptionalAccess = (value: unknown): boolean => value === undefined || value === 'reads' || value === 'writes'
const isOptionalFlag = (value: unknown): boolean => value === undefined || typeof value === 'boolean'

/**
 * Checks a fault setting that came from outside. Fails with `invalid-request`.
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
