import { expect } from 'chai'
import { fileURLToPath } from 'node:url'
import { HttpTableService, HttpVmList, systemClock } from '@cornelgauge/ports'
import { failureCode, until } from '@cornelgauge/ports/contract'
import {
  claimDeployment, DEPLOYMENTS, LocalDeployment, LocalRun, pickDeployment, planDeployment, type DeploymentSizes, type LocalRunOptions
} from '../src/index.js'

const FAKE_DAEMON = fileURLToPath(new URL('./fake-daemon.js', import.meta.url))
/** A range high enough that other deployments on the machine are unlikely to claim it. */
const SPARE_DEPLOYMENT = 230
const SMALL: DeploymentSizes = {
  ...DEPLOYMENTS.hlidka!,
  entryVmsPerDomain: 1,
  backendServersPerDomain: 2,
  kinds: [{ kind: 'shift-swap', perSecond: 100, shortestMilliseconds: 1, longestMilliseconds: 5, deadlineMilliseconds: 3000 }]
}

const optionsWith = (rest: Partial<LocalRunOptions> = {}): LocalRunOptions => ({
  sizes: SMALL,
  daemonMain: FAKE_DAEMON,
  document: 'name: trial\n',
  logLevel: 'warn',
  daemonGraceMilliseconds: 5000,
  withLoad: false,
  seed: 1,
  json: true,
  print: () => {},
  ...rest
})

const isAlive = (pid: number): boolean => {
  try {
    return process.kill(pid, 0)
  } catch {
    return false
  }
}

type PrintedLine = Readonly<Record<string, unknown>>
const jsonOf = (lines: readonly string[]): readonly PrintedLine[] =>
  lines.filter(line => line.startsWith('{')).map(line => JSON.parse(line) as PrintedLine)

