/** The daemon of an entry VM. */
export { Daemon } from './daemon.js'
export { readSettings, type Settings } from './settings.js'
