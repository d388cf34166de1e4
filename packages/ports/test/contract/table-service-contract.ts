/** The contract of the table service. */
import { expect } from 'chai'
import { asFailure, type CornelgaugeError } from '@cornelgauge/model'
import { ROW_LIMIT_BYTES, type Condition, type FaultSetting, type Operation, type RangeQuery, type RowValue, type TableService } from '../../src/index.js'
import { failureCode, type Subject } from './subject.js'

const put = (key: string, value: RowValue = {}): Operation => ({ type: 'put', table: 'rows', key, value })
const remove = (key: string): Operation => ({ type: 'delete', table: 'rows', key })
const rowOf = (key: string) => ({ table: 'rows', key })

const CONDITION_CASES: readonly { name: string, condition: Condition, holds: boolean }[] = [
  { name: 'the absence of a row that does not exist', condition: { type: 'absent', ...rowOf('none') }, holds: true },
  { name: 'the absence of a row that exists', condition: { type: 'absent', ...rowOf('owner') }, holds: false },
  { name: 'the current version', condition: { type: 'version', ...rowOf('owner'), version: 2 }, holds: true },
  { name: 'an older version', condition: { type: 'version', ...rowOf('owner'), version: 1 }, holds: false },
  { name: 'a version of a row that does not exist', condition: { type: 'version', ...rowOf('none'), version: 1 }, holds: false },
  { name: 'equal fields', condition: { type: 'fields', ...rowOf('owner'), fields: { epoch: 7, at: { vm: ['a'] } } }, holds: true },
  { name: 'an empty set of fields of a row that exists', condition: { type: 'fields', ...rowOf('owner'), fields: {} }, holds: true },
  { name: 'a different value of a field', condition: { type: 'fields', ...rowOf('owner'), fields: { epoch: 6 } }, holds: false },
  { name: 'a different value nested in a field', condition: { type: 'fields', ...rowOf('owner'), fields: { at: { vm: ['b'] } } }, holds: false },
  { name: 'a field that the row lacks', condition: { type: 'fields', ...rowOf('owner'), fields: { holder: null } }, holds: false },
  { name: 'an empty set of fields of a row that does not exist', condition: { type: 'fields', ...rowOf('none'), fields: {} }, holds: false }
]

const RANGE_CASES: readonly { name: string, query: Omit<RangeQuery, 'table'>, keys: readonly string[] }[] = [
  { name: 'all rows', query: {}, keys: ['a/1', 'a/10', 'a/2', 'b/1'] },
  { name: 'from a key, inclusive', query: { from: 'a/10' }, keys: ['a/10', 'a/2', 'b/1'] },
  { name: 'up to a key, exclusive', query: { before: 'a/2' }, keys: ['a/1', 'a/10'] },
  { name: 'between keys that do not exist', query: { from: 'a/0', before: 'b' }, keys: ['a/1', 'a/10', 'a/2'] },
  { name: 'up to the limit', query: { limit: 2 }, keys: ['a/1', 'a/10'] },
  { name: 'no rows if the end is before the start', query: { from: 'b', before: 'a' }, keys: [] }
]

const FAULT_CASES: readonly { name: string, setting: FaultSetting, write: string, writtenAfterwards: boolean }[] = [
  { name: 'down', setting: { mode: 'down' }, write: 'unavailable', writtenAfterwards: false },
  { name: 'response lost after the effect', setting: { mode: 'lose-answers' }, write: 'unavailable', writtenAfterwards: true },
  { name: 'only reads down', setting: { mode: 'down', only: 'reads' }, write: 'none', writtenAfterwards: true }
]

const UNUSUAL_KEYS = ['', '.', '..', 'a/b', 'č &?#%', '%2F']

