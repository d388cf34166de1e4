import { PassThrough } from 'node:stream'
import { cellName, CornelgaugeError, requestId, requestKey, vmName, workspaceName } from '@cornelgauge/model'
import { expect } from 'chai'
import { EventLog, redact, type EventLogOptions } from '../src/index.js'

const CELL = cellName('praha')
const REQUEST = requestId(workspaceName('brno'), requestKey('swap-1'))

const logWith = (options: Partial<EventLogOptions> = {}): { log: EventLog, lines: () => Array<Record<string, unknown>> } => {
  const output = new PassThrough()
  const log = new EventLog({ vm: vmName('vm-1'), level: 'info', output, now: () => 0, ...options })
  const lines = () => String(output.read() ?? '').split('\n').filter(line => line !== '').map(line => JSON.parse(line))
  return { log, lines }
}

describe('event log', () => {
  describe('a line', () => {
    it('is one JSON object with the number, VM and logical time of its event', () => {
      const { log, lines } = logWith()
      log.emit('request-accepted', { cell: CELL, request: REQUEST, details: { kind: 'shift-swap' } })
      expect(lines()).to.deep.equal([{
        event: 401,
        name: 'request-accepted',
        level: 'info',
        message: 'The request passed admission; it is accepted once its journal row is committed.',
        vm: 'vm-1',
        index: 1,
        logicalTime: 1,
        at: '1970-01-01T00:00:00.000Z',
        cell: 'praha',
        request: 'brno/swap-1',
        details: { kind: 'shift-swap' }
      }])
    })

    it('stays one line if its details contain line breaks', () => {
      const { log, lines } = logWith()
      log.emit('unexpected-failure', { details: { where: 'a\nb\u2028c', failure: new Error('d\r\ne') } })
      expect(lines()).to.have.length(1)
    })

    it('is not written for an event below the level, which can be set at run time', () => {
      const { log, lines } = logWith({ level: 'warning' })
      log.emit('request-accepted')
      log.emit('request-unknown')
      log.level = 'debug'
      log.emit('journal-committed')
      expect(lines().map(line => line.event)).to.deep.equal([410, 300])
      expect(log.eventsAfter(0, 10)).to.have.length(3)
    })
  })

  describe('the logical clock', () => {
    it('advances with each event and each tick, and to a higher time received', () => {
      const { log } = logWith()
      expect(log.emit('process-ready').logicalTime).to.equal(1)
      expect(log.tick()).to.equal(2)
      log.witness(100)
      log.witness(50)
      expect(log.emit('process-ready').logicalTime).to.equal(101)
    })

    it('continues from a time known before a restart', () => {
      expect(logWith({ logicalTime: 500 }).log.emit('process-started').logicalTime).to.equal(501)
    })
  })

  describe('the ring', () => {
    const cases: ReadonlyArray<readonly [number, number, number[]]> = [
      [0, 10, [3, 4, 5, 6]],
      [4, 10, [5, 6]],
      [3, 2, [4, 5]],
      [6, 10, []],
      [99, 10, []],
      [0, 0, []],
      [-5, 1, [3]]
    ]
    for (const [index, limit, expected] of cases) {
      it(`returns ${JSON.stringify(expected)} after index ${index} with limit ${limit}, for 6 events and capacity 4`, () => {
        const { log } = logWith({ capacity: 4 })
        for (let count = 0; count < 6; count += 1) log.emit('process-ready')
        expect(log.eventsAfter(index, limit).map(event => event.index)).to.deep.equal(expected)
      })
    }
  })

  describe('secrets', () => {
    it('never appear in a line or an event', () => {
      const { log, lines } = logWith({ secrets: ['hunter2', ''] })
      const failure = new CornelgaugeError('unauthorized', { detail: 'got hunter2', members: { accessToken: 'abc', deep: ['hunter2!'] } })
      log.emit('peer-refused', { details: { address: 'hunter2', failure } })
      const text = JSON.stringify([lines(), log.eventsAfter(0, 1)])
      expect(text).not.to.include('hunter2').and.not.to.include('abc')
      expect(text).to.include('[redacted]')
    })

    const circular: Record<string, unknown> = { name: 'a' }
    circular.self = circular
    const cases: ReadonlyArray<readonly [string, unknown, unknown]> = [
      ['a field with the name of a secret', { peerSecret: 'a', Authorization: 'Bearer b', passwords: ['c'] }, { peerSecret: '[redacted]', Authorization: '[redacted]', passwords: '[redacted]' }],
      ['a secret inside a field name', { 'x-key1': 1 }, { 'x-[redacted]': 1 }],
      ['bytes', { body: Buffer.from('key1') }, { body: '4 bytes' }],
      ['numbers that JSON cannot represent', [NaN, Infinity, 5n], ['NaN', 'Infinity', '5']],
      ['a date', new Date(0), '1970-01-01T00:00:00.000Z'],
      ['null', { a: null }, { a: null }],
      ['values that JSON cannot represent', { a: () => 1, b: Symbol('c') }, { a: undefined, b: undefined }]
    ]
    for (const [name, value, expected] of cases) {
      it(`are redacted, and values made serializable: ${name}`, () => {
        expect(redact(value, ['key1'])).to.deep.equal(expected)
      })
    }

    it('are redacted in circular values down to a maximum depth', () => {
      expect(JSON.stringify(redact(circular, []))).to.include('"..."')
    })

    it('are redacted in long texts, which are then truncated', () => {
      const text = redact(`key1${'x'.repeat(5000)}`, ['key1']) as string
      expect(text.length).to.be.below(2100)
      expect(text).not.to.include('key1')
    })
  })
})
