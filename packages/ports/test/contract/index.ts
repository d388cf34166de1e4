/** The contract tests that every implementation of a port must pass. */
export * from './backend-server-contract.js'
export * from './object-store-contract.js'
export * from './subject.js'
export * from './table-service-contract.js'
export * from './vm-list-contract.js'
