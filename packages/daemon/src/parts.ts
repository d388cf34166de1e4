/** The parts of a VM for rigs that run several of them in one process; not for other users. */
export { CellHost, OWNERSHIP_POLL_MILLISECONDS } from './cell-host.js'
export type { CellEffects } from './cell-loop.js'
export { Documents, type DocumentInForce } from './documents.js'
export { peerCalls } from './peer-calls.js'
export { Replies } from './replies.js'
export { Router, type Told } from './router.js'
export { Telemetry, type TelemetrySettings } from './telemetry.js'
export { VmDirectory } from './vm-directory.js'
