/**
 * A minimal daemon for tests of the launcher: it records the promotion of a document in
 * the table service, and answers each submission at once with its own echo.
 */
import { once } from 'node:events'
import { createServer, type IncomingMessage } from 'node:http'
import { digestOf } from '@cornelgauge/model'
import { HttpTableService } from '@cornelgauge/ports'

/** The value that follows a flag on the command line. */
const flag = (name: string): string => process.argv[process.argv.indexOf(name) + 1] ?? ''

const [host = '', port = ''] = flag('--address').split(':')
const tables = new HttpTableService({ address: flag('--table-service'), timeoutMilliseconds: 5000, localAddress: host })
const environment = process.env

const bodyOf = async (request: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = []
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

const put = (key: string, value: Record<string, string>): Promise<void> =>
  tables.write({ conditions: [], operations: [{ type: 'put', table: 'fake', key, value }] })

type Reply = readonly [status: number, body: unknown]
type Handler = (request: IncomingMessage, body: string) => Promise<Reply>

const HANDLERS: Readonly<Record<string, Handler>> = {
  'GET /health/live': async () => [200, {}],
  'GET /health/ready': async () => [await tables.read('fake', 'promoted') === undefined ? 503 : 200, {}],
  'PUT /v1/environment/document': async (request, body) => {
    const accepted = request.headers['if-none-match'] === '*' && request.headers['content-type'] === 'application/yaml' &&
      request.headers.authorization === `Bearer ${environment.CORNELGAUGE_OPERATOR_TOKENS}`
    return accepted ? [200, { digest: digestOf(body) }] : [400, { code: 'invalid-request' }]
  },
  'POST /v1/environment/promotion': async (_, body) => {
    await put('promoted', JSON.parse(body) as Record<string, string>)
    return [200, {}]
  },
  'POST /v1/workspaces': async (_, body) => {
    const { payload } = JSON.parse(body) as { payload: { echo: unknown } }
    return [200, { state: 'finished', answer: { echo: payload.echo } }]
  }
}

const handlerOf = ({ method = '', url = '' }: IncomingMessage): Handler => {
  const known = Object.keys(HANDLERS).find(name => `${method} ${url}`.startsWith(name))
  return known === undefined ? async () => [404, { code: 'not-found' }] : HANDLERS[known]!
}

const server = createServer(async (request, response) => {
  const [status, body] = await handlerOf(request)(request, await bodyOf(request))
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
})
server.listen(Number(port), host)
await once(server, 'listening')
for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => process.exit(0))
