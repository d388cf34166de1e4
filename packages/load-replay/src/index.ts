/** Replays of seeded workloads against the planner. */
export * from './account.js'
export * from './pattern.js'
export { replay, Replay } from './replay.js'
export { arrivalsOf } from './workload.js'
