import { PassThrough } from 'node:stream'
import { cellName, CornelgaugeError, vmName, workspaceName } from '@cornelgauge/model'
import { expect } from 'chai'
import { Telemetry, type TelemetrySettings } from '../src/telemetry.js'

const CELL = cellName('praha')
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
  describe('log lines', () => {
    it('are JSON with the number of their event, including events of the inner protocol', async () => {
      const { telemetry, lines } = withLines()
      telemetry.emit('process-ready', { details: { milliseconds: 12 } })
      telemetry.wireEvent({ type: 'connection-opened', role: 'client', address: '127.0.0.1:1', vm: vmName('vm-2') })
      await telemetry.close()
      const found = lines()
      expect(found.map(({ event, name }) => [event, name])).to.deep.equal([[101, 'process-ready'], [700, 'connection-opened']])
      expect(found[1]!.details).to.deep.equal({ role: 'client', address: '127.0.0.1:1', peer: 'vm-2' })
    })

    it('are skipped below the configured level, but kept for the timeline', async () => {
      const { telemetry, lines } = withLines({ logLevel: 'warn' })
      telemetry.emit('process-ready')
      telemetry.emit('cell-renewal-unknown', { cell: CELL })
      await telemetry.close()
      expect(lines().map(({ name }) => name)).to.deep.equal(['cell-renewal-unknown'])
      expect(telemetry.events({ after: 0, limit: 10 })).to.have.length(2)
    })

    it('contain no secrets of the settings', async () => {
      const { telemetry, text } = withLines()
      const detail = `got ${TOKEN}, ${OPERATOR} and ${SECRET}`
      telemetry.emit('unexpected-failure', { details: { failure: new CornelgaugeError('internal', { detail }), where: detail } })
      await telemetry.close()
      const all = text() + JSON.stringify(telemetry.events({ after: 0, limit: 10 }))
      expect(all).to.include('unexpected-failure')
      for (const secret of [TOKEN, OPERATOR, SECRET]) expect(all).not.to.include(secret)
    })
  })

  describe('the timeline', () => {
    const cases: ReadonlyArray<readonly [object, number[]]> = [
      [{ after: 0, limit: 10 }, [1, 2, 3]],
      [{ after: 1, limit: 10 }, [2, 3]],
      [{ after: 0, limit: 1 }, [3]],
      [{ after: 0, limit: 1, cell: CELL }, [2]],
      [{ after: 0, limit: 10, vm: 'vm-2' }, []]
    ]
    for (const [query, times] of cases) {
      it(`returns ${JSON.stringify(times)} for ${JSON.stringify(query)}`, async () => {
        const { telemetry } = withLines()
        telemetry.emit('process-ready')
        telemetry.emit('cell-renewal-unknown', { cell: CELL })
        telemetry.emit('process-ready')
        await telemetry.close()
        expect(telemetry.events(query as never).map(({ logicalTime }) => logicalTime)).to.deep.equal(times)
      })
    }
  })
})
