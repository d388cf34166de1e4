/**
 * The HTTP client of the VM list.
 */
import type { VmName } from '@cornelgauge/model'
import { HttpClient, type HttpClientOptions } from './http-client.js'
import type { ListedVm, VmList } from './vm-list.js'

/**
 * The VM list over HTTP, with JSON bodies. Only tests and the local deployment change entries.
 *
 * @example
 * const vms = new HttpVmList({ address: '127.0.0.1:8000', timeoutMilliseconds: 1000 })
 * await vms.list()
 */
export class HttpVmList implements VmList {
  readonly #client: HttpClient

  constructor (options: HttpClientOptions) {
    this.#client = new HttpClient(options)
  }

  list (): Promise<readonly ListedVm[]> {
    return this.#client.json({ method: 'GET', path: '/vms' })
  }

  async setVm (vm: ListedVm): Promise<void> {
    await this.#client.call({ method: 'PUT', path: vmPath(vm.name), body: JSON.stringify(vm) })
  }

  async removeVm (name: VmName): Promise<void> {
    await this.#client.call({ method: 'DELETE', path: vmPath(name) })
  }

  close (): Promise<void> {
    return this.#client.close()
  }
}

function vmPath (name: VmName): string {
  return `/vms/${encodeURIComponent(name)}`
}
