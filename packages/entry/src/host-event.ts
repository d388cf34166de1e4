/** Types of the inputs and commands that a planner host handles. */
import type { CornelgaugeError } from '@cornelgauge/model'
import type { RegistryReading } from './registry-reader.js'
import type { Advice, AdviseCommand, Command, Configuration, Job, JobId, ServerId, ServerReport, StartCommand, StartOutcome, StopCommand, StopOutcome } from '@cornelgauge/jobs'

/** An input of the planner; all of them pass through one stream. */
export type HostEvent =
  | { readonly type: 'polled', readonly server: ServerId, readonly report: ServerReport }
  | { readonly type: 'pollFailed', readonly server: ServerId, readonly address: string, readonly incarnation: number | undefined, readonly sentAt: number, readonly failure: CornelgaugeError }
  | { readonly type: 'started', readonly command: StartCommand, readonly outcome: StartOutcome }
  | { readonly type: 'stopped', readonly command: StopCommand, readonly outcome: StopOutcome }
  | { readonly type: 'advised', readonly command: AdviseCommand, readonly advice: Advice | undefined }
  | { readonly type: 'registryUpdated' } & RegistryReading
  | { readonly type: 'configured', readonly configuration: Configuration }
  | { readonly type: 'evacuated', readonly failureDomains: ReadonlySet<string> }
  | { readonly type: 'submitted', readonly job: Job }
  | { readonly type: 'cancelled', readonly id: JobId }
  | { readonly type: 'tick' }

/** Handlers of the inputs, by type. */
export type HostEventHandlers = { readonly [Type in HostEvent['type']]: (event: Extract<HostEvent, { type: Type }>) => void }
/** Performers of the planner's commands, by type. */
export type CommandHandlers = { readonly [Type in Command['type']]: (command: Extract<Command, { type: Type }>) => Promise<void> }
