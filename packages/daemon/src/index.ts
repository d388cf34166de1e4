/** The daemon of an entry VM. */
export { Daemon } from './daemon.js'
export { readSettings, type Settings } from './settings.js'
export { CellHost } from './cell-host.js'
export { Documents } from './documents.js'
export { Replies } from './replies.js'
export { VmDirectory } from './vm-directory.js'
