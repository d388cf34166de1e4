/** Waits for a request to end, by long polling. */
import { CornelgaugeError, isFinal, type RequestKey, type RequestView, type WorkspaceName } from '@cornelgauge/model'
import type { ServiceClient } from './client.js'
import type { Tools } from './operation.js'

/** Longest wait of one poll; progress is updated between polls. */
export const POLL_MILLISECONDS = 2_000

const MINIMUM_POLL_INTERVAL_MILLISECONDS = 500
const ERASE_LINE = '\r\u001B[2K'

/** The request that is waited for. */
export interface AwaitedRequest {
  readonly client: ServiceClient
  readonly workspace: WorkspaceName
  readonly key: RequestKey
}

/** Shows on a terminal how long the command has been waiting; writes nothing elsewhere. */
export class Progress {
  readonly #tools: Tools
  readonly #startedAt: number

  constructor (tools: Tools) {
    this.#tools = tools
    this.#startedAt = tools.now()
  }

  /** Replaces the progress line. */
  show (text: string): void {
    if (!this.#tools.diagnostics.isTerminal) return
    const seconds = Math.round((this.#tools.now() - this.#startedAt) / 1000)
    this.#tools.diagnostics.write(`${ERASE_LINE}${text}, ${seconds} s`)
  }

  /** Erases the progress line. */
  clear (): void {
    if (this.#tools.diagnostics.isTerminal) this.#tools.diagnostics.write(ERASE_LINE)
  }
}

/** Polls the request once; returns the failure if it may be retried, and throws any other. */
async function poll ({ client, workspace, key }: AwaitedRequest, waitMilliseconds: number): Promise<RequestView | CornelgaugeError> {
  try {
    return await client.read(workspace, key, waitMilliseconds)
  } catch (failure) {
    if (failure instanceof CornelgaugeError && failure.retry !== 'never') return failure
    throw failure
  }
}

/**
 * Polls until the request has ended or the time is over. A poll with a retryable
 * failure, such as one while the cell changes its owner, is retried: reads do not change
 * the request.
 *
 * @param lastView - the request as last read; undefined if it has not been read yet
 * @param until - milliseconds since 1970
 * @returns the request as last read
 * @throws CornelgaugeError the last failure, if `lastView` is undefined and no poll has
 * succeeded
 */
export async function waitForEnd (awaited: AwaitedRequest, lastView: RequestView | undefined, until: number, tools: Tools): Promise<RequestView> {
  const progress = new Progress(tools)
  let view = lastView
  try {
    while (view === undefined || (!isFinal(view.state) && tools.now() < until)) {
      progress.show(view === undefined ? 'reading' : `${view.state}`)
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

/** Pauses after a poll that returned early, so that polls keep a minimum interval. */
async function pauseAfterShortPoll (startedAt: number, until: number, tools: Tools): Promise<void> {
  const now = tools.now()
  const pause = Math.min(MINIMUM_POLL_INTERVAL_MILLISECONDS - (now - startedAt), until - now)
  if (pause > 0) await tools.pause(pause)
}
