import { digestOf } from '@cornelgauge/model'
import { expect } from 'chai'
import { problem, runCommand, TOKEN, withService, type CommandResult, type FakeAnswer } from './harness.js'

const ROUTE = 'GET /v1/environment/document'
const PUT_ROUTE = 'PUT /v1/environment/document'
const PROMOTION_ROUTE = 'POST /v1/environment/promotion'

const documentText = (weight: number): string => `name: sample
generation: 1
cells: [{name: praha, region: cechy, failureDomain: praha, racks: [{name: r, servers: 1, slotsPerServer: 8}]}]
kinds: [{name: shift-swap, idempotent: false, declaredMilliseconds: 300}]
workspaces: [{name: ustredi, weight: ${weight}}]
`
const FIRST = documentText(1)
const SECOND = documentText(2)
const CHANGE_LINE = '~ workspaces.ustredi.weight: 1 -> 2'
const FILES = { first: FIRST, second: SECOND, faulty: 'name: X\n' }

const inForce = (content: string, version = 3): FakeAnswer => ({
  headers: { etag: `"${version}-tag"`, 'x-document-version': String(version), 'x-document-digest': digestOf(content) },
  body: content
})
const accepted = (content: string, environment = 'trial'): FakeAnswer => ({ body: { environment, version: 4, digest: digestOf(content) } })

