/**
 * The stand-in of the object store.
 */
import { CornelgaugeError } from '@cornelgauge/model'
import type { MemoryObjectStore } from '@cornelgauge/ports'
import type { Route } from './route.js'
import type { StandInServerOptions } from './stand-in-server.js'

/**
 * The faults and routes of the object store's stand-in.
 *
 * @example
 * new StandInServer(objectStoreOptions(new MemoryObjectStore()))
 */
export function objectStoreOptions (objects: MemoryObjectStore): StandInServerOptions {
  const routes: readonly Route[] = [
    { method: 'PUT', path: '/objects/:name', handle: ({ parameters, body }) => objects.put(parameters.name!, body) },
    { method: 'GET', path: '/objects/:name', handle: ({ parameters }) => readObject(objects, parameters.name!) },
    { method: 'DELETE', path: '/objects/:name', handle: ({ parameters }) => objects.delete(parameters.name!) },
    { method: 'GET', path: '/objects', handle: ({ query }) => objects.list(query.get('prefix') ?? '') }
  ]
  const controlRoutes: readonly Route[] = [{ method: 'GET', path: '/counters', handle: async () => objects.counters }]
  return { faults: objects.faults, routes, controlRoutes }
}

async function readObject (objects: MemoryObjectStore, name: string): Promise<Uint8Array> {
  const content = await objects.get(name)
  if (content === undefined) throw new CornelgaugeError('not-found', { detail: `There is no object ${name}` })
  return content
}
