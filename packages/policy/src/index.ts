/** The scheduling decisions. */
export * from './scheduler.js'
