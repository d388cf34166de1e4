/**
 * Where a step may run if an outside service decides that. Answers the load in which
 * each backend server named costs time: only as many are named as the step needs.
 */
import type { Advice, AdviseCommand } from './command.js'
import type { ServerId } from './ids.js'
import type { StepState } from './job-state.js'
import { ADVICE_AGAIN_MILLISECONDS, ADVICE_MOST_SERVERS, ADVICE_SPARE_SERVERS, TICKET_RESERVE_MILLISECONDS } from './limits.js'
import { Room, roomFor, type Place } from './room.js'

/**
 * The places for which a step has a ticket.
 *
 * @example
 * const allowed = advisedRoom(room, step, now)
 */
export function advisedRoom (room: Room, step: StepState, now: number): Room {
  return new Room(room.places.filter(place => ticketFor(step, place, now) !== undefined))
}

/**
 * The ticket with which a step may start at a place, if there is one.
 *
 * @example
 * ticketFor(step, place, now)
 */
export function ticketFor (step: StepState, { server }: Place, now: number): string | undefined {
  const ticket = step.advice.tickets.get(server.id)
  const isValid = ticket !== undefined && ticket.life === server.entry.life && ticket.expiresAt - now > TICKET_RESERVE_MILLISECONDS
  return isValid ? ticket.text : undefined
}

/**
 * Asks for the places that a step lacks, unless an answer is still awaited.
 *
 * @example
 * const command = askAdvice(step, room, now)
 */
export function askAdvice (step: StepState, room: Room, now: number): AdviseCommand | undefined {
  if (now - step.advice.askedAt < ADVICE_AGAIN_MILLISECONDS) return undefined
  const waiting = step.tasks.filter(task => task.isWaiting).length
  const servers: ServerId[] = []
  let tasks = 0
  for (const place of room.places) {
    if (step.advice.refused.has(place.server.id)) continue
    const fitting = roomFor(place, step, waiting)
    if (fitting === 0) continue
    servers.push(place.server.id)
    tasks += fitting
    if (tasks >= waiting && servers.length >= Math.min(waiting, ADVICE_MOST_SERVERS) + ADVICE_SPARE_SERVERS) break
    if (servers.length === ADVICE_MOST_SERVERS) break
  }
  if (servers.length === 0) return undefined
  step.advice.askedAt = now
  return { type: 'advise', step: step.name, servers }
}

/**
 * Takes what the service answered; without an answer it is asked again later.
 *
 * @example
 * takeAdvice(step, command, advice, lives, now)
 */
export function takeAdvice (step: StepState, { servers }: AdviseCommand, advice: Advice | undefined, lifeOf: (server: ServerId) => number | undefined, now: number): void {
  if (advice === undefined) return
  step.advice.askedAt = -Infinity
  const allowed = new Map(advice.allowed.map(({ server, ticket }) => [server, ticket]))
  for (const server of servers) {
    const text = allowed.get(server)
    const life = lifeOf(server)
    if (text === undefined) step.advice.refused.add(server)
    else if (life !== undefined) step.advice.tickets.set(server, { text, life, expiresAt: now + advice.validMilliseconds })
  }
}
