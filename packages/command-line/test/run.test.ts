import { spawnSync } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { runCommand, TOKEN, VERSION, withService, type CommandResult, type RunOptions } from './harness.js'

const MAIN_FILE = fileURLToPath(new URL('../../bin/cornelgauge.js', import.meta.url))
const ESCAPE = '\u001B'

const COMMANDS = [
  ['document', 'validate'], ['document', 'difference'], ['document', 'apply'], ['document', 'promote'], ['document', 'show'],
  ['submit'], ['request'], ['cancel'], ['status'], ['timeline']
]

const STATUS = {
  vms: [{ vm: 'praha-1', failureDomain: 'praha', status: 'ready', documents: { trial: 3, production: null }, cells: [{ cell: 'praha' }], memoryBytes: 52_428_800 }],
  cells: [{ cell: 'praha', owner: 'praha-1', epoch: 7, state: 'owned', sequence: 90, pending: 1, running: 2, snapshotSequence: 80 }],
  platform: { tableWritesPerSecond: 60, tableReadsPerSecond: 9 }
}
const EVENTS = [{ event: 101, name: 'cell-acquired', vm: 'praha-1', index: 1, logicalTime: 1, at: 0, cell: 'praha' }]

interface Faults { readonly faults: ReadonlyArray<{ readonly setting: string, readonly variable?: string }> }

