/** Writes the planner's events of tasks, jobs and backend servers to the log. */
import type { PlannerEvent } from '@cornelgauge/jobs'
import type { EmitEvent } from '@cornelgauge/telemetry'

type Emitters = { readonly [Type in PlannerEvent['type']]: (emit: EmitEvent, finding: Extract<PlannerEvent, { readonly type: Type }>) => void }

const EMITTERS: Emitters = {
  'task-ended': (emit, { type, ...details }) => emit('task-ended', { details }),
  'server-restarted': (emit, { type, sinceAnswer, youngest, ...details }) => {
    emit('server-restarted', { details: { ...details, ...roundedWait(sinceAnswer), ...(youngest === undefined ? {} : { youngest: Math.round(youngest) }) } })
  },
  'server-leases-expired': (emit, { type, sinceAnswer, ...details }) => emit('server-leases-expired', { details: { ...details, ...roundedWait(sinceAnswer) } }),
  'duplicate-run': (emit, { type, ...details }) => emit('duplicate-run', { details }),
  'run-lost-with-server': (emit, { type, ...details }) => emit('run-lost-with-server', { details }),
  'crash-attributed': (emit, { type, ...details }) => emit('crash-attributed', { details }),
  'crashes-refuted': (emit, { type, ...details }) => emit('crashes-refuted', { details }),
  'runs-reclaimed': (emit, { type, ...details }) => emit('runs-reclaimed', { details: { ...details, waitedMilliseconds: Math.round(details.waitedMilliseconds) } }),
  'job-given-up': (emit, { type, ...details }) => emit('job-given-up', { details }),
  'job-idle': (emit, { type, waitMilliseconds, ...details }) => {
    const wait = waitMilliseconds === undefined ? {} : { waitMilliseconds: Math.round(waitMilliseconds) }
    emit('job-idle', { details: { ...details, ...wait, milliseconds: Math.round(details.milliseconds), age: Math.round(details.age) } })
  },
  'progress-refused': (emit, { type, ...details }) => emit('progress-refused', { details }),
  'job-ended': (emit, { type, ...details }) => emit('job-ended', { details }),
  'domain-evacuated': (emit, { type, ...details }) => emit('domain-evacuated', { details }),
  'domain-in-service': (emit, { type, ...details }) => emit('domain-in-service', { details: { ...details, milliseconds: Math.round(details.milliseconds) } }),
  'server-speeds': (emit, { type, ...details }) => emit('server-speeds', { details }),
  'server-pool-unknown': (emit, { type, ...details }) => emit('server-pool-unknown', { details })
}

/** Milliseconds since an answer; absent if there was none. */
function roundedWait (sinceAnswer: number): { readonly sinceAnswer?: number } {
  return Number.isFinite(sinceAnswer) ? { sinceAnswer: Math.round(sinceAnswer) } : {}
}

/**
 * Writes events of the planner to the log.
 *
 * @example
 * logFindings(emit, planner.drainEvents())
 */
export function logFindings (emit: EmitEvent, findings: readonly PlannerEvent[]): void {
  for (const finding of findings) {
    const emitter = EMITTERS[finding.type] as (emit: EmitEvent, finding: PlannerEvent) => void
    emitter(emit, finding)
  }
}
