/**
 * The in-memory VM list, which lags behind the changes made to it.
 */
import type { VmName } from '@cornelgauge/model'
import { systemClock, type Clock } from './clock.js'
import { FaultSwitch } from './fault-switch.js'
import type { ListedVm, VmList } from './vm-list.js'

/** One change of the actual state; without `vm` the entry was removed. */
interface VmChange {
  readonly changedAt: number
  readonly name: VmName
  readonly vm?: ListedVm
}

/**
 * A VM list in which each change becomes visible after a lag.
 *
 * @example
 * const vms = new MemoryVmList(2000)
 * vms.setVm(vm)
 */
export class MemoryVmList implements VmList {
  readonly faults: FaultSwitch
  readonly #clock: Clock
  readonly #lagMilliseconds: number
  readonly #visible = new Map<VmName, ListedVm>()
  #pendingChanges: readonly VmChange[] = []

  constructor (lagMilliseconds = 0, clock: Clock = systemClock) {
    this.faults = new FaultSwitch(clock)
    this.#clock = clock
    this.#lagMilliseconds = lagMilliseconds
  }

  setVm (vm: ListedVm): void {
    this.#pendingChanges = [...this.#pendingChanges, { changedAt: this.#clock.now(), name: vm.name, vm }]
  }

  removeVm (name: VmName): void {
    this.#pendingChanges = [...this.#pendingChanges, { changedAt: this.#clock.now(), name }]
  }

  list (): Promise<readonly ListedVm[]> {
    return this.faults.apply('reads', () => {
      this.#applyDueChanges()
      return [...this.#visible.values()]
    })
  }

  #applyDueChanges (): void {
    const horizon = this.#clock.now() - this.#lagMilliseconds
    for (const change of this.#pendingChanges.filter(({ changedAt }) => changedAt <= horizon)) this.#apply(change)
    this.#pendingChanges = this.#pendingChanges.filter(({ changedAt }) => changedAt > horizon)
  }

  #apply ({ name, vm }: VmChange): void {
    if (vm === undefined) this.#visible.delete(name)
    else this.#visible.set(name, vm)
  }
}