/** Defines the tests that every table service must pass. */
export function describeTableService (title: string, open: () => Promise<Subject<TableService>>): void {
  describe(title, () => {
    let subject: Subject<TableService>
    let tables: TableService

    const write = (operations: readonly Operation[], conditions: readonly Condition[] = []): Promise<void> =>
      tables.write({ conditions, operations })

    beforeEach(async () => {
      subject = await open()
      tables = subject.port
    })
    afterEach(() => subject.close())

    describe('rows', () => {
      it('returns undefined for a row that was never written', async () => {
        expect(await tables.read('rows', 'none')).to.equal(undefined)
      })

      it('increments the version with each write, starting at 1', async () => {
        await write([put('a', { count: 1 })])
        await write([put('a', { count: 2 })])
        expect(await tables.read('rows', 'a')).to.deep.equal({ key: 'a', value: { count: 2 }, version: 2 })
      })

      it('keeps the rows of different tables separate', async () => {
        await write([put('a')])
        expect(await tables.read('others', 'a')).to.equal(undefined)
      })

      it('deletes a row, and accepts the delete of a row that does not exist', async () => {
        await write([put('a')])
        await write([remove('a'), remove('none')])
        expect(await tables.read('rows', 'a')).to.equal(undefined)
      })

      it('stores a copy, which later changes to the caller\'s value do not affect', async () => {
        const value = { list: [1] }
        await write([put('a', value)])
        value.list.push(2)
        expect((await tables.read('rows', 'a'))?.value).to.deep.equal({ list: [1] })
      })

      for (const key of UNUSUAL_KEYS) {
        it(`accepts the key ${JSON.stringify(key)}`, async () => {
          await write([put(key, { key })])
          expect((await tables.read('rows', key))?.value).to.deep.equal({ key })
        })
      }
    })

    describe('conditions', () => {
      beforeEach(async () => {
        await write([put('owner', { epoch: 6 })])
        await write([put('owner', { epoch: 7, at: { vm: ['a'] } })])
      })

      for (const { name, condition, holds } of CONDITION_CASES) {
        it(`${holds ? 'writes' : 'writes nothing'} on the condition of ${name}`, async () => {
          const passing: Condition = { type: 'absent', ...rowOf('none') }
          const outcome = await write([put('x'), put('y')], [passing, condition]).then(() => undefined, asFailure) as CornelgaugeError | undefined
          expect(outcome?.code).to.equal(holds ? undefined : 'conflict')
          expect(outcome?.members.condition).to.deep.equal(holds ? undefined : condition)
          expect((await tables.range({ table: 'rows' })).map(({ key }) => key)).to.deep.equal(holds ? ['owner', 'x', 'y'] : ['owner'])
        })
      }

      it('applies exactly one of several concurrent writes that require the same version', async () => {
        const attempts = [1, 2, 3, 4, 5].map(vm => failureCode(
          write([put('owner', { vm })], [{ type: 'version', ...rowOf('owner'), version: 2 }])))
        const codes = await Promise.all(attempts)
        expect(codes.sort()).to.deep.equal(['conflict', 'conflict', 'conflict', 'conflict', 'none'])
        expect((await tables.read('rows', 'owner'))?.version).to.equal(3)
      })
    })

    describe('row limit', () => {
      it('accepts a row of exactly the limit', async () => {
        const padding = 'x'.repeat(ROW_LIMIT_BYTES - JSON.stringify({ padding: '' }).length)
        expect(await failureCode(write([put('a', { padding })]))).to.equal('none')
      })

      it('refuses a row over the limit, together with its transaction', async () => {
        const tooLong = put('b', { padding: 'x'.repeat(ROW_LIMIT_BYTES) })
        expect(await failureCode(write([put('a'), tooLong]))).to.equal('body-too-large')
        expect(await tables.range({ table: 'rows' })).to.deep.equal([])
      })
    })

    describe('range', () => {
      for (const { name, query, keys } of RANGE_CASES) {
        it(`reads ${name}, in the order of keys`, async () => {
          await write(['b/1', 'a/2', 'a/10', 'a/1'].map(key => put(key)))
          const rows = await tables.range({ table: 'rows', ...query })
          expect(rows.map(({ key }) => key)).to.deep.equal(keys)
        })
      }
    })

    describe('faults', () => {
      for (const { name, setting, write: code, writtenAfterwards } of FAULT_CASES) {
        it(`${name}: a write gives code ${code}, and reading the row back shows whether it took effect`, async () => {
          await subject.setFault(setting)
          expect(await failureCode(write([put('a')]))).to.equal(code)
          await subject.setFault({ mode: 'none' })
          expect(await tables.read('rows', 'a') !== undefined).to.equal(writtenAfterwards)
        })
      }

      it('loses the responses of the given number of writes, while reads return the stored rows', async () => {
        await subject.setFault({ mode: 'lose-answers', only: 'writes', calls: 1 })
        expect(await failureCode(write([put('a')]))).to.equal('unavailable')
        expect(await tables.read('rows', 'a')).to.not.equal(undefined)
        expect(await failureCode(write([put('b')]))).to.equal('none')
      })

      it('still reports a conflict while only the responses to reads are lost', async () => {
        await write([put('a')])
        await subject.setFault({ mode: 'lose-answers', only: 'reads' })
        expect(await failureCode(write([], [{ type: 'absent', ...rowOf('a') }]))).to.equal('conflict')
      })
    })
  })
}
