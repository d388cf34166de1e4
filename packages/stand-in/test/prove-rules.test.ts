import { expect } from 'chai'
import type { LoggedExecution } from '@cornelgauge/ports'
import { RULES, type ToldEntry } from '../src/history.js'
import { checkPromises, PROMISES, type DocumentHistory, type Evidence } from '../src/prove-rules.js'

const documents = (changes: Partial<DocumentHistory>): Evidence => ({
  documents: {
    vms: ['vm-1'],
    told: [{ digest: 'a', environment: 'trial', at: 0, version: 1 }],
    seen: [{ vm: 'vm-1', environment: 'trial', at: 10, version: 1, digest: 'a' }],
    ...changes
  }
})

const told = (at: number, code?: string): ToldEntry => ({ key: 'a', at, state: 'finished', code })

const started = (startedAt: number): LoggedExecution => ({ requestKey: 'a', startedAt }) as LoggedExecution

const seenOn = (vm: string, version: number, digest: string, environment: 'trial' | 'production' = 'trial') => ({ vm, environment, at: 10, version, digest })

const BAD: Readonly<Record<string, Evidence>> = {
  'a caller is told by its deadline': { tellBy: new Map([['a', 100]]) },
  'a planned stop cuts no request': { uncut: { keys: ['a'], told: [told(1, 'connection-lost')] } },
  'a leaving backend server gets no new work': { leaving: [{ server: 's', listedAt: 0, executions: [started(3001)] }] },
  'a lost owner is replaced in time': { recoveries: [{ lostAt: 0, servedAt: 5001 }] },
  'each version of a document is one text': documents({ seen: [seenOn('vm-1', 1, 'a'), seenOn('vm-2', 1, 'b')] }),
  'versions in force never fall': documents({ seen: [seenOn('vm-1', 2, 'b'), seenOn('vm-1', 1, 'a')] }),
  'a refused change never comes into force': documents({ told: [{ digest: 'a', environment: 'trial', at: 0, code: 'version-conflict' }] }),
  'an accepted change is in force everywhere in time': documents({ vms: ['vm-1', 'vm-2'] }),
  'production holds only what trial held': documents({ seen: [seenOn('vm-1', 1, 'a'), seenOn('vm-1', 1, 'b', 'production')] })
}

const GOOD: readonly Evidence[] = [
  documents({}),
  {
    recoveries: [{ lostAt: 0, servedAt: 5000 }],
    leaving: [{ server: 's', listedAt: 0, executions: [started(3000)] }],
    uncut: { keys: ['a'], told: [told(1)] }
  }
]

const brokenBy = (evidence: Evidence) => [...checkPromises(evidence)].filter(([, lines]) => lines.length > 0).map(([name]) => name)

describe('the promises', () => {
  it('find nothing in good evidence', () => {
    expect(GOOD.flatMap(brokenBy)).to.deep.equal([])
  })

  it('say nothing where there is no evidence', () => {
    expect([...checkPromises({})]).to.deep.equal([])
  })

  for (const name of Object.keys(PROMISES).filter(promise => !(promise in RULES))) {
    it(`find a break of: ${name}`, () => {
      expect(brokenBy(BAD[name]!)).to.deep.equal([name])
    })
  }
})
