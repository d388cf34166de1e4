import { expect } from 'chai'
import { POLICIES, type PolicyName } from '@cornelgauge/policy'
import { quantile } from '../src/policy-bench-measure.js'
import { Random } from '../src/policy-bench-random.js'
import { reportPage } from '../src/policy-bench-report.js'
import { Simulation, type Outcome, type WorkItem } from '../src/policy-bench-simulation.js'
import { tableLines, TARGETS, verdict } from '../src/policy-bench-table.js'
import { WorkGenerator, WORKLOADS, type WorkloadName } from '../src/policy-bench-workload.js'

const SECOND = 1000

function shortRun (policy: PolicyName, name: WorkloadName, seed: number): readonly Outcome[] {
  const workload = WORKLOADS[name]
  const generator = new WorkGenerator(new Random(seed), workload, 10)
  const items = [workload.urgent, workload.long, workload.bulk].flatMap(kind => generator.stream(kind, 0, 5 * SECOND, () => 0.01, 0.01))
  const work = items.sort((first: WorkItem, second: WorkItem) => first.job.arrivedAt - second.job.arrivedAt)
  return new Simulation(POLICIES[policy], { settings: workload.settings, servers: workload.servers, work, endsAt: 10 * SECOND }).run()
}

describe('policy bench', () => {
  for (const policy of Object.keys(POLICIES) as PolicyName[]) {
    for (const workload of Object.keys(WORKLOADS) as WorkloadName[]) {
      it(`reproduces the outcomes of ${policy} on ${workload} exactly with the same seed`, () => {
        const outcomes = shortRun(policy, workload, 7)
        expect(outcomes.filter(outcome => outcome.state === 'finished')).to.not.be.empty
        expect(shortRun(policy, workload, 7)).to.deep.equal(outcomes)
      })
    }
  }

  it('gives different outcomes for different seeds', () => {
    expect(shortRun('first-fit', 'hlidka', 1)).to.not.deep.equal(shortRun('first-fit', 'hlidka', 2))
  })

  it('runs each finished job for its true run time, not counting lost attempts', () => {
    for (const { item, state, runs } of shortRun('cornelgauge', 'hlidka', 3)) {
      const ran = runs.reduce((sum, run) => sum + run.endedAt - run.startedAt, 0)
      if (state === 'finished') expect(ran).to.equal(item.trueMilliseconds)
    }
  })

  describe('the table', () => {
    const figures = Object.fromEntries(Object.keys(TARGETS).map(name => [name, 1]))
    const results = new Map([['cornelgauge' as const, [figures, { ...figures, 'head-of-line ratio': 3 }]]])

    it('evaluates a target by the worst seed', () => {
      expect(verdict('head-of-line ratio', results)).to.equal('NO')
      expect(verdict('urgent in time in a 4x crest', results)).to.equal('yes')
    })

    it('has a row for each figure, in the text and in the HTML report', () => {
      expect(tableLines('hlidka', results)).to.have.length(2 + Object.keys(TARGETS).length)
      expect(reportPage(new Map([['hlidka', results]]), []).match(/<svg/g)).to.have.length(Object.keys(TARGETS).length)
    })
  })

  it('returns quantiles that are measured values', () => {
    expect([0, 0.5, 0.99, 1].map(share => quantile([4, 1, 3, 2], share))).to.deep.equal([1, 2, 4, 4])
  })
})
