/** Events, logs and metrics. */
export * from './event.js'
