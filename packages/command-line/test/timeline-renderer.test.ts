import { cellName, vmName } from '@cornelgauge/model'
import type { TimelineEvent } from '@cornelgauge/telemetry'
import { expect } from 'chai'
import { timelineRenderer } from '../src/index.js'

const event = (vm: string, logicalTime: number, cell: string): TimelineEvent =>
  ({ event: 1, name: 'cell-acquired', vm: vmName(vm), index: logicalTime, logicalTime, at: 0, cell: cellName(cell) })

describe('timelineRenderer', () => {
  const events = [event('praha-1', 5, 'praha'), event('plzen-1', 2, 'plzen'), event('plzen-1', 3, 'praha')]

  it('renders the matching events in causal order', () => {
    const lines = timelineRenderer.renderText(events, { cell: 'praha' }).split('\n')
    expect(lines.map(line => line.trim().split(/ +/)[0])).to.deep.equal(['3', '5'])
  })

  it('states the filter in the title of the page', () => {
    expect(timelineRenderer.renderHtml(events, { cell: 'praha', vm: 'praha-1' })).to.contain('Timeline of cell praha, VM praha-1')
  })
})
