/**
 * The VM list in memory, lagging behind the truth that it is told.
 */
import type { VmName } from '@cornelgauge/model'
import { systemClock, type Clock } from './clock.js'
import { FaultSwitch } from './fault-switch.js'
import type { ListedVm, VmList } from './vm-list.js'

/** One change of the truth; without `vm`, that VM is gone. */
interface Change {
  readonly at: number
  readonly name: VmName
  readonly vm?: ListedVm
}

/**
 * A VM list that shows each change only after its lag.
 *
 * @example
 * const vms = new MemoryVmList(2000)
 * vms.setVm(vm)
 */
export class MemoryVmList implements VmList {
  readonly faults: FaultSwitch
  readonly #clock: Clock
  readonly #lagMilliseconds: number
  readonly #shown = new Map<VmName, ListedVm>()
  #changes: readonly Change[] = []

  constructor (lagMilliseconds = 0, clock: Clock = systemClock) {
    this.faults = new FaultSwitch(clock)
    this.#clock = clock
    this.#lagMilliseconds = lagMilliseconds
  }

  setVm (vm: ListedVm): void {
    this.#changes = [...this.#changes, { at: this.#clock.now(), name: vm.name, vm }]
  }

  removeVm (name: VmName): void {
    this.#changes = [...this.#changes, { at: this.#clock.now(), name }]
  }

  list (): Promise<readonly ListedVm[]> {
    return this.faults.apply('reads', () => {
      this.#showDue()
      return [...this.#shown.values()]
    })
  }

  #showDue (): void {
    const horizon = this.#clock.now() - this.#lagMilliseconds
    for (const change of this.#changes.filter(({ at }) => at <= horizon)) this.#show(change)
    this.#changes = this.#changes.filter(({ at }) => at > horizon)
  }

  #show ({ name, vm }: Change): void {
    if (vm === undefined) this.#shown.delete(name)
    else this.#shown.set(name, vm)
  }
}
