/** Internal components of the daemon, for test rigs that run several VMs in one process. Not a public interface. */
export { CellHost, OWNERSHIP_POLL_MILLISECONDS } from './cell-host.js'
export type { CellEffects } from './cell-loop.js'
export { Documents, type DocumentInForce } from './documents.js'
export { peerCallHandler } from './peer-calls.js'
export { Replies } from './replies.js'
export { Router, RoutedRecord } from './router.js'
export { Telemetry, type TelemetrySettings } from './telemetry.js'
export { VmDirectory } from './vm-directory.js'
