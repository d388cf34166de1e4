/** The inner protocol between daemons. */
export * from './client.js'
export * from './clock.js'
export * from './event.js'
export * from './limits.js'
export * from './message.js'
export * from './server.js'
export * from './timers.js'
export * from './violation.js'
