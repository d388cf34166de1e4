/** Calls of a simulated owner, each on a connection to the incarnation that it is meant for, as the platform's `BackendServers` makes them. */
import type { ServerId, ServerReport, StartCommand, StartOutcome, StopCommand, StopOutcome } from '../src/index.js'
import type { Answer, Call } from './backend-process.js'
import { BoundConnections } from './bound-connections.js'
import type { Connection, Machine, MessageNetwork } from './message-network.js'
import type { OwnerLoop } from './owner-loop.js'

export const CALL_SLACK_MILLISECONDS = 600
const STOP_TURN_MILLISECONDS = 150
const COMMAND_CONNECTIONS = 3

/** Why a call has no result. */
export type CallFailure = 'timeout' | 'unavailable' | 'stale-epoch' | 'server-replaced'
export type PollResult = ServerReport | CallFailure

/** A poll as the owner makes it. */
export interface OwnerPoll {
  readonly incarnation: number | undefined
  readonly position: number
  readonly leaseUntil: number | undefined
  readonly waitMilliseconds: number
}

interface Target {
  readonly connections: BoundConnections
  underWay: number
  readonly waiting: Set<() => void>
}

type Use<Result> = (result: Result) => void

const POLL_FAILURES: Readonly<Partial<Record<Answer['status'], CallFailure>>> = { 409: 'stale-epoch', 421: 'server-replaced' }
const START_REFUSALS: Readonly<Record<NonNullable<Answer['reason']>, StartOutcome>> = { fence: 'fenced', old: 'outdated', late: 'late', room: 'no-room' }
/** Outcomes of calls for which no connection to their incarnation was found. */
const UNCONNECTED_STARTS: Readonly<Record<CallFailure | 'restarted', StartOutcome>> = { restarted: 'other-life', 'server-replaced': 'other-life', 'stale-epoch': 'fenced', timeout: 'unreached', unavailable: 'unhealthy' }
const UNCONNECTED_STOPS: Readonly<Record<CallFailure | 'restarted', StopOutcome>> = { restarted: 'other-life', 'server-replaced': 'other-life', 'stale-epoch': 'fenced', timeout: 'unanswered', unavailable: 'unanswered' }

/**
 * Polls, starts and stops of one owner.
 *
 * @example
 * calls.poll(id, machine, poll, 1800, result => {})
 */
export class BoundCalls {
  readonly #loop: OwnerLoop
  readonly #network: MessageNetwork
  readonly #token: number
  readonly #mostListedEnds: number
  readonly #targets = new Map<Machine, Target>()

  constructor (loop: OwnerLoop, network: MessageNetwork, token: number, mostListedEnds: number) {
    this.#loop = loop
    this.#network = network
    this.#token = token
    this.#mostListedEnds = mostListedEnds
  }

