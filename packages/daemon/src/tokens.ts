/**
 * Who may do what: tokens of callers name a workspace, tokens of operators give
 * their role. Tokens are compared by digest in constant time, against every
 * accepted one, so that neither the time nor the place of a match tells anything.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import { CornelgaugeError, type WorkspaceName } from '@cornelgauge/model'
import type { WorkspaceToken } from './settings.js'

interface AcceptedToken {
  readonly digest: Buffer
  readonly workspace: WorkspaceName | undefined
}

/** The accepted tokens. */
export class Tokens {
  readonly #accepted: readonly AcceptedToken[]

  constructor (workspaceTokens: readonly WorkspaceToken[], operatorTokens: readonly string[]) {
    this.#accepted = [
      ...workspaceTokens.map(({ workspace, token }) => ({ digest: digestBytes(token), workspace })),
      ...operatorTokens.map(token => ({ digest: digestBytes(token), workspace: undefined }))
    ]
  }

  /**
   * Checks that the header names a token of the workspace.
   *
   * @throws CornelgaugeError `unauthorized` without an accepted token, `forbidden` with another workspace's
   */
  requireWorkspace (header: string | undefined, workspace: WorkspaceName): void {
    const matches = this.#matches(header)
    if (!matches.some(token => token.workspace === workspace)) throw new CornelgaugeError('forbidden')
  }

  /**
   * Checks that the header names an operator's token.
   *
   * @throws CornelgaugeError `unauthorized` without an accepted token, `forbidden` with a workspace's
   */
  requireOperator (header: string | undefined): void {
    const matches = this.#matches(header)
    if (!matches.some(token => token.workspace === undefined)) throw new CornelgaugeError('forbidden')
  }

  #matches (header: string | undefined): readonly AcceptedToken[] {
    const given = /^Bearer (.+)$/i.exec(header ?? '')?.[1]
    if (given === undefined) throw new CornelgaugeError('unauthorized')
    const digest = digestBytes(given)
    const matches = this.#accepted.filter(token => timingSafeEqual(token.digest, digest))
    if (matches.length === 0) throw new CornelgaugeError('unauthorized')
    return matches
  }
}

function digestBytes (token: string): Buffer {
  return createHash('sha256').update(token).digest()
}
