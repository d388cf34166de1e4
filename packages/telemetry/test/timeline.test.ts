import { cellName, vmName, type RequestId } from '@cornelgauge/model'
import { expect } from 'chai'
import fastCheck from 'fast-check'
import { PassThrough } from 'node:stream'
import { estimateOffsets, EventLog, filterEvents, mergeEvents, renderPage, renderText, type TimelineEvent } from '../src/index.js'

const SEED = 43

const event = (vm: string, index: number, logicalTime: number, fields: Partial<TimelineEvent> = {}): TimelineEvent =>
  ({ event: 101, name: 'process-ready', vm: vmName(vm), index, logicalTime, at: 0, ...fields })

describe('timeline', () => {
  describe('merging', () => {
    it('orders by logical time, then VM, then index, and never by wall clocks', () => {
      const first = [event('b', 1, 1, { at: 900 }), event('b', 2, 3, { at: 901 })]
      const second = [event('a', 1, 2, { at: 100 }), event('a', 2, 3, { at: 101 })]
      expect(mergeEvents([first, second]).map(({ vm, index }) => `${vm}${index}`)).to.deep.equal(['b1', 'a1', 'a2', 'b2'])
    })

    it('removes duplicates of an event, but keeps events of a restarted process with the same index', () => {
      const restarted = event('a', 1, 40)
      expect(mergeEvents([[event('a', 1, 2)], [event('a', 1, 2), restarted]])).to.have.length(2)
    })

    it('orders the receipt of a message after its sending, for random message sequences and clock skews', () => {
      const messageSequences = fastCheck.array(fastCheck.tuple(fastCheck.nat(3), fastCheck.nat(3), fastCheck.integer()), { maxLength: 60 })
      fastCheck.assert(fastCheck.property(messageSequences, messages => {
        const skews = [0, -5e6, 3e6, 17]
        const logs = skews.map((skew, vm) => new EventLog({ vm: vmName(`vm-${vm}`), level: 'error', output: new PassThrough(), now: () => skew }))
        const pairs = messages.map(([from, to]) => {
          const sent = logs[from]!.emit('request-accepted')
          logs[to]!.witness(logs[from]!.tick())
          return [sent, logs[to]!.emit('request-started')] as const
        })
        const merged = mergeEvents(logs.map(log => log.eventsAfter(0, 1000)))
        expect(merged).to.have.length(2 * messages.length)
        for (const [sent, received] of pairs) expect(merged.indexOf(sent)).to.be.below(merged.indexOf(received))
      }), { seed: SEED, numRuns: 100 })
    })
  })

  describe('filtering', () => {
    const events = [
      event('a', 1, 1, { cell: cellName('praha'), request: 'w/k' as RequestId }),
      event('a', 2, 2, { cell: cellName('plzen'), request: 'w/k' as RequestId }),
      event('b', 1, 3, { cell: cellName('praha') })
    ]
    const cases: ReadonlyArray<readonly [object, number[]]> = [
      [{}, [1, 2, 3]],
      [{ request: 'w/k' }, [1, 2]],
      [{ cell: 'praha' }, [1, 3]],
      [{ vm: 'b' }, [3]],
      [{ request: 'w/k', cell: 'praha', vm: undefined }, [1]],
      [{ request: 'w/other' }, []]
    ]
    for (const [filter, times] of cases) {
      it(`selects the events at logical times ${JSON.stringify(times)} for ${JSON.stringify(filter)}`, () => {
        expect(filterEvents(events, filter).map(({ logicalTime }) => logicalTime)).to.deep.equal(times)
      })
    }
  })

  describe('clock offsets', () => {
    it('are estimated per VM, so that displayed times are comparable', () => {
      const reference = [0, 10, 20, 30].map((time, index) => event('a', index + 1, time, { at: 1000 + time }))
      const ahead = [5, 15, 25].map((time, index) => event('b', index + 1, time, { at: 61_000 + time }))
      const offsets = estimateOffsets([...ahead, ...reference])
      expect([offsets.get(vmName('a')), offsets.get(vmName('b'))]).to.deep.equal([0, 60_000])
    })

    it('are empty if there are no events', () => {
      expect(estimateOffsets([]).size).to.equal(0)
      expect(renderText([])).to.deep.equal([])
    })
  })

  describe('text', () => {
    it('has one line for each event', () => {
      const events = [
        event('vm-10', 1, 9, { at: 5000 }),
        event('vm-2', 1, 10, { event: 405, name: 'request-start-intended', at: 5000, cell: cellName('praha'), request: 'w/k' as RequestId, details: { attempt: 1, members: ['s1'] } })
      ]
      expect(renderText(events)).to.deep.equal([
        ' 9  +0.000 s  vm-10  101 process-ready',
        '10  +0.000 s  vm-2   405 request-start-intended  praha  w/k  attempt=1 members=["s1"]'
      ])
    })

    it('escapes control characters in a caller\'s key', () => {
      const [line] = renderText([event('a', 1, 1, { request: 'w/\u001b[2J\n\u202e' as RequestId })])
      expect(line).to.include('w/\\u001b[2J\\u000a\\u202e')
    })
  })

  describe('page', () => {
    const hostile = '<script>alert("1")</script>\'&'
    const events = [
      event(`vm${hostile}`, 1, 1),
      event('vm-2', 1, 2, { cell: cellName(hostile), request: hostile as RequestId, name: hostile, details: { [hostile]: hostile } })
    ]
    const page = renderPage(events, hostile)

    it('has a lane for each VM and a row for each event', () => {
      expect(page.match(/<th scope="col">/g)).to.have.length(4)
      expect(page.match(/<td class="lane">/g)).to.have.length(4)
    })

    it('escapes all external text', () => {
      expect(page).not.to.match(/<script/i)
      expect(page).to.include('&lt;script&gt;alert(&quot;1&quot;)&lt;/script&gt;&#39;&amp;')
    })

    it('loads no resources and runs no script', () => {
      expect(page).not.to.match(/\b(src|href)=|url\(|@import|<link|<img/i)
      expect(page).to.include('default-src \'none\'')
    })
  })
})
