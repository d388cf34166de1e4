import { CornelgaugeError, epoch, vmName } from '@cornelgauge/model'
import { expect } from 'chai'
import * as fc from 'fast-check'
import { readPeerReply, readPeerRequest } from '../src/messages.js'

const OWNER = { vm: vmName('vm-a'), address: '10.0.0.1:7000', epoch: epoch(3), version: 7 }
const MEMBER = { vm: vmName('vm-b'), address: '10.0.0.2:7000', weight: 1 }
const JOB = {
  id: '00000000000000a1',
  queue: 'check',
  pool: 'pool',
  workspace: 'brno',
  specification: 'work',
  acceptedAt: 1000,
  acceptedUnder: 3,
  steps: [{ count: 1, need: { processor: 1, memory: 1, accelerators: 1 }, after: [] }]
}

const REQUESTS: readonly object[] = [
  { kind: 'beat', member: MEMBER, owner: OWNER, storeAge: Infinity, listVersion: 'a', ownedMilliseconds: 10, staleConfiguration: -1 },
  { kind: 'beat', member: { vm: 'vm-b', address: '10.0.0.2:7000' }, storeAge: 5 },
  { kind: 'accept', draft: JOB },
  { kind: 'job', job: JOB },
  { kind: 'cancel', id: JOB.id },
  { kind: 'phase', id: JOB.id },
  { kind: 'queued', queue: 'check' },
  { kind: 'configuration' },
  { kind: 'succeed', owner: OWNER }
]

const REPLIES: readonly object[] = [
  { kind: 'beat', isOwner: true, storeAge: 5, configuration: { version: 3, age: 20 }, ownedMilliseconds: 10, owner: OWNER, ownerHeardAge: 0, listVersion: 'a', members: [MEMBER] },
  { kind: 'beat', isOwner: false, ownerHeardAge: Infinity },
  { kind: 'taken' },
  { kind: 'accept', job: JOB },
  { kind: 'phase', phase: 'running' },
  { kind: 'phase' },
  { kind: 'queued', count: 2 },
  { kind: 'configuration', configuration: { version: 3, age: 20, rows: { config: { text: 'a' } } } }
]

/** Fields that are whole numbers from 0. */
const EXACT_FIELDS: ReadonlySet<string> = new Set(['epoch', 'version', 'acceptedUnder', 'count'])

/** Fields whose absence another release may rely on. */
const OPTIONAL_FIELDS: ReadonlySet<string> = new Set(['listVersion', 'owner in beat', 'ownedMilliseconds', 'storeAge', 'staleConfiguration', 'configuration in beat', 'members', 'phase'])

const isOptional = (kind: unknown, field: string): boolean => OPTIONAL_FIELDS.has(field) || OPTIONAL_FIELDS.has(`${field} in ${String(kind)}`)

describe('messages between entry VMs', () => {
  const cases = [
    { name: 'a request', read: readPeerRequest as (message: unknown) => unknown, valid: REQUESTS },
    { name: 'a reply', read: readPeerReply as (message: unknown) => unknown, valid: REPLIES }
  ]
  for (const { name, read, valid } of cases) {
    describe(name, () => {
      it('is read if it has the fields of its kind', () => {
        for (const message of valid) expect(read(message)).to.equal(message)
      })

      it('is a protocol violation without one of its fields, or with one of another type', () => {
        for (const message of valid) {
          const { kind } = message as { kind?: unknown }
          for (const field of Object.keys(message)) {
            const changed: object[] = [{ ...message, [field]: [] }, { ...message, [field]: null }]
            if (!isOptional(kind, field)) changed.push({ ...message, [field]: undefined })
            for (const each of changed) {
              if (field === 'members' && Array.isArray((each as { members?: unknown }).members)) continue
              expect(() => read(each), `${field} of ${String(kind)}`).to.throw(CornelgaugeError).with.property('code', 'protocol-violation')
            }
          }
        }
      })

      it('is a protocol violation with a number out of its range', () => {
        const odd: readonly unknown[] = [NaN, -1, 2 ** 60, 0.5, 1n, '1', -Infinity]
        const replace = (value: unknown, change: unknown): object[] => typeof value !== 'object' || value === null
          ? []
          : Object.entries(value).flatMap(([field, inner]) => [...(EXACT_FIELDS.has(field) ? [change] : []), ...replace(inner, change)].map(each => Object.assign(Array.isArray(value) ? [...value] : { ...value }, { [field]: each })))
        const { acceptedUnder: _epoch, ...draft } = JOB
        for (const message of valid.map(each => 'draft' in each ? { ...each, draft } : each)) {
          for (const change of odd) {
            for (const changed of replace(message, change)) expect(() => read(changed), JSON.stringify(message)).to.throw(CornelgaugeError).with.property('code', 'protocol-violation')
          }
        }
      })

      it('is a protocol violation with an age that is no number', () => {
        for (const message of valid) {
          for (const field of ['storeAge', 'ownerHeardAge', 'ownedMilliseconds', 'staleConfiguration'].filter(name => name in message)) {
            expect(() => read({ ...message, [field]: NaN }), field).to.throw(CornelgaugeError).with.property('code', 'protocol-violation')
          }
        }
      })

      it('is a protocol violation, and no other error, whatever a peer sends', () => {
        const kinds = fc.constantFrom('beat', 'accept', 'job', 'cancel', 'phase', 'queued', 'configuration', 'succeed', 'taken', 'constructor', '__proto__')
        const messages = fc.oneof(fc.anything(), fc.tuple(kinds, fc.object()).map(([kind, rest]) => ({ ...rest, kind })))
        fc.assert(fc.property(messages, message => {
          try {
            read(message)
          } catch (thrown) {
            expect(thrown).to.be.instanceOf(CornelgaugeError)
          }
        }), { numRuns: 2000, seed: 31 })
      })
    })
  }
})