describe('local deployment', function () {
  this.timeout(60_000)

  describe('plan', () => {
    for (const sizes of Object.values(DEPLOYMENTS)) {
      it(`gives ${sizes.name} 9 entry VMs and 30 backend servers, 8 to a rack, each with its own address`, () => {
        const { entries, backendServers, tableService, objectStore, vmList } = planDeployment(sizes, 7)
        expect([entries.length, backendServers.length]).to.deep.equal([9, 30])
        const domain = sizes.failureDomains[0]!
        expect(backendServers.filter(({ rack }) => rack === `${domain}-rack-1`)).to.have.length(8)
        expect(backendServers.filter(({ rack }) => rack === `${domain}-rack-2`)).to.have.length(2)
        const own = entries.flatMap(entry => [entry.address, entry.wireAddress, entry.wireAdvertise])
        const all = [...own, ...backendServers.map(({ address }) => address), tableService, objectStore, vmList]
        expect(new Set(all).size).to.equal(all.length)
      })
    }

    it('refuses an unknown deployment', () => {
      expect(() => pickDeployment(DEPLOYMENTS, 'brno')).to.throw('hlidka, silver-fare')
    })
  })

  describe('claim', () => {
    it('gives concurrent runs different ranges, and reuses a released one', async () => {
      const first = await claimDeployment(SPARE_DEPLOYMENT)
      const second = await claimDeployment(SPARE_DEPLOYMENT)
      expect(second.deploymentNumber).to.not.equal(first.deploymentNumber)
      await Promise.all([first.release(), second.release()])
      const third = await claimDeployment(SPARE_DEPLOYMENT)
      expect(third.deploymentNumber).to.equal(first.deploymentNumber)
      await third.release()
    })
  })

  describe('run', () => {
    it('prints each process, then credentials, then ready, and leaves no process running', async () => {
      const printed: string[] = []
      const run = new LocalRun(optionsWith({ print: line => { printed.push(line) } }))
      const code = run.run()
      await Promise.race([code, until(() => printed.some(line => line.includes('is ready')))])
      const lines = jsonOf(printed)
      const roles = lines.map(({ role }) => role)
      expect(roles.filter(role => role === 'backend-server')).to.have.length(6)
      expect(roles.filter(role => role === 'entry')).to.have.length(3)
      expect(roles.slice(-2)).to.deep.equal(['credentials', 'ready'])
      expect(Object.keys(lines.at(-2)!.workspaces as object)).to.deep.equal(SMALL.workspaces)
      expect(lines.find(({ role }) => role === 'entry')).to.include.keys('name', 'pid', 'address', 'command', 'environment')
      const pids = lines.flatMap(({ pid }) => typeof pid === 'number' ? [pid] : [])
      expect(pids.every(isAlive)).to.equal(true)
      await run.stop()
      expect(await code).to.equal(0)
      expect(pids.filter(isAlive)).to.deep.equal([])
    })

    it('drives the sample load for its duration, and prints the outcomes', async () => {
      const printed: string[] = []
      const run = new LocalRun(optionsWith({ withLoad: true, durationMilliseconds: 500, print: line => { printed.push(line) } }))
      expect(await run.run()).to.equal(0)
      const { rows } = jsonOf(printed).at(-1) as { rows: readonly { kind: string, asked: number, outcomes: object, wrongAnswers: number }[] }
      expect(rows).to.have.length(1)
      expect(rows[0]).to.deep.include({ kind: 'shift-swap', outcomes: { finished: rows[0]!.asked }, wrongAnswers: 0 })
      expect(rows[0]!.asked).to.be.at.least(1)
    })

    it('stops everything if it is stopped before it is ready', async () => {
      const run = new LocalRun(optionsWith())
      const code = run.run()
      await new Promise(resolve => setTimeout(resolve, 200))
      await run.stop()
      expect(await code).to.equal(0)
    })

    it('fails and leaves no process running if a daemon exits before it is ready', async () => {
      const printed: string[] = []
      const run = new LocalRun(optionsWith({ daemonMain: '/none.js', print: line => { printed.push(line) } }))
      expect(await failureCode(run.run())).to.equal('internal')
      const pids = jsonOf(printed).flatMap(({ pid }) => typeof pid === 'number' ? [pid] : [])
      expect(pids.filter(isAlive)).to.deep.equal([])
    })
  })

  describe('processes', () => {
    it('lists every VM, does not restart a killed daemon, and reports the command that starts it again', async () => {
      const ended: string[] = []
      const deployment = new LocalDeployment(optionsWith({ onUnexpectedEnd: ({ name }) => { ended.push(name) } }))
      await deployment.launch()
      await deployment.makeReady()
      const vms = new HttpVmList({ address: deployment.plan.vmList, timeoutMilliseconds: 5000 })
      let listed = await vms.list()
      while (listed.length < 9) listed = await vms.list()
      expect(listed.filter(({ role }) => role === 'entry').map(({ wireAddress }) => wireAddress))
        .to.deep.equal(deployment.plan.entries.map(({ wireAdvertise }) => wireAdvertise))
      await vms.close()

      const entry = deployment.processLines.find(({ role }) => role === 'entry')!
      expect(entry.command).to.include(`--vm ${entry.name} --failure-domain praha --address ${entry.address}`)
      expect(entry.environment!.CORNELGAUGE_OPERATOR_TOKENS).to.equal(deployment.credentials.operator)
      process.kill(entry.pid, 'SIGKILL')
      await until(() => ended.length === 1)
      expect(ended).to.deep.equal([entry.name])
      await deployment.stop()
    })

    it('adds the propagation delay to each request and response of the table service', async () => {
      const deployment = new LocalDeployment(optionsWith())
      await deployment.launch()
      const tables = new HttpTableService({ address: deployment.plan.tableService, timeoutMilliseconds: 5000 })
      await tables.read('rows', 'a')
      const before = systemClock.now()
      await tables.read('rows', 'a')
      expect(systemClock.now() - before).to.be.at.least(2 * SMALL.oneWayMilliseconds - 1)
      await tables.close()
      await deployment.stop()
    })
  })
})
