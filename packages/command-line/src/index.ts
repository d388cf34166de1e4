/** The command-line interface for operators and callers. */
export { EXIT_CODES, type ExitName } from './exit-code.js'
export * from './http.js'
export { type Tools } from './operation.js'
export * from './run.js'
export * from './terminal.js'
export * from './timeline-renderer.js'
