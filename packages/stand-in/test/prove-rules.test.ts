import { expect } from 'chai'
import type { LoggedExecution } from '@cornelgauge/ports'
import { RULES, type CallerResponse } from '../src/history.js'
import { checkGuarantees, GUARANTEES, type DocumentHistory, type Evidence } from '../src/prove-rules.js'

const documents = (changes: Partial<DocumentHistory>): Evidence => ({
  documents: {
    vms: ['vm-1'],
    responses: [{ digest: 'a', environment: 'trial', at: 0, version: 1 }],
    adoptions: [{ vm: 'vm-1', environment: 'trial', at: 10, version: 1, digest: 'a' }],
    ...changes
  }
})

const response = (at: number, code?: string): CallerResponse => ({ key: 'a', receivedAt: at, state: 'finished', code })

const started = (startedAt: number): LoggedExecution => ({ requestKey: 'a', startedAt }) as LoggedExecution

const adoptedOn = (vm: string, version: number, digest: string, environment: 'trial' | 'production' = 'trial') => ({ vm, environment, at: 10, version, digest })

const VIOLATING: Readonly<Record<string, Evidence>> = {
  'a caller is told by its deadline': { responseDeadlines: new Map([['a', 100]]) },
  'a planned stop cuts no request': { duringPlannedStops: { keys: ['a'], responses: [response(1, 'connection-lost')] } },
  'a leaving backend server gets no new work': { leaving: [{ server: 's', listedAt: 0, executions: [started(3001)] }] },
  'a lost owner is replaced in time': { recoveries: [{ lostAt: 0, servedAt: 5001 }] },
  'each version of a document is one text': documents({ adoptions: [adoptedOn('vm-1', 1, 'a'), adoptedOn('vm-2', 1, 'b')] }),
  'versions in force never fall': documents({ adoptions: [adoptedOn('vm-1', 2, 'b'), adoptedOn('vm-1', 1, 'a')] }),
  'a refused change never comes into force': documents({ responses: [{ digest: 'a', environment: 'trial', at: 0, code: 'version-conflict' }] }),
  'an accepted change is in force everywhere in time': documents({ vms: ['vm-1', 'vm-2'] }),
  'production holds only what trial held': documents({ adoptions: [adoptedOn('vm-1', 1, 'a'), adoptedOn('vm-1', 1, 'b', 'production')] })
}

const VALID: readonly Evidence[] = [
  documents({}),
  {
    recoveries: [{ lostAt: 0, servedAt: 5000 }],
    leaving: [{ server: 's', listedAt: 0, executions: [started(3000)] }],
    duringPlannedStops: { keys: ['a'], responses: [response(1)] }
  }
]

const violatedBy = (evidence: Evidence) => [...checkGuarantees(evidence)].filter(([, lines]) => lines.length > 0).map(([name]) => name)

describe('the guarantees', () => {
  it('report no violation for valid evidence', () => {
    expect(VALID.flatMap(violatedBy)).to.deep.equal([])
  })

  it('are not checked without evidence', () => {
    expect([...checkGuarantees({})]).to.deep.equal([])
  })

  for (const name of Object.keys(GUARANTEES).filter(guarantee => !(guarantee in RULES))) {
    it(`report a violation of: ${name}`, () => {
      expect(violatedBy(VIOLATING[name]!)).to.deep.equal([name])
    })
  }
})
