/** Limits the starts that are sent to backend servers at a time. */
import { MAXIMUM_CALLS_PER_SERVER, MAXIMUM_CALLS_UNDER_WAY, type RunNumber, type ServerId, type StartCommand } from '@cornelgauge/jobs'

/** Starts for one backend server. */
interface ServerStarts {
  /** Those that wait: of each gang's run by its number, and all others. The first of the next group is sent next. */
  readonly groups: Map<RunNumber | typeof SINGLE_TASKS, StartCommand[]>
  underWay: number
}

/** Stands for the starts of tasks that are no members of gangs. */
const SINGLE_TASKS = 'single tasks'

/**
 * The starts that may be sent. The planner decides all members of a gang at once, so they are sent one after the other as
 * earlier ones are answered: a call that waits for others would use up its time limit, and each one that is
 * sent takes memory. For a backend server, the gangs and the single tasks take turns, so that a large gang delays none of them.
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
    const starts = this.#servers.get(command.server) ?? { groups: new Map(), underWay: 0 }
    this.#servers.set(command.server, starts)
    const group = command.isMember === true ? command.run : SINGLE_TASKS
    const waiting = starts.groups.get(group)
    if (waiting === undefined) starts.groups.set(group, [command])
    else waiting.push(command)
    this.#advance(starts)
  }

  /** Removes and returns the starts that haven't been sent. */
  clear (): readonly StartCommand[] {
    const waiting = [...this.#servers.values()].flatMap(({ groups }) => [...groups.values()].flat())
    for (const { groups } of this.#servers.values()) groups.clear()
    return waiting
  }

  #advance (starts: ServerStarts): void {
    while (starts.underWay < MAXIMUM_CALLS_PER_SERVER && this.#underWay < MAXIMUM_CALLS_UNDER_WAY) {
      const command = takeNext(starts)
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
    if (starts.underWay === 0 && starts.groups.size === 0) this.#servers.delete(server)
  }
}

/** Takes the first start of the group whose turn it is; the group then comes after the others. */
function takeNext ({ groups }: ServerStarts): StartCommand | undefined {
  const [next] = groups
  if (next === undefined) return undefined
  const [group, waiting] = next
  const command = waiting.shift()
  groups.delete(group)
  if (waiting.length > 0) groups.set(group, waiting)
  return command
}
