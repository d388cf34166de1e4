/** The contract of the VM list. */
import { expect } from 'chai'
import { failureDomainName, vmName, type VmName } from '@cornelgauge/model'
import type { ListedVm, VmList } from '../../src/index.js'
import { failureCode, type Subject } from './subject.js'

/** A VM list, with a way to change the actual state that it reflects. */
export interface VmListSubject extends Subject<VmList> {
  readonly lagMilliseconds: number
  setVm (vm: ListedVm): Promise<void>
  removeVm (name: VmName): Promise<void>
}

const entryVm = (status: ListedVm['status'] = 'live'): ListedVm => ({
  name: vmName('praha-entry-1'),
  role: 'entry',
  failureDomain: failureDomainName('praha'),
  address: '127.0.0.1:8080',
  wireAddress: '127.0.0.1:8081',
  status
})

/** Defines the tests that every VM list must pass. */
export function describeVmList (title: string, open: () => Promise<VmListSubject>): void {
  describe(title, () => {
    let subject: VmListSubject

    beforeEach(async () => { subject = await open() })
    afterEach(() => subject.close())

    it('lists a VM only after the lag, with the entry that was set', async () => {
      await subject.setVm(entryVm())
      await subject.clock.advance(subject.lagMilliseconds - 1)
      expect(await subject.port.list()).to.deep.equal([])
      await subject.clock.advance(1)
      expect(await subject.port.list()).to.deep.equal([entryVm()])
    })

    it('lists a leaving VM as live until the lag has passed', async () => {
      await subject.setVm(entryVm())
      await subject.clock.advance(subject.lagMilliseconds)
      await subject.setVm(entryVm('leaving'))
      expect((await subject.port.list())[0]?.status).to.equal('live')
      await subject.clock.advance(subject.lagMilliseconds)
      expect((await subject.port.list())[0]?.status).to.equal('leaving')
    })

    it('drops a removed VM', async () => {
      await subject.setVm(entryVm())
      await subject.removeVm(entryVm().name)
      await subject.clock.advance(subject.lagMilliseconds)
      expect(await subject.port.list()).to.deep.equal([])
    })

    it('fails while it is down, and keeps its entries', async () => {
      await subject.setVm(entryVm())
      await subject.clock.advance(subject.lagMilliseconds)
      await subject.setFault({ mode: 'down' })
      expect(await failureCode(subject.port.list())).to.equal('unavailable')
      await subject.setFault({ mode: 'none' })
      expect(await subject.port.list()).to.deep.equal([entryVm()])
    })
  })
}
