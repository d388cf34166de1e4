import { createSocket, type Socket } from 'node:dgram'
import { once } from 'node:events'
import { PassThrough } from 'node:stream'
import { Telemetry, type TelemetrySettings } from '@cornelgauge/daemon/parts'
import { CornelgaugeError, vmName, workspaceName } from '@cornelgauge/model'
import type { WireStatistics } from '@cornelgauge/wire'
import { expect } from 'chai'
import { swap } from '../src/builders.js'
import { CELL, Rig } from '../src/rig.js'

const TOKEN = 'token-of-praha-1'
const OPERATOR = 'token-of-operator'
const SECRET = 'secret-of-peers-1'
const SETTINGS: TelemetrySettings = {
  vm: vmName('vm-1'),
  logLevel: 'info',
  workspaceTokens: [{ workspace: workspaceName('praha'), token: TOKEN }],
  operatorTokens: [OPERATOR],
  peerSecrets: [SECRET],
  metricsAddress: undefined
}
const NO_TRAFFIC: WireStatistics = { connections: 0, callsInFlight: 0, framesSent: 0, framesReceived: 0, bytesSent: 0, bytesReceived: 0 }

interface Line {
  readonly event: number
  readonly name: string
  readonly details?: Readonly<Record<string, unknown>>
}

function withLines (settings: Partial<TelemetrySettings> = {}): { telemetry: Telemetry, text: () => string, lines: () => Line[] } {
  const output = new PassThrough()
  const telemetry = new Telemetry({ ...SETTINGS, ...settings }, output)
  const text = (): string => String(output.read() ?? '')
  return { telemetry, text, lines: () => text().split('\n').filter(line => line !== '').map(line => JSON.parse(line) as Line) }
}

describe('telemetry of the daemon', () => {
  describe('lines', () => {
    it('are JSON with the number of their event, reports of the inner protocol too', async () => {
      const { telemetry, lines } = withLines()
      telemetry.emit('process-ready', { details: { milliseconds: 12 } })
      telemetry.wireEvent({ type: 'connection-opened', role: 'client', address: '127.0.0.1:1', vm: vmName('vm-2') })
      await telemetry.close()
      const found = lines()
      expect(found.map(({ event, name }) => [event, name])).to.deep.equal([[101, 'process-ready'], [700, 'connection-opened']])
      expect(found[1]!.details).to.deep.equal({ role: 'client', address: '127.0.0.1:1', peer: 'vm-2' })
    })

    it('are left out below the level of the settings, and kept for the time line', async () => {
      const { telemetry, lines } = withLines({ logLevel: 'warn' })
      telemetry.emit('process-ready')
      telemetry.emit('cell-renewal-unknown', { cell: CELL })
      await telemetry.close()
      expect(lines().map(({ name }) => name)).to.deep.equal(['cell-renewal-unknown'])
      expect(telemetry.events({ after: 0, limit: 10 })).to.have.length(2)
    })

    it('hold no secret of the settings', async () => {
      const { telemetry, text } = withLines()
      const detail = `got ${TOKEN}, ${OPERATOR} and ${SECRET}`
      telemetry.emit('unexpected-failure', { details: { failure: new CornelgaugeError('internal', { detail }), where: detail } })
      await telemetry.close()
      const all = text() + JSON.stringify(telemetry.events({ after: 0, limit: 10 }))
      expect(all).to.include('unexpected-failure')
      for (const secret of [TOKEN, OPERATOR, SECRET]) expect(all).not.to.include(secret)
    })
  })

  describe('the time line', () => {
    const cases: ReadonlyArray<readonly [object, number[]]> = [
      [{ after: 0, limit: 10 }, [1, 2, 3]],
      [{ after: 1, limit: 10 }, [2, 3]],
      [{ after: 0, limit: 1 }, [3]],
      [{ after: 0, limit: 1, cell: CELL }, [2]],
      [{ after: 0, limit: 10, vm: 'vm-2' }, []]
    ]
    for (const [query, times] of cases) {
      it(`gives ${JSON.stringify(times)} for ${JSON.stringify(query)}`, async () => {
        const { telemetry } = withLines()
        telemetry.emit('process-ready')
        telemetry.emit('cell-renewal-unknown', { cell: CELL })
        telemetry.emit('process-ready')
        await telemetry.close()
        expect(telemetry.events(query as never).map(({ logicalTime }) => logicalTime)).to.deep.equal(times)
      })
    }
  })

  describe('metrics', () => {
    let collector: Socket
    let packets: string[]

    beforeEach(async () => {
      packets = []
      collector = createSocket('udp4')
      collector.on('message', bytes => { packets.push(...String(bytes).split('\n')) })
      collector.bind(0, '127.0.0.1')
      await once(collector, 'listening')
    })

    afterEach(() => { collector.close() })

    const received = async (line: string): Promise<void> => {
      while (!packets.some(packet => packet.startsWith(`cornelgauge.${line}`))) await once(collector, 'message')
    }

    it('of one swap come to a socket', async () => {
      const { telemetry } = withLines({ metricsAddress: { host: '127.0.0.1', port: collector.address().port } })
      const rig = await Rig.start(2)
      rig.onStep = telemetry.onStep
      const submission = swap('swap-1', rig.clock.now())
      expect((await rig.outcome(rig.submit(rig.entry, submission))).state).to.equal('finished')
      telemetry.emit('cell-recovered', { cell: CELL, details: { milliseconds: 7 } })
      const wire = { client: { ...NO_TRAFFIC, bytesSent: 40 }, server: { ...NO_TRAFFIC, bytesSent: 2 } }
      const table = { reads: 5, writes: 3, readsPerSecond: 0, writesPerSecond: 0 }
      const readings = { cells: rig.owner!.host.states, table, wire, document: { environment: 'trial', version: 4 } }
      telemetry.readings(readings)
      telemetry.readings({ ...readings, table: { ...table, writes: 10 } })
      await telemetry.close()
      const tags = `#vm:vm-1,workspace:${submission.workspace},kind:${submission.kind}`
      for (const line of [
        `requests.accepted:1|c|${tags}`, `requests.ended:1|c|${tags},state:finished`, 'requests.wait:', 'requests.completion:', 'requests.answer.size:',
        `commits.finished:1|c|#vm:vm-1,cell:${CELL}`, 'commits.duration:', 'commits.transitions:', 'decisions.duration:',
        `cells.recovery:7|h|#vm:vm-1,cell:${CELL}`, 'cells.owned:1|g', 'servers.available:4|g',
        'wire.bytes.sent:42|c', 'wire.bytes.sent:0|c', 'table.writes:3|c', 'table.writes:7|c', 'document.version:4|g'
      ]) await received(line)
    })
  })
})
