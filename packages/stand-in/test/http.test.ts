import { expect } from 'chai'
import {
  HttpBackendServer, HttpObjectStore, HttpTableService, HttpVmList, MemoryBackendServer, MemoryObjectStore, MemoryTableService, MemoryVmList,
  VirtualClock, type FaultSetting, type HttpClientOptions
} from '@cornelgauge/ports'
import { describeBackendServer, describeObjectStore, describeTableService, describeVmList, failureCode, type Subject } from '@cornelgauge/ports/contract'
import { backendServerOptions, objectStoreOptions, StandInServer, tableServiceOptions, vmListOptions, type StandInServerOptions } from '../src/index.js'

const LAG_MILLISECONDS = 2000
const ANY_PORT = { host: '127.0.0.1', port: 0 }

/** A client that reaches a port over HTTP. */
interface Client { close (): Promise<void> }

const put = async (address: string, path: string, body: string): Promise<number> =>
  (await fetch(`http://${address}${path}`, { method: 'PUT', body })).status

const call = async (address: string, method: string, path: string, body?: string): Promise<{ status: number, code: unknown }> => {
  const response = await fetch(`http://${address}${path}`, { method, body })
  return { status: response.status, code: ((await response.json()) as { code?: unknown }).code }
}

/** Starts a stand-in server and connects a client to it. */
const serve = async <Port extends Client>(options: StandInServerOptions, clock: VirtualClock, connect: (options: HttpClientOptions) => Port): Promise<Subject<Port>> => {
  const server = new StandInServer(options)
  const address = await server.listen(ANY_PORT)
  const port = connect({ address, timeoutMilliseconds: 5000 })
  return {
    port,
    clock,
    setFault: async (setting: FaultSetting) => { expect(await put(address, '/faults', JSON.stringify(setting))).to.equal(200) },
    close: async () => {
      await port.close()
      await server.close()
    }
  }
}

