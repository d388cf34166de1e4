/** The environment document. */
export * from './document.js'
