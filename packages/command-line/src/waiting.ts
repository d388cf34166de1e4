/** Waiting for a request to end, by long polls. */
import { CornelgaugeError, isFinal, type RequestKey, type RequestView, type WorkspaceName } from '@cornelgauge/model'
import type { ServiceClient } from './client.js'
import type { Tools } from './operation.js'

/** Longest wait of one poll; progress is shown between polls. */
export const POLL_MILLISECONDS = 2_000

const PAUSE_MILLISECONDS = 500
const ERASE_LINE = '\r\u001B[2K'

/** The request that is waited for. */
export interface AwaitedRequest {
  readonly client: ServiceClient
  readonly workspace: WorkspaceName
  readonly key: RequestKey
}

/** Says on a terminal how long the request has been waited for; elsewhere nothing. */
export class Progress {
  readonly #tools: Tools
  readonly #startedAt: number

  constructor (tools: Tools) {
    this.#tools = tools
    this.#startedAt = tools.now()
  }

  /** Replaces the line of progress. */
  show (text: string): void {
    if (!this.#tools.diagnostics.isTerminal) return
    const seconds = Math.round((this.#tools.now() - this.#startedAt) / 1000)
    this.#tools.diagnostics.write(`${ERASE_LINE}${text}, ${seconds} s`)
  }

  /** Takes the line away. */
  clear (): void {
    if (this.#tools.diagnostics.isTerminal) this.#tools.diagnostics.write(ERASE_LINE)
  }
}

/** One poll; undefined where it failed in a way that may pass. */
async function poll ({ client, workspace, key }: AwaitedRequest, waitMilliseconds: number): Promise<RequestView | CornelgaugeError> {
  try {
    return await client.read(workspace, key, waitMilliseconds)
  } catch (failure) {
    if (failure instanceof CornelgaugeError && failure.retry !== 'never') return failure
    throw failure
  }
}

/**
 * Polls until the request has ended or the time is over. A failed poll that may
 * pass, as while a cell changes its owner, is tried again: it changes nothing of
 * the request.
 *
 * @param seen - the request as last seen; undefined where it was not read yet
 * @param until - milliseconds since 1970
 * @returns the request as last seen
 * @throws CornelgaugeError the last failure, where no poll has succeeded since `seen`
 * was undefined
 */
export async function waitForEnd (awaited: AwaitedRequest, seen: RequestView | undefined, until: number, tools: Tools): Promise<RequestView> {
  const progress = new Progress(tools)
  let view = seen
  try {
    while (view === undefined || (!isFinal(view.state) && tools.now() < until)) {
      progress.show(view === undefined ? 'asking' : `${view.state}`)
      const startedAt = tools.now()
      const remaining = Math.max(0, until - startedAt)
      const answer = await poll(awaited, Math.min(remaining, POLL_MILLISECONDS))
      if (!(answer instanceof CornelgaugeError)) view = answer
      else if (view === undefined && tools.now() >= until) throw answer
      if (view !== undefined && isFinal(view.state)) break
      await pauseAfterShortPoll(startedAt, until, tools)
    }
    return view
  } finally {
    progress.clear()
  }
}

/** Keeps polls apart where one came back at once. */
async function pauseAfterShortPoll (startedAt: number, until: number, tools: Tools): Promise<void> {
  const now = tools.now()
  const pause = Math.min(PAUSE_MILLISECONDS - (now - startedAt), until - now)
  if (pause > 0) await tools.pause(pause)
}
