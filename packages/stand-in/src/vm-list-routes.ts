/**
 * The stand-in of the VM list. `PUT` and `DELETE` change the list; `GET` returns it with a lag.
 */
import { CornelgaugeError, vmName } from '@cornelgauge/model'
import type { ListedVm, MemoryVmList } from '@cornelgauge/ports'
import { bodyOf, requireFields, type Call, type Route } from './route.js'
import type { StandInServerOptions } from './stand-in-server.js'

const isText = (value: unknown): boolean => typeof value === 'string'

/**
 * The faults and routes of the VM list's stand-in.
 *
 * @example
 * new StandInServer(vmListOptions(new MemoryVmList(2000)))
 */
export function vmListOptions (vms: MemoryVmList): StandInServerOptions {
  const routes: readonly Route[] = [
    { method: 'GET', path: '/vms', handle: () => vms.list() },
    { method: 'PUT', path: '/vms/:name', handle: async call => vms.setVm(vmOf(call)) },
    { method: 'DELETE', path: '/vms/:name', handle: async ({ parameters }) => vms.removeVm(vmName(parameters.name!)) }
  ]
  return { faults: vms.faults, routes }
}

function vmOf (call: Call): ListedVm {
  const vm = bodyOf<ListedVm>(call)
  requireFields(vm, { name: isText, role: isText, failureDomain: isText, address: isText, status: isText })
  if (vm.name !== call.parameters.name) throw new CornelgaugeError('invalid-request', { detail: 'The name differs from the path' })
  return vm
}
