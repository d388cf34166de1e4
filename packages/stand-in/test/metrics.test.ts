import { createSocket, type Socket } from 'node:dgram'
import { once } from 'node:events'
import { PassThrough } from 'node:stream'
import { Telemetry, type TelemetrySettings } from '@cornelgauge/daemon/parts'
import { vmName } from '@cornelgauge/model'
import { expect } from 'chai'
import { swap } from '../src/builders.js'
import { CELL, Rig } from '../src/rig.js'

const SETTINGS: TelemetrySettings = { vm: vmName('vm-1'), logLevel: 'info', workspaceTokens: [], operatorTokens: [], peerSecrets: [], metricsAddress: undefined }
const NO_TRAFFIC = { connections: 0, callsInFlight: 0, framesSent: 0, framesReceived: 0, bytesSent: 0, bytesReceived: 0 }

describe('metrics of the daemon', () => {
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

  it('of one swap arrive at a UDP socket', async () => {
    const telemetry = new Telemetry({ ...SETTINGS, metricsAddress: { host: '127.0.0.1', port: collector.address().port } }, new PassThrough())
    const rig = await Rig.start(2)
    rig.onStep = telemetry.onStep
    const submission = swap('swap-1', rig.clock.now())
    expect((await rig.settleOutcome(rig.submit(rig.nonOwner, submission))).state).to.equal('finished')
    telemetry.emit('cell-recovered', { cell: CELL, details: { milliseconds: 7 } })
    const wire = { client: { ...NO_TRAFFIC, bytesSent: 40 }, server: { ...NO_TRAFFIC, bytesSent: 2 } }
    const table = { reads: 5, writes: 3, readsPerSecond: 0, writesPerSecond: 0 }
    const readings = { cells: rig.owner!.host.states, table, wire, document: { environment: 'trial', version: 4 } }
    telemetry.sendReadings(readings)
    telemetry.sendReadings({ ...readings, table: { ...table, writes: 10 } })
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
