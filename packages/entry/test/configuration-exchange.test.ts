import type { Configuration } from '@cornelgauge/jobs'
import type { RowValue } from '@cornelgauge/ports'
import { expect } from 'chai'
import { ConfigurationExchange, type ConfigurationRows } from '../src/configuration-exchange.js'
import { CurrentConfiguration } from '../src/current-configuration.js'
import { before, moment } from '../src/elapsed.js'
import { CONFIGURATION_STALE_MILLISECONDS } from '../src/limits.js'

const OLD_MILLISECONDS = CONFIGURATION_STALE_MILLISECONDS + 1000
const TOLERANCE_MILLISECONDS = 50

const rowsOf = (version: number): ReadonlyMap<string, RowValue> => new Map([['config', { version }]])
const read = (rows: ReadonlyMap<string, RowValue>): Configuration | undefined => {
  const version = rows.get('config')?.version
  if (version === 'broken') throw new TypeError('an odd row')
  return version === undefined ? undefined : { version } as unknown as Configuration
}

class Vm {
  readonly current = new CurrentConfiguration(() => {})
  readonly fetched: string[] = []
  readonly events: string[] = []
  answer: ConfigurationRows | undefined
  readonly exchange = new ConfigurationExchange({
    current: this.current,
    read,
    fetch: async address => {
      this.fetched.push(address)
      return this.answer
    },
    emit: event => { this.events.push(event) }
  })

  constructor (version: number | undefined, age: number) {
    if (version !== undefined) this.exchange.apply(rowsOf(version), before(moment(), age))
  }

  get version (): number | undefined {
    return this.current.value?.version
  }

  /** Asks another VM, whose reply arrives after a time in which neither clock advances less than here. */
  async ask (other: Vm, travelMilliseconds = 0): Promise<void> {
    const sentAt = before(moment(), travelMilliseconds)
    this.answer = other.exchange.rows
    await this.exchange.receive(other.exchange.answer(this.exchange.staleVersion), sentAt, 'address')
  }
}

// The load: callers of VMs that are cut off from the store while others reach it.
describe('the configuration of a VM that the store doesn\'t confirm', () => {
  it('takes over the age that another VM with the same version knows, and the way of the message', async () => {
    const vm = new Vm(3, OLD_MILLISECONDS)
    await vm.ask(new Vm(3, 200), 150)
    expect(vm.current.confirmationAge).to.be.within(350, 350 + TOLERANCE_MILLISECONDS)
    expect(vm.fetched).to.deep.equal([])
    expect(vm.events).to.deep.equal(['configuration-confirmed'])
  })

  it('never gets younger than the read of the store, however many VMs pass it on', async () => {
    const vms = [new Vm(3, 500), new Vm(3, OLD_MILLISECONDS), new Vm(3, OLD_MILLISECONDS)]
    await vms[1]!.ask(vms[0]!)
    expect(vms[1]!.exchange.staleVersion).to.equal(undefined)
    await vms[2]!.ask(vms[1]!)
    expect(vms[2]!.current.confirmationAge).to.be.at.least(500)
  })

  it('keeps its own age if the other VM\'s is larger', async () => {
    const vm = new Vm(3, OLD_MILLISECONDS)
    await vm.ask(new Vm(3, 2 * OLD_MILLISECONDS))
    expect(vm.events).to.deep.equal([])
    expect(vm.current.confirmationAge).to.be.within(OLD_MILLISECONDS, OLD_MILLISECONDS + TOLERANCE_MILLISECONDS)
  })

  it('isn\'t confirmed by a VM that has an older version', async () => {
    const vm = new Vm(3, OLD_MILLISECONDS)
    await vm.ask(new Vm(2, 0))
    expect(vm.current.confirmationAge).to.be.at.least(OLD_MILLISECONDS)
    expect(vm.version).to.equal(3)
  })

  it('is replaced by a newer one that another VM has', async () => {
    const vm = new Vm(3, OLD_MILLISECONDS)
    await vm.ask(new Vm(4, 300))
    expect(vm.version).to.equal(4)
    expect(vm.current.confirmationAge).to.be.within(300, 300 + TOLERANCE_MILLISECONDS)
    expect(vm.exchange.rows.rows).to.deep.equal({ config: { version: 4 } })
  })

  it('is fetched by a VM that has none', async () => {
    const vm = new Vm(undefined, 0)
    await vm.ask(new Vm(4, 300))
    expect(vm.version).to.equal(4)
  })

  it('stays as it is if the rows can\'t be had, or are decoded otherwise', async () => {
    const answers: ReadonlyArray<ConfigurationRows | undefined> = [undefined, { version: 4, age: 0, rows: {} }, { version: 4, age: 0, rows: { config: { version: 5 } } }, { version: 4, age: 0, rows: { config: { version: 'broken' } } }]
    for (const answer of answers) {
      const vm = new Vm(3, OLD_MILLISECONDS)
      vm.answer = answer
      await vm.exchange.receive({ version: 4, age: 0 }, moment(), 'address')
      expect(vm.fetched).to.deep.equal(['address'])
      expect(vm.version).to.equal(3)
      expect(vm.current.confirmationAge).to.be.at.least(OLD_MILLISECONDS)
    }
  })

  it('is fetched once at a time', async () => {
    const vm = new Vm(3, OLD_MILLISECONDS)
    const newer = { version: 4, age: 0 }
    await Promise.all([vm.exchange.receive(newer, moment(), 'a'), vm.exchange.receive(newer, moment(), 'b')])
    expect(vm.fetched).to.deep.equal(['a'])
  })
})

describe('a VM that others ask for the configuration', () => {
  it('doesn\'t answer those that don\'t ask, or have a newer one', () => {
    const { exchange } = new Vm(3, 0)
    expect(exchange.answer(undefined)).to.equal(undefined)
    expect(exchange.answer(4)).to.equal(undefined)
  })

  it('doesn\'t answer while it knows none', () => {
    expect(new Vm(undefined, 0).exchange.answer(-1)).to.equal(undefined)
  })
})

describe('the age of the configuration', () => {
  it('isn\'t increased by the end of an earlier read', () => {
    const current = new CurrentConfiguration(() => {})
    current.update(undefined, moment())
    current.update(undefined, before(moment(), 5000))
    expect(current.confirmationAge).to.be.below(TOLERANCE_MILLISECONDS)
  })
})
