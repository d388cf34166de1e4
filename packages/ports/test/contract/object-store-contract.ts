/** The contract of the object store. */
import { expect } from 'chai'
import type { FaultSetting, ObjectStore } from '../../src/index.js'
import { failureCode, type Subject } from './subject.js'

const bytes = (...values: readonly number[]): Uint8Array => Uint8Array.from(values)

const CONTENTS: readonly { name: string, content: Uint8Array }[] = [
  { name: 'an empty object', content: bytes() },
  { name: 'every byte value', content: Uint8Array.from({ length: 256 }, (_, value) => value) },
  { name: 'two million bytes', content: new Uint8Array(2_000_000).fill(7) }
]

const FAULT_CASES: readonly { name: string, setting: FaultSetting, storedAfterwards: boolean }[] = [
  { name: 'down', setting: { mode: 'down' }, storedAfterwards: false },
  { name: 'response lost after the effect', setting: { mode: 'lose-answers' }, storedAfterwards: true }
]

/** Defines the tests that every object store must pass. */
export function describeObjectStore (title: string, open: () => Promise<Subject<ObjectStore>>): void {
  describe(title, () => {
    let subject: Subject<ObjectStore>
    let objects: ObjectStore

    beforeEach(async () => {
      subject = await open()
      objects = subject.port
    })
    afterEach(() => subject.close())

    describe('objects', () => {
      for (const { name, content } of CONTENTS) {
        it(`stores and returns ${name}`, async () => {
          await objects.put('snapshots/praha/č 1', content)
          expect(Buffer.from(await objects.get('snapshots/praha/č 1') ?? bytes(1)).equals(content)).to.equal(true)
        })
      }

      it('returns undefined for an object that does not exist', async () => {
        expect(await objects.get('none')).to.equal(undefined)
      })

      it('replaces and deletes an object, and accepts a repeated delete', async () => {
        await objects.put('a', bytes(1))
        await objects.put('a', bytes(2))
        expect([...await objects.get('a') ?? []]).to.deep.equal([2])
        await objects.delete('a')
        await objects.delete('a')
        expect(await objects.get('a')).to.equal(undefined)
      })

      it('stores a copy, which later changes to the caller\'s bytes do not affect', async () => {
        const content = bytes(1)
        await objects.put('a', content)
        content[0] = 9
        expect([...await objects.get('a') ?? []]).to.deep.equal([1])
      })

      it('lists names by prefix, in order', async () => {
        for (const name of ['b/1', 'a/2', 'a/1', 'a']) await objects.put(name, bytes())
        expect(await objects.list('a/')).to.deep.equal(['a/1', 'a/2'])
        expect(await objects.list('')).to.deep.equal(['a', 'a/1', 'a/2', 'b/1'])
      })
    })

    describe('faults', () => {
      for (const { name, setting, storedAfterwards } of FAULT_CASES) {
        it(`${name}: a put fails, and reading the object back shows whether it took effect`, async () => {
          await subject.setFault(setting)
          expect(await failureCode(objects.put('a', bytes(1)))).to.equal('unavailable')
          expect(await failureCode(objects.get('a'))).to.equal('unavailable')
          await subject.setFault({ mode: 'none' })
          expect(await objects.get('a') !== undefined).to.equal(storedAfterwards)
        })
      }
    })
  })
}