describe('over HTTP', () => {
  describeTableService('table service', () => {
    const clock = new VirtualClock()
    return serve(tableServiceOptions(new MemoryTableService(clock)), clock, options => new HttpTableService(options))
  })

  describeObjectStore('object store', () => {
    const clock = new VirtualClock()
    return serve(objectStoreOptions(new MemoryObjectStore(clock)), clock, options => new HttpObjectStore(options))
  })

  describeVmList('VM list', async () => {
    const clock = new VirtualClock()
    const subject = await serve(vmListOptions(new MemoryVmList(LAG_MILLISECONDS, clock)), clock, options => new HttpVmList(options))
    return {
      ...subject,
      lagMilliseconds: LAG_MILLISECONDS,
      setVm: vm => subject.port.setVm(vm),
      removeVm: name => subject.port.removeVm(name)
    }
  })

  describeBackendServer('backend server', async () => {
    const clock = new VirtualClock()
    const server = new MemoryBackendServer({ slots: 8, accelerators: 8, clock })
    return { ...await serve(backendServerOptions(server), clock, options => new HttpBackendServer(options)), server }
  })

  describe('connections', () => {
    const open = async (timeoutMilliseconds: number): Promise<{ tables: HttpTableService, address: string, close: () => Promise<void> }> => {
      const server = new StandInServer(tableServiceOptions(new MemoryTableService()))
      const address = await server.listen(ANY_PORT)
      const tables = new HttpTableService({ address, timeoutMilliseconds, connections: 1 })
      const close = async (): Promise<void> => {
        await tables.close()
        await server.close()
      }
      return { tables, address, close }
    }

    it('a silent service causes a timeout, and works again afterwards', async () => {
      const { tables, address, close } = await open(500)
      await put(address, '/faults', '{"mode":"silent"}')
      expect(await failureCode(tables.read('rows', 'a'))).to.equal('timeout')
      await put(address, '/faults', '{"mode":"none"}')
      expect(await failureCode(tables.read('rows', 'a'))).to.equal('none')
      await close()
    })

    it('an open connection can be silenced while a new one works', async () => {
      const { tables, address, close } = await open(500)
      await tables.read('rows', 'a')
      await put(address, '/faults', '{"mode":"silent","openConnectionsOnly":true}')
      expect(await failureCode(tables.read('rows', 'a'))).to.equal('timeout')
      expect(await failureCode(tables.read('rows', 'a'))).to.equal('none')
      await close()
    })

    it('a service that does not listen is unavailable', async () => {
      const { tables, close } = await open(1000)
      await close()
      const late = new HttpTableService({ address: '127.0.0.1:1', timeoutMilliseconds: 1000 })
      expect(await failureCode(late.read('rows', 'a'))).to.equal('unavailable')
      await late.close()
      expect(await failureCode(tables.read('rows', 'a'))).to.equal('unavailable')
    })

    it('counters can be read and faults set while the service is down', async () => {
      const { tables, address, close } = await open(1000)
      await put(address, '/faults', '{"mode":"down"}')
      expect((await tables.counters()).writes).to.equal(0)
      await close()
    })
  })

  describe('bad input', () => {
    const CASES: readonly { options: () => StandInServerOptions, method: string, path: string, body?: string, status: number, code: string }[] = [
      { options: tables, method: 'POST', path: '/transactions', body: '{', status: 400, code: 'malformed-json' },
      { options: tables, method: 'POST', path: '/transactions', body: '[]', status: 400, code: 'invalid-request' },
      { options: tables, method: 'POST', path: '/transactions', body: '{"conditions":[{"type":"maybe"}],"operations":[]}', status: 400, code: 'invalid-request' },
      { options: tables, method: 'POST', path: '/transactions', body: '{"conditions":[],"operations":[{"type":"put","table":"t","key":"k"}]}', status: 400, code: 'invalid-request' },
      { options: tables, method: 'GET', path: '/tables/t/rows?limit=-1', status: 400, code: 'invalid-request' },
      { options: tables, method: 'GET', path: '/tables/t/rows/%E0', status: 400, code: 'invalid-request' },
      { options: tables, method: 'GET', path: '/nothing', status: 404, code: 'not-found' },
      { options: tables, method: 'PUT', path: '/transactions', body: '{}', status: 405, code: 'method-not-allowed' },
      { options: tables, method: 'PUT', path: '/faults', body: '{"mode":"odd"}', status: 400, code: 'invalid-request' },
      { options: vms, method: 'PUT', path: '/vms/a', body: '{"name":"a"}', status: 400, code: 'invalid-request' },
      { options: backendServer, method: 'POST', path: '/go', body: '{"claim":{"cell":"a"},"executions":[]}', status: 400, code: 'invalid-request' },
      { options: backendServer, method: 'POST', path: '/prepare', body: '{"claim":{"cell":"a","epoch":1},"preparations":[{}]}', status: 400, code: 'invalid-request' },
      { options: backendServer, method: 'POST', path: '/watch', body: '{"cell":"a","epoch":1}', status: 400, code: 'invalid-request' }
    ]

    for (const { options, method, path, body, status, code } of CASES) {
      it(`${method} ${path} ${body ?? ''} gives ${code}, and the server keeps running`, async () => {
        const server = new StandInServer(options())
        const address = await server.listen(ANY_PORT)
        expect(await call(address, method, path, body)).to.deep.equal({ status, code })
        expect(await put(address, '/faults', '{"mode":"none"}')).to.equal(200)
        await server.close()
      })
    }
  })
})

function tables (): StandInServerOptions {
  return tableServiceOptions(new MemoryTableService())
}

function vms (): StandInServerOptions {
  return vmListOptions(new MemoryVmList())
}

function backendServer (): StandInServerOptions {
  return backendServerOptions(new MemoryBackendServer({ slots: 1, accelerators: 0 }))
}