  poll (id: ServerId, machine: Machine, poll: OwnerPoll, timeout: number, use: Use<PollResult>): void {
    const identify = (): void => this.#identify(id, machine, timeout - poll.waitMilliseconds, (result, connection) => {
      if (typeof result === 'string') use(result)
      else if (result.incarnation === poll.incarnation) this.#pollKnown(id, connection, poll, timeout, again => use(again ?? result))
      else {
        this.#target(machine).connections.release(connection)
        use(result)
      }
    })
    const known = poll.incarnation === undefined ? undefined : this.#target(machine).connections.take(poll.incarnation)
    if (known === undefined) return identify()
    this.#pollKnown(id, known, poll, timeout, result => {
      if (result === undefined) identify()
      else use(result)
    })
  }

  start (command: StartCommand, machine: Machine, mayBeSent: () => boolean, use: Use<StartOutcome>): void {
    const { server, incarnation, task, run, leaseUntil } = command
    const call: Call = { type: 'start', server, token: this.#token, task, run, leaseUntil }
    this.#command(machine, call, incarnation, { turn: CALL_SLACK_MILLISECONDS, mayBeSent }, {
      expired: () => use('expired'),
      unsent: () => use('unsent'),
      unconnected: failure => use(UNCONNECTED_STARTS[failure]),
      failed: () => use('unanswered'),
      answered: ({ status, reason }) => use(status === 200 ? 'started' : status === 421 ? 'other-life' : START_REFUSALS[reason!])
    })
  }

  stop ({ server, incarnation, task, run }: StopCommand, machine: Machine, use: Use<StopOutcome>): void {
    this.#command(machine, { type: 'stop', server, token: this.#token, task, run }, incarnation, { turn: STOP_TURN_MILLISECONDS, mayBeSent: () => true }, {
      expired: () => use('unanswered'),
      unsent: () => use('unanswered'),
      unconnected: failure => use(UNCONNECTED_STOPS[failure]),
      failed: () => use('unanswered'),
      answered: ({ status }) => use(status === 200 ? 'stopped' : status === 421 ? 'other-life' : 'fenced')
    })
  }

  #target (machine: Machine): Target {
    const target = this.#targets.get(machine) ?? { connections: new BoundConnections(machine), underWay: 0, waiting: new Set() }
    this.#targets.set(machine, target)
    return target
  }

  /** Polls on a connection to a known incarnation; undefined if that connection has ended. */
  #pollKnown (server: ServerId, connection: Connection, { position, leaseUntil, waitMilliseconds }: OwnerPoll, timeout: number, use: Use<PollResult | undefined>): void {
    const sentAt = this.#loop.now
    this.#call(connection, { type: 'poll', server, token: this.#token, position, leaseUntil, waitMilliseconds }, timeout, result => {
      this.#target(connection.machine).connections.release(connection)
      if (typeof result !== 'string') use(this.#read(result, sentAt))
      else use(result === 'timeout' ? 'timeout' : undefined)
    })
  }

  /** Opens a connection, and polls on it to learn which incarnation it leads to. */
  #identify (server: ServerId, machine: Machine, timeout: number, use: (result: PollResult, connection: Connection) => void): void {
    const { connections } = this.#target(machine)
    const connection = connections.open()
    const sentAt = this.#loop.now
    this.#call(connection, { type: 'poll', server, token: this.#token, position: 0, waitMilliseconds: 0 }, timeout, answer => {
      const result = typeof answer === 'string' ? answer : this.#read(answer, sentAt)
      if (typeof result === 'string') connections.release(connection)
      else connections.bind(connection, result.incarnation)
      use(result, connection)
    })
  }

  #read (answer: Answer, sentAt: number): PollResult {
    const failure = POLL_FAILURES[answer.status]
    if (failure !== undefined) return failure
    const { incarnation, clock, running, ended } = answer
    return { incarnation, clock, running, ended, hasMoreEnds: ended.length >= this.#mostListedEnds, sentAt, receivedAt: this.#loop.now }
  }

  /** Makes a call that waits for its turn among the starts and stops. */
  #command (machine: Machine, call: Call, incarnation: number, { turn, mayBeSent }: { readonly turn: number, readonly mayBeSent: () => boolean }, results: CommandResults): void {
    const target = this.#target(machine)
    const end = (use: () => void): void => {
      const [next] = target.waiting
      if (next === undefined) target.underWay -= 1
      else next()
      use()
    }
    const send = (connection: Connection): void => {
      if (!mayBeSent()) {
        target.connections.release(connection)
        return end(results.unsent)
      }
      this.#call(connection, call, CALL_SLACK_MILLISECONDS, result => {
        target.connections.release(connection)
        end(() => typeof result === 'string' ? results.failed() : results.answered(result))
      })
    }
    const begin = (): void => {
      const known = target.connections.take(incarnation)
      if (known !== undefined) return send(known)
      if (!mayBeSent()) return end(results.unsent)
      this.#identify(call.server, machine, CALL_SLACK_MILLISECONDS, (result, connection) => {
        if (typeof result === 'string') return end(() => results.unconnected(result))
        if (result.incarnation === incarnation) return send(connection)
        target.connections.release(connection)
        end(() => results.unconnected('restarted'))
      })
    }
    this.#takeTurn(target, turn, begin, results.expired)
  }

  #takeTurn (target: Target, milliseconds: number, begin: () => void, expired: () => void): void {
    if (target.underWay < COMMAND_CONNECTIONS) {
      target.underWay += 1
      return begin()
    }
    const take = (): void => {
      cancel()
      target.waiting.delete(take)
      begin()
    }
    const cancel = this.#loop.after(milliseconds, () => {
      target.waiting.delete(take)
      expired()
    })
    target.waiting.add(take)
  }

  #call (connection: Connection, call: Call, timeout: number, use: Use<Answer | 'timeout' | 'unavailable'>): void {
    let isOpen = true
    const finish = (result: Answer | 'timeout' | 'unavailable'): void => {
      if (!isOpen) return
      isOpen = false
      cancel()
      connection.failCall = undefined
      if (typeof result === 'string') connection.close()
      if (result === 'timeout') this.#target(connection.machine).connections.discardIdle()
      use(result)
    }
    const cancel = this.#loop.after(timeout, () => finish('timeout'))
    if (connection.hasEnded) {
      finish('unavailable')
      return
    }
    connection.failCall = () => finish('unavailable')
    this.#network.send(connection, call, {
      onAnswer: answer => this.#loop.post(() => { if (!connection.hasEnded) finish(answer) }),
      onReset: () => this.#loop.post(() => connection.close())
    })
  }
}

/** What follows from a start or a stop. */
interface CommandResults {
  readonly expired: () => void
  readonly unsent: () => void
  readonly unconnected: (failure: CallFailure | 'restarted') => void
  readonly failed: () => void
  readonly answered: (answer: Answer) => void
}
