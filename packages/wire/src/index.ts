/** The inner protocol between daemons. */
export * from './message.js'
