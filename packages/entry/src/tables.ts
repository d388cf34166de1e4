/** The tables that the entry VMs keep in the store. */

/** Who owns the planner: one row. */
export const OWNER_TABLE = 'owner'
export const OWNER_KEY = 'planner'
/** Accepted jobs, by id: written once by the entry VM that accepted them. */
export const JOBS_TABLE = 'jobs'
/** Cancelled jobs, by id: written once by the entry VM that was asked. */
export const CANCELS_TABLE = 'cancels'
/** The course of jobs, by id: written by the owner only, under its row. */
export const PROGRESS_TABLE = 'progress'
