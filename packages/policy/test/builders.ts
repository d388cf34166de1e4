/** Builders for policy settings, jobs, backend servers and states. */
import { backendServerName, kindName, rackName, requestId, requestKey, workspaceName, type Shape } from '@cornelgauge/model'
import { applyChange, createPolicy, decide, type Decision, type Job, type KindSettings, type PolicySettings, type PolicyState, type ServerDescription } from '../src/index.js'

export const slots = (count: number): Shape => ({ slots: count, accelerators: 0, adjacency: 'server' })
export const gang = (accelerators: number, adjacency: Shape['adjacency'] = 'rack'): Shape => ({ slots: 1, accelerators, adjacency })

export const kind = (name: string, changes: Partial<KindSettings> = {}): KindSettings =>
  ({ name: kindName(name), urgent: false, idempotent: false, checkpointable: false, minimumShare: 0, ...changes })

export const SWAP = kind('shift-swap', { urgent: true, minimumShare: 0.2 })
export const ROTA = kind('term-rota', { checkpointable: true, minimumShare: 0.2 })
export const CHECK = kind('availability-check', { idempotent: true, minimumShare: 0.1 })

export const settings = (changes: Partial<PolicySettings> = {}): PolicySettings => ({
  kinds: [SWAP, ROTA, CHECK],
  workspaces: ['brno', 'praha'].map(name => ({ name: workspaceName(name), weight: 1, guarantees: [], maximumPending: 1000 })),
  reclaimMilliseconds: 5000,
  seed: 1,
  ...changes
})

export const server = (rack: number, index: number, changes: Partial<ServerDescription> = {}): ServerDescription => ({
  name: backendServerName(`server-${rack}-${index}`), rack: rackName(`rack-${rack}`), rackPosition: rack, slots: 8, accelerators: 8, ...changes
})

export const racks = (count: number, serversPerRack: number): ServerDescription[] =>
  Array.from({ length: count * serversPerRack }, (_, index) => server(Math.floor(index / serversPerRack), index % serversPerRack))

export const job = (key: string, changes: Partial<Job> & { workspaceName?: string, kindName?: string } = {}): Job => {
  const { workspaceName: workspace = 'brno', kindName: name = 'shift-swap', ...rest } = changes
  return {
    id: requestId(workspaceName(workspace), requestKey(key)),
    workspace: workspaceName(workspace),
    kind: kindName(name),
    shape: slots(1),
    arrivedAt: 0,
    deadline: 60_000,
    declaredMilliseconds: 1000,
    attempts: 0,
    ...rest
  }
}

export const withServers = (state: PolicyState, servers: readonly ServerDescription[]): PolicyState =>
  servers.reduce((current, description) => applyChange(current, { type: 'server-joined', server: description, at: 0 }), state)

export const withJobs = (state: PolicyState, ...jobs: readonly Job[]): PolicyState =>
  jobs.reduce((current, next) => applyChange(current, { type: 'job-arrived', job: next, at: next.arrivedAt }), state)

export const withEnded = (state: PolicyState, running: Job, at: number): PolicyState =>
  applyChange(state, { type: 'job-ended', id: running.id, outcome: 'finished', at })

export const cell = (servers: readonly ServerDescription[], changes: Partial<PolicySettings> = {}): PolicyState =>
  withServers(createPolicy(settings(changes)), servers)

/** Formats each decision as its type and request id. */
export const describeDecisions = (decisions: readonly Decision[]): string[] => decisions.map(decision => `${decision.type} ${decision.id}`)

export const decideAndDescribe = (state: PolicyState, now = 0): string[] => describeDecisions(decide(state, now).decisions)
