/** Limits the starts that are sent to backend servers at a time. */
import { MAXIMUM_CALLS_PER_SERVER, MAXIMUM_CALLS_UNDER_WAY, type ServerId, type StartCommand } from '@cornelgauge/jobs'

/** Starts for one backend server. */
interface ServerStarts {
  /** Members of gangs, and other starts, in the order in which they were added. */
  readonly members: StartCommand[]
  readonly others: StartCommand[]
  underWay: number
  /** The last start was that of a member. */
  wasMember: boolean
}

/**
 * The starts that may be sent. The planner decides all members of a gang at once, so they are sent one after the other as
 * earlier ones are answered: a call that waits for others would use up its time limit, and each one that is
 * sent takes memory. For a backend server, members and other starts take turns.
 *
 * @example
 * const queue = new StartQueue(command => send(command))
 * queue.add(command)
 */
export class StartQueue {
  readonly #send: (command: StartCommand) => Promise<void>
  readonly #servers = new Map<ServerId, ServerStarts>()
  #underWay = 0

  /** `send` resolves once a start has ended. */
  constructor (send: (command: StartCommand) => Promise<void>) {
    this.#send = send
  }

  add (command: StartCommand): void {
    const starts = this.#servers.get(command.server) ?? { members: [], others: [], underWay: 0, wasMember: false }
    this.#servers.set(command.server, starts)
    if (command.isMember === true) starts.members.push(command)
    else starts.others.push(command)
    this.#advance(starts)
  }

  /** Removes and returns the starts that haven't been sent. */
  clear (): readonly StartCommand[] {
    return [...this.#servers.values()].flatMap(({ members, others }) => [...members.splice(0), ...others.splice(0)])
  }

  #advance (starts: ServerStarts): void {
    while (starts.underWay < MAXIMUM_CALLS_PER_SERVER && this.#underWay < MAXIMUM_CALLS_UNDER_WAY) {
      const command = next(starts)
      if (command === undefined) return
      starts.underWay += 1
      this.#underWay += 1
      this.#send(command).finally(() => this.#handleEnd(command.server, starts))
    }
  }

  #handleEnd (server: ServerId, starts: ServerStarts): void {
    const wasFull = this.#underWay >= MAXIMUM_CALLS_UNDER_WAY
    starts.underWay -= 1
    this.#underWay -= 1
    this.#advance(starts)
    if (wasFull) for (const others of this.#servers.values()) this.#advance(others)
    if (starts.underWay === 0 && starts.members.length + starts.others.length === 0) this.#servers.delete(server)
  }
}

/** Takes the next start for a backend server: after that of a member one that isn't, and the other way round. */
function next (starts: ServerStarts): StartCommand | undefined {
  const [first, second] = starts.wasMember ? [starts.others, starts.members] : [starts.members, starts.others]
  const command = first.shift() ?? second.shift()
  if (command !== undefined) starts.wasMember = command.isMember === true
  return command
}
