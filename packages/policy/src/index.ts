/** The scheduling decisions. */
export * from './scheduler.js'
export { admit } from './admission.js'
export { applyChange } from './change.js'
export { decide } from './decide.js'
export { createPolicy } from './state.js'
