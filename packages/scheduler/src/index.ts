/** The owner of a cell: its state, and the pure step function that drives it. */
export * from './effect.js'
export * from './event.js'
export * from './limits.js'
export * from './policy-settings.js'
export * from './state.js'
export * from './step.js'