describe('cornelgauge', () => {
  const service = withService()
  const execute = async (words: readonly string[], options: RunOptions = {}): Promise<CommandResult> => await runCommand(service.current, words, options)
  const faultsOf = ({ output }: CommandResult): readonly string[] => (JSON.parse(output) as Faults).faults.map(({ setting }) => setting)

  describe('settings', () => {
    it('are checked before anything is sent, with every fault at once', async () => {
      const words = ['submit', '--wait-milliseconds', 'soon', '--adjacency', 'near', '--slots=0', '--wat', '--json']
      const result = await execute(words, { variables: { CORNELGAUGE_ADDRESS: 'http://a/path', CORNELGAUGE_TOKEN: '' } })
      expect(result.exitCode).to.equal(2)
      expect(faultsOf(result)).to.have.members(['--wat', 'KIND', '--workspace', '--wait-milliseconds', '--adjacency', '--slots', '--address', '--token'])
      expect(service.current.receivedRequests).to.deep.equal([])
    })

    it('are read from environment variables, and a flag takes precedence', async () => {
      service.current.on('GET /v1/events', { body: { events: EVENTS } })
      await execute(['timeline', '--cell', 'plzen'], { variables: { CORNELGAUGE_CELL: 'praha', CORNELGAUGE_VM: 'praha-1' } })
      expect(service.current.receivedRequests[0]?.query).to.deep.equal({ cell: 'plzen', vm: 'praha-1' })
      expect(JSON.parse((await execute(['timeline'], { variables: { CORNELGAUGE_JSON: '1' } })).output)).to.deep.equal({ events: EVENTS })
    })

    const SECRETS = [
      ['status', '--token', `${TOKEN} x`], ['status', '--tokn', TOKEN], ['status', `--tokn=${TOKEN}`], [`--token=${TOKEN}`, 'status'],
      ['status', '--token', TOKEN, '--address', '127.0.0.1:1']
    ]
    for (const words of SECRETS) {
      it(`never print a token: ${words.join(' ')}`, async () => {
        const { exitCode, output, diagnostics } = await execute(words)
        expect(exitCode).to.be.oneOf([2, 4])
        expect(output + diagnostics).not.to.contain(TOKEN)
      })
    }
  })

  describe('usage', () => {
    const LINES = [[], ['document'], ['nothing'], ['document', 'nothing'], ['--json', 'status'], ['status', 'more'], ['toString'], ['document', 'validate', 'a', 'b']]
    for (const words of LINES) {
      it(`exits with 2: cornelgauge ${words.join(' ')}`, async () => {
        const { exitCode, output, diagnostics } = await execute(words)
        expect(exitCode).to.equal(2)
        expect(output + diagnostics).to.match(/fault/)
      })
    }

    it('prints its version', async () => {
      expect(await execute(['--version'])).to.deep.include({ exitCode: 0, output: `${VERSION}\n` })
    })
  })

  describe('help', () => {
    for (const path of COMMANDS) {
      it(`of ${path.join(' ')} has examples, exit codes and the variable of every flag`, async () => {
        const { exitCode, output } = await execute([...path, '--help'])
        expect(exitCode).to.equal(0)
        expect(output).to.contain('EXAMPLES').and.to.contain(`cornelgauge ${path.join(' ')}`).and.to.contain('EXIT CODES').and.not.to.contain(ESCAPE)
        for (const [, flag = ''] of output.matchAll(/^ +--([a-z-]+)/gm)) {
          expect(output).to.contain(`[CORNELGAUGE_${flag.replaceAll('-', '_').toUpperCase()}]`)
        }
      })
    }

    it('lists all commands', async () => {
      const { output } = await execute(['--help'])
      for (const [name = ''] of COMMANDS) expect(output).to.contain(name)
    })
  })

  describe('status', () => {
    beforeEach(() => { service.current.on('GET /v1/status', { body: STATUS }) })

    it('prints plain lines if the output is not a terminal', async () => {
      const { exitCode, output } = await execute(['status'])
      expect(exitCode).to.equal(0)
      expect(output).to.contain('praha-1\tpraha\tready\t3\t-\tpraha\t50 MiB\n').and.to.contain('table writes a second, of several hundred\t60\n').and.to.contain('table reads a second, of two thousand\t9\n').and.not.to.contain(ESCAPE)
    })

    it('prints tables with colours on a terminal', async () => {
      expect((await execute(['status'], { isTerminal: true })).output).to.contain(`${ESCAPE}[1mVM       FAILURE DOMAIN  STATUS`)
    })

    it('prints no colours if NO_COLOR is set', async () => {
      expect((await execute(['status'], { isTerminal: true, variables: { NO_COLOR: '1' } })).output).to.match(/^VM {7}FAILURE DOMAIN/)
    })

    it('prints the complete report as JSON', async () => {
      expect(JSON.parse((await execute(['status', '--json'])).output)).to.deep.equal(STATUS)
    })
  })

  describe('timeline', () => {
    beforeEach(() => { service.current.on('GET /v1/events', { body: { events: EVENTS } }) })

    it('prints the rendered events', async () => {
      expect(await execute(['timeline', '--cell', 'praha', '--after', '0', '--limit', '5'])).to.deep.include({ exitCode: 0, output: '1 events of praha\n' })
      expect(service.current.receivedRequests[0]?.query).to.deep.equal({ cell: 'praha', after: '0', limit: '5' })
    })

    it('writes a page', async () => {
      expect((await execute(['timeline', '--cell', 'praha', '--html', 'page.html'])).written).to.deep.equal({ 'page.html': '<p>1 events of praha</p>' })
    })
  })

  describe('the service', () => {
    const ANSWERS = [
      { title: 'a response that is not JSON', answer: { body: '<html>' }, exitCode: 4 },
      { title: 'a 4xx response from a proxy', answer: { body: '', status: 403 }, exitCode: 3 },
      { title: 'a redirect', answer: { body: '', status: 302 }, exitCode: 3 },
      { title: 'a 5xx response from a proxy', answer: { body: 'null', status: 500 }, exitCode: 4 },
      { title: 'a lost connection', answer: { body: '', lost: true }, exitCode: 4 }
    ]
    for (const { title, answer, exitCode } of ANSWERS) {
      it(`exits with ${exitCode} after ${title}, and still prints JSON`, async () => {
        service.current.on('GET /v1/status', answer)
        const result = await execute(['status', '--json'])
        expect(result.exitCode).to.equal(exitCode)
        expect(JSON.parse(result.output)).to.include.keys('code', 'detail')
      })
    }

    it('exits with 4 if the connection is refused', async () => {
      expect((await execute(['status', '--address', 'http://127.0.0.1:1'])).exitCode).to.equal(4)
    })
  })

  describe('the binary', () => {
    it('passes its arguments on and exits with the exit code', () => {
      const { status, stdout, stderr } = spawnSync(process.execPath, [MAIN_FILE, 'nothing'], { encoding: 'utf8' })
      expect({ status, stdout }).to.deep.equal({ status: 2, stdout: '' })
      expect(stderr).to.contain('There is no such command')
    })
  })
})
