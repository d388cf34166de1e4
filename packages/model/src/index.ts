/** Types and values shared by all other packages. */
export * from './digest.js'
export * from './errors.js'
export * from './ids.js'
export * from './request.js'
export * from './shape.js'
export * from './state.js'
