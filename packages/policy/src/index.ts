/** The scheduling policy: admission, order of service, placement, guarantees and preemption. */
export * from './interface.js'
export { admit, expectedWait } from './admission.js'
export { POLICIES, type Policy, type PolicyName } from './policies.js'
export { applyChange } from './change.js'
export { decide } from './decide.js'
export { unmetGuarantees, type UnmetGuarantee } from './guarantee.js'
export { createPolicy } from './state.js'
