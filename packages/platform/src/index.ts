/** Ports to the platform's services. */
export * from './backend-server.js'
export * from './object-store.js'
export * from './table-service.js'
export * from './vm-list.js'