describe('cornelgauge document', () => {
  const service = withService()
  const execute = async (...words: string[]): Promise<CommandResult> => await runCommand(service.current, ['document', ...words], { files: FILES })
  const json = async (...words: string[]): Promise<{ exitCode: number, value: Record<string, unknown> }> => {
    const { exitCode, output } = await execute(...words, '--json')
    return { exitCode, value: JSON.parse(output) as Record<string, unknown> }
  }

  describe('validate', () => {
    it('accepts a valid file offline', async () => {
      expect(await execute('validate', 'first')).to.deep.include({ exitCode: 0, diagnostics: '' })
      expect((await json('validate', 'first')).value).to.deep.include({ valid: true, digest: digestOf(FIRST), cells: ['praha'] })
      expect(service.current.receivedRequests).to.deep.equal([])
    })

    it('lists every fault of an invalid file', async () => {
      const { exitCode, output } = await execute('validate', 'faulty')
      expect(exitCode).to.equal(1)
      expect(output).to.match(/5 faults/).and.to.match(/line 1, column 7: name: Must be .* \[name\]/).and.to.match(/kinds: .* \[required\]/)
      expect((await json('validate', 'faulty')).value.faults).to.have.lengthOf(5)
    })

    it('exits with 2 if the file cannot be read', async () => {
      expect((await execute('validate', 'missing')).exitCode).to.equal(2)
    })
  })

  describe('difference', () => {
    it('compares two files offline', async () => {
      expect(await runCommand(service.current, ['document', 'difference', 'first', 'second'], { files: FILES, variables: { CORNELGAUGE_TOKEN: '' } }))
        .to.deep.include({ exitCode: 0, output: `${CHANGE_LINE}\n` })
    })

    it('compares a file with the document in force', async () => {
      service.current.on(`${ROUTE}?production`, inForce(FIRST))
      expect((await execute('difference', 'second', '--environment', 'production')).output).to.equal(`${CHANGE_LINE}\n`)
      expect((await json('difference', 'second', '--environment=production')).value.changes).to.have.lengthOf(1)
    })

    it('exits with 3 if no document is in force', async () => {
      expect((await execute('difference', 'second')).exitCode).to.equal(3)
    })
  })

  describe('apply', () => {
    it('applies the first document on condition that none is in force', async () => {
      service.current.on(PUT_ROUTE, accepted(FIRST))
      expect((await execute('apply', 'first')).exitCode).to.equal(0)
      expect(service.current.receivedRequests.at(-1)).to.deep.include({ body: FIRST, query: { environment: 'trial' } })
      expect(service.current.receivedRequests.at(-1)?.headers).to.deep.include({ 'if-none-match': '*', authorization: `Bearer ${TOKEN}` })
    })

    it('applies a later document on condition that the version it was compared with is in force', async () => {
      service.current.on(ROUTE, inForce(FIRST)).on(PUT_ROUTE, accepted(SECOND))
      const { exitCode, output } = await execute('apply', 'second', '--operator', 'Jana N.')
      expect({ exitCode, output }).to.deep.equal({ exitCode: 0, output: `${CHANGE_LINE}\nVersion 4 is in force in trial\ndigest ${digestOf(SECOND)}\n` })
      expect(service.current.receivedRequests.at(-1)?.headers).to.deep.include({ 'if-match': '"3-tag"', 'x-operator': 'Jana N.' })
    })

    it('changes nothing if an identical document is in force', async () => {
      service.current.on(ROUTE, inForce(FIRST))
      expect((await json('apply', 'first')).value).to.deep.include({ version: 3, unchanged: true })
      expect(service.current.receivedRequests.map(({ route }) => route)).to.deep.equal([ROUTE])
    })

    it('does not send a document that has faults', async () => {
      expect((await execute('apply', 'faulty')).exitCode).to.equal(1)
      expect(service.current.receivedRequests).to.deep.equal([])
    })

    it('prints the version in force and the difference after a version conflict', async () => {
      const conflict = problem('version-conflict', { members: { currentVersion: 4, difference: [CHANGE_LINE] } })
      service.current.on(ROUTE, inForce(FIRST)).on(PUT_ROUTE, conflict)
      const { exitCode, diagnostics } = await execute('apply', 'second')
      expect(exitCode).to.equal(3)
      expect(diagnostics).to.contain('Version in force: 4').and.to.contain(CHANGE_LINE)
      expect((await json('apply', 'second')).value).to.deep.include({ code: 'version-conflict', currentVersion: 4 })
    })

    it('reads the document in force to find out whether a change took effect if its response was lost', async () => {
      service.current.on(ROUTE, inForce(FIRST), inForce(SECOND, 4)).on(PUT_ROUTE, { body: '', lost: true })
      expect((await json('apply', 'second'))).to.deep.include({ exitCode: 0 })
    })

    it('reports that it is not known whether a change took effect', async () => {
      service.current.on(ROUTE, inForce(FIRST)).on(PUT_ROUTE, { body: 'bad gateway', status: 502 })
      const { exitCode, diagnostics } = await execute('apply', 'second')
      expect(exitCode).to.equal(4)
      expect(diagnostics).to.contain('Whether the document was accepted is not known')
    })
  })

  describe('promote', () => {
    it('promotes by digest, on condition that the version read from production is in force', async () => {
      service.current.on(`${ROUTE}?production`, inForce(FIRST)).on(PROMOTION_ROUTE, accepted(SECOND, 'production'))
      expect(await json('promote', digestOf(SECOND))).to.deep.include({ exitCode: 0 })
      expect(service.current.receivedRequests.at(-1)).to.deep.include({ body: JSON.stringify({ digest: digestOf(SECOND) }) })
      expect(service.current.receivedRequests.at(-1)?.headers['if-match']).to.equal('"3-tag"')
    })

    it('exits with 3 if the digest is not in force in trial', async () => {
      service.current.on(PROMOTION_ROUTE, problem('promotion-refused'))
      expect((await execute('promote', digestOf(SECOND))).exitCode).to.equal(3)
    })

    it('rejects an abbreviated digest', async () => {
      expect((await execute('promote', digestOf(SECOND).slice(0, 12))).exitCode).to.equal(2)
    })
  })

  describe('show', () => {
    it('prints the document byte for byte', async () => {
      service.current.on(ROUTE, inForce(FIRST))
      expect(await execute('show')).to.deep.include({ exitCode: 0, output: FIRST, diagnostics: '' })
      expect((await json('show')).value).to.deep.equal({ environment: 'trial', version: 3, digest: digestOf(FIRST), text: FIRST })
    })

    it('rejects a document that does not match its digest', async () => {
      service.current.on(ROUTE, { ...inForce(FIRST), body: SECOND })
      expect(await json('show')).to.deep.include({ exitCode: 4 })
    })
  })
})
