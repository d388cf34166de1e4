/**
 * Placement of steps that need the permission of the advice service. Each backend server
 * in a request adds to the decision time, so a request holds only as many as the step
 * needs, plus a few spare ones.
 */
import type { Advice, AdviseCommand } from './command.js'
import type { ServerId } from './ids.js'
import type { StepState } from './step-state.js'
import { ADVICE_RETRY_MILLISECONDS, MAXIMUM_ADVICE_SERVERS, ADVICE_SPARE_SERVERS, TICKET_RESERVE_MILLISECONDS } from './limits.js'
import { CapacitySnapshot, countFitting, type PlacementTarget } from './capacity-snapshot.js'

/**
 * Selects the targets for which a step has a valid ticket.
 *
 * @example
 * const allowed = targetsWithTicket(snapshot, step, now)
 */
export function targetsWithTicket (snapshot: CapacitySnapshot, step: StepState, now: number): CapacitySnapshot {
  return new CapacitySnapshot(snapshot.targets.filter(target => ticketFor(step, target, now) !== undefined), snapshot.work)
}

/**
 * Returns the ticket with which a step may start on a target, if it is still valid.
 *
 * @example
 * ticketFor(step, target, now)
 */
export function ticketFor (step: StepState, { server }: PlacementTarget, now: number): string | undefined {
  const ticket = step.advice.tickets.get(server.id)
  const isValid = ticket !== undefined && ticket.incarnation === server.entry.incarnation && ticket.expiresAt - now > TICKET_RESERVE_MILLISECONDS
  return isValid ? ticket.text : undefined
}

/**
 * Requests advice for the waiting tasks of a step, unless a request is pending.
 *
 * @example
 * const command = requestAdvice(step, snapshot, now)
 */
export function requestAdvice (step: StepState, snapshot: CapacitySnapshot, now: number): AdviseCommand | undefined {
  if (now - step.advice.requestedAt < ADVICE_RETRY_MILLISECONDS) return undefined
  const waiting = step.waitingCount
  const servers = new Map<ServerId, number>()
  let tasks = 0
  for (const target of snapshot.targets) {
    if (step.advice.refused.has(target.server.id)) continue
    const fitting = countFitting(target, step, waiting)
    if (fitting === 0) continue
    servers.set(target.server.id, target.server.entry.incarnation)
    tasks += fitting
    if (tasks >= waiting && servers.size >= Math.min(waiting, MAXIMUM_ADVICE_SERVERS) + ADVICE_SPARE_SERVERS) break
    if (servers.size === MAXIMUM_ADVICE_SERVERS) break
  }
  if (servers.size === 0) return undefined
  step.advice.requestedAt = now
  return { type: 'advise', step: step.name, servers: [...servers.keys()], incarnations: servers }
}

/**
 * Applies an answer of the advice service; without an answer the request is repeated later. A backend server that has restarted
 * since the request needs another ticket.
 *
 * @example
 * applyAdvice(step, command, advice, now)
 */
export function applyAdvice (step: StepState, { incarnations }: AdviseCommand, advice: Advice | undefined, now: number): void {
  if (advice === undefined) return
  step.advice.requestedAt = -Infinity
  const allowed = new Map(advice.allowed.map(({ server, ticket }) => [server, ticket]))
  for (const [server, incarnation] of incarnations) {
    const text = allowed.get(server)
    if (text === undefined) step.advice.refused.add(server)
    else step.advice.tickets.set(server, { text, incarnation, expiresAt: now + advice.validMilliseconds })
  }
}
