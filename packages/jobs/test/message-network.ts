/** Machines with backend servers, and connections to them on which messages are delayed, held up or lost. */
import type { Answer, BackendProcess, Call } from './backend-process.js'
import type { SeededRandom, VirtualTime } from './virtual-time.js'

/** How often calls fare badly. */
export interface CallFaults {
  /** Probability that a call is lost, that its answer is, and that it is carried out late and without an answer. */
  readonly lost: number
  readonly answerLost: number
  readonly late: number
  /** Probability of a delay of up to `longestDelay` milliseconds each way. */
  readonly slow: number
  readonly longestDelay: number
}

export const NO_CALL_FAULTS: CallFaults = { lost: 0, answerLost: 0, late: 0, slow: 0, longestDelay: 0 }

const SHORTEST_LATENESS_MILLISECONDS = 2000
const LONGEST_LATENESS_MILLISECONDS = 12_000

/** An address at which one process after the other listens. */
export interface Machine {
  readonly address: string
  process: BackendProcess | undefined
  /** Nothing passes before this time. */
  cutUntil: number
  /** What is sent meanwhile arrives afterwards, else it is lost and its connection is dead. */
  isHeldByCut: boolean
  /** New connections are refused while no process listens, else they get no answer. */
  isRefusing: boolean
}

/** A connection from an owner. It belongs to the process that has accepted it. */
export class Connection {
  readonly machine: Machine
  process: BackendProcess | undefined
  /** This side knows that it has ended. */
  hasEnded = false
  /** What is sent on it is lost. */
  isDead = false
  /** Fails the call under way. */
  failCall: (() => void) | undefined

  constructor (machine: Machine) {
    this.machine = machine
  }

  /** Ends it on this side; a call under way fails. */
  close (): void {
    if (this.hasEnded) return
    this.hasEnded = true
    const fail = this.failCall
    this.failCall = undefined
    fail?.()
  }
}

/** What an owner does with what arrives. */
export interface CallResults {
  readonly onAnswer: (answer: Answer) => void
  /** The connection was reset or refused. */
  readonly onReset: () => void
}

/**
 * Carries calls and answers. Those on different connections overtake each other.
 *
 * @example
 * network.send(connection, call, { onAnswer, onReset })
 */
export class MessageNetwork {
  faults: CallFaults = NO_CALL_FAULTS
  readonly #time: VirtualTime
  readonly #random: SeededRandom
  /** Connections that a reset of their process ends. */
  readonly #accepted = new Map<BackendProcess, Map<Connection, () => void>>()

  constructor (time: VirtualTime, random: SeededRandom) {
    this.#time = time
    this.#random = random
  }

  send (connection: Connection, call: Call, { onAnswer, onReset }: CallResults): void {
    const fate = this.#random.next()
    const { lost, answerLost, late } = this.faults
    const isLost = fate < lost
    const isLate = !isLost && fate < lost + late
    const isAnswerLost = isLate || (!isLost && fate < lost + late + answerLost)
    if (isLost) return
    this.#carry(connection, () => {
      const process = this.#accept(connection, onReset)
      if (process === undefined) return
      const carryOut = (): void => process.handle(call, answer => { if (!isAnswerLost) this.#carry(connection, () => onAnswer(answer)) })
      if (isLate) this.#time.after(this.#random.between(SHORTEST_LATENESS_MILLISECONDS, LONGEST_LATENESS_MILLISECONDS), carryOut)
      else carryOut()
    })
  }

  /** Ends all connections of a process. */
  reset (process: BackendProcess): void {
    for (const [connection, onReset] of this.#accepted.get(process) ?? []) this.#carry(connection, onReset)
    this.#accepted.delete(process)
  }

  /** The process of a connection; undefined if there is none any more. */
  #accept (connection: Connection, onReset: () => void): BackendProcess | undefined {
    const { machine } = connection
    if (connection.process === undefined) {
      connection.process = machine.process
      if (machine.process === undefined && machine.isRefusing) this.#carry(connection, onReset)
      if (machine.process === undefined) connection.isDead = true
    }
    const { process } = connection
    if (process === undefined) return undefined
    if (!process.isUp) {
      connection.isDead = true
      return undefined
    }
    const connections = this.#accepted.get(process) ?? new Map<Connection, () => void>()
    this.#accepted.set(process, connections.set(connection, onReset))
    return process
  }

  #carry (connection: Connection, arrive: () => void): void {
    const { slow, longestDelay } = this.faults
    const delay = this.#random.chance(slow) ? this.#random.between(5, longestDelay) : this.#random.between(0.3, 5)
    const attempt = (): void => {
      if (connection.isDead) return
      const { machine } = connection
      if (machine.cutUntil <= this.#time.now) return arrive()
      if (machine.isHeldByCut) this.#time.after(machine.cutUntil - this.#time.now + this.#random.between(0, 300), attempt)
      else connection.isDead = true
    }
    this.#time.after(delay, attempt)
  }
}
