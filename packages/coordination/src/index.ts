/** Embeddable coordination parts. */
export * from './ledger.js'
export * from './transition.js'
