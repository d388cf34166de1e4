/** Measures one decision of the policy by the accelerators of its cell. */
import { backendServerName, kindName, rackName, requestId, requestKey, workspaceName } from '@cornelgauge/model'
import { applyChange, createPolicy, decide, type Job, type PolicyState } from '@cornelgauge/policy'
import type { Measure } from './slopes-measure.js'
import { processorMilliseconds } from './slopes-meter.js'

const ACCELERATORS_PER_SERVER = 8
const SERVERS_PER_RACK = 16
const GANG_ACCELERATORS = 64
const DECISIONS = 20
const WORKSPACE = workspaceName('team-1')

function jobOf (number: number): Job {
  return {
    id: requestId(WORKSPACE, requestKey(`gang-${number}`)),
    workspace: WORKSPACE,
    kind: kindName('long'),
    shape: { slots: 1, accelerators: GANG_ACCELERATORS, adjacency: 'rack' },
    arrivedAt: 0,
    deadline: 1_000_000,
    declaredMilliseconds: 60_000,
    attempts: 0
  }
}

/** An idle cell with one waiting gang. */
function cellOf (accelerators: number): PolicyState {
  const kinds = [{ name: kindName('long'), urgent: false, idempotent: true, checkpointable: true, minimumShare: 0.3 }]
  const workspaces = [{ name: WORKSPACE, weight: 1, guarantees: [], maximumPending: 1000 }]
  let state = createPolicy({ kinds, workspaces, reclaimMilliseconds: 5000, seed: 1 })
  for (let number = 0; number < accelerators / ACCELERATORS_PER_SERVER; number++) {
    const rackPosition = Math.floor(number / SERVERS_PER_RACK)
    const server = { name: backendServerName(`server-${number}`), rack: rackName(`rack-${rackPosition}`), rackPosition, slots: 8, accelerators: ACCELERATORS_PER_SERVER }
    state = applyChange(state, { type: 'server-joined', server, at: 0 })
  }
  return applyChange(state, { type: 'job-arrived', job: jobOf(1), at: 0 })
}

/** The measure of the policy. */
export const POLICY_MEASURES: readonly Measure[] = [{
  name: 'policy-decision',
  driver: 'accelerator of the cell',
  sizes: [256, 512, 1024, 1536, 2048],
  units: { processor: 'ms' },
  repeats: 5,
  take: async size => {
    const state = cellOf(size)
    const milliseconds = await processorMilliseconds(() => { for (let count = 0; count < DECISIONS; count++) decide(state, count) })
    return { processor: milliseconds / DECISIONS }
  }
}]
