/** A job for tests. */
import { epoch, workspaceName } from '@cornelgauge/model'
import { jobId, poolName, queueName, type Job, type StepSpecification } from '@cornelgauge/jobs'

/** A step of two tasks with one accelerator each. */
export const STEP = {
  count: 2,
  need: { processor: 1, memory: 1, accelerators: 1 },
  estimateMilliseconds: 0,
  after: [],
  savesCheckpoints: false,
  isGang: false,
  wantsOneRack: false,
  allowsCopies: false,
  isLasting: false,
  fillsIdleProcessor: false
} satisfies StepSpecification

/** A job of that step, accepted under epoch 1. */
export const JOB: Job = {
  id: jobId('00000000000000a1'),
  queue: queueName('check'),
  pool: poolName('pool'),
  workspace: workspaceName('brno'),
  specification: 'work',
  acceptedAt: 1000,
  acceptedUnder: epoch(1),
  steps: [STEP]
}
