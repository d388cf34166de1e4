import { expect } from 'chai'
import { MemoryBackendServer, MemoryObjectStore, MemoryTableService, MemoryVmList, VirtualClock, type FaultSetting, type FaultSwitch } from '../src/index.js'
import { describeBackendServer, describeObjectStore, describeTableService, describeVmList, type Subject } from './contract/index.js'

const LAG_MILLISECONDS = 2000

const subjectOf = <Port extends { readonly faults: FaultSwitch }>(port: Port, clock: VirtualClock): Subject<Port> => ({
  port,
  clock,
  setFault: async (setting: FaultSetting) => port.faults.set(setting),
  close: async () => {}
})

describe('in-memory services', () => {
  describeTableService('table service', async () => {
    const clock = new VirtualClock()
    return subjectOf(new MemoryTableService(clock), clock)
  })

  describeObjectStore('object store', async () => {
    const clock = new VirtualClock()
    return subjectOf(new MemoryObjectStore(clock), clock)
  })

  describeVmList('VM list', async () => {
    const clock = new VirtualClock()
    const vms = new MemoryVmList(LAG_MILLISECONDS, clock)
    return {
      ...subjectOf(vms, clock),
      lagMilliseconds: LAG_MILLISECONDS,
      setVm: async vm => vms.setVm(vm),
      removeVm: async name => vms.removeVm(name)
    }
  })

  describeBackendServer('backend server', async () => {
    const clock = new VirtualClock()
    const server = new MemoryBackendServer({ slots: 8, accelerators: 8, clock })
    return { ...subjectOf(server, clock), server }
  })

  describe('counters of the table service', () => {
    it('count a transaction as one write, even if it conflicts, and each read and range as one read', async () => {
      const clock = new VirtualClock(0)
      const tables = new MemoryTableService(clock)
      const put = { type: 'put', table: 'rows', key: 'a', value: {} } as const
      await tables.write({ conditions: [], operations: [put, { ...put, key: 'b' }] })
      await tables.write({ conditions: [{ type: 'absent', table: 'rows', key: 'a' }], operations: [put] }).catch(() => {})
      await clock.advance(1000)
      await tables.write({ conditions: [], operations: [put] })
      await tables.read('rows', 'a')
      await tables.range({ table: 'rows' })
      expect(tables.counters).to.deep.equal({ writes: 3, reads: 2, peakWritesPerSecond: 2, peakReadsPerSecond: 2 })
    })
  })
})
