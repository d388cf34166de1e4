import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { vmName } from '@cornelgauge/model'
import { expect } from 'chai'
import { EventLog, Metrics, ProcessMonitor } from '../src/index.js'
import { PassThrough } from 'node:stream'

const VM = vmName('vm-1')

const withCollector = async (send: (metrics: Metrics) => void): Promise<string[]> => {
  const collector = createSocket('udp4')
  collector.bind(0, '127.0.0.1')
  await once(collector, 'listening')
  const metrics = new Metrics({ vm: VM, collector: { host: '127.0.0.1', port: collector.address().port } })
  const received = once(collector, 'message')
  send(metrics)
  await metrics.close()
  const [bytes] = await received
  collector.close()
  return String(bytes).split('\n').filter(line => line !== '')
}

describe('metrics', () => {
  it('are sent as StatsD lines with prefix, value without unit, and tags', async () => {
    const lines = await withCollector(metrics => {
      metrics.count('requests.accepted', 2, { kind: 'renewal', workspace: undefined })
      metrics.gauge('cells.owned', 3)
      metrics.measure('commits.duration', 1.5, { cell: 'tas-hobart' })
    })
    expect(lines).to.deep.equal([
      'cornelgauge.requests.accepted:2|c|#vm:vm-1,kind:renewal',
      'cornelgauge.cells.owned:3|g|#vm:vm-1',
      'cornelgauge.commits.duration:1.5|h|#vm:vm-1,cell:tas-hobart'
    ])
  })

  it('are not sent without a collector', async () => {
    const metrics = new Metrics({ vm: VM })
    metrics.count('requests.accepted')
    await metrics.close()
    expect(metrics.failures).to.equal(0)
  })

  describe('of the process', () => {
    it('report its event loop lag and memory, and a stall as an event', async () => {
      const log = new EventLog({ vm: VM, level: 'info', output: new PassThrough() })
      const lines = await withCollector(metrics => {
        let now = 0
        let sample = (): void => {}
        const every = (_milliseconds: number, callback: () => void) => {
          sample = callback
          return () => {}
        }
        const monitor = new ProcessMonitor({ metrics, log, now: () => now, every, memory: () => ({ rss: 20, heapUsed: 10 }) })
        now = 1002
        sample()
        now = 3002
        sample()
        monitor.stop()
      })
      expect(lines.filter(line => line.includes('lag'))).to.deep.equal([2, 1000].map(lag => `cornelgauge.process.event-loop.lag:${lag}|h|#vm:vm-1`))
      expect(lines).to.include('cornelgauge.process.memory.resident:20|g|#vm:vm-1')
      expect(log.eventsAfter(0, 10).map(event => event.name)).to.deep.equal(['event-loop-stalled'])
    })
  })
})
