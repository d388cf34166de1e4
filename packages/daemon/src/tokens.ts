/**
 * Authorization by bearer tokens: a caller's token grants access to a workspace, an
 * operator's token to the operator routes. A token is compared with every accepted
 * one, by digest and in constant time, so that the duration reveals neither a partial
 * match nor the position of a match.
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
   * Checks that the header has a token of the workspace.
   *
   * @throws CornelgaugeError `unauthorized` without an accepted token, `forbidden` with any other accepted token
   */
  requireWorkspace (header: string | undefined, workspace: WorkspaceName): void {
    const matches = this.#matches(header)
    if (!matches.some(token => token.workspace === workspace)) throw new CornelgaugeError('forbidden')
  }

  /**
   * Checks that the header has an operator's token.
   *
   * @throws CornelgaugeError `unauthorized` without an accepted token, `forbidden` with a workspace's
   */
  requireOperator (header: string | undefined): void {
    const matches = this.#matches(header)
    if (!matches.some(token => token.workspace === undefined)) throw new CornelgaugeError('forbidden')
  }

  #matches (header: string | undefined): readonly AcceptedToken[] {
    const bearerToken = /^Bearer (.+)$/i.exec(header ?? '')?.[1]
    if (bearerToken === undefined) throw new CornelgaugeError('unauthorized')
    const digest = digestBytes(bearerToken)
    const matches = this.#accepted.filter(token => timingSafeEqual(token.digest, digest))
    if (matches.length === 0) throw new CornelgaugeError('unauthorized')
    return matches
  }
}

function digestBytes (token: string): Buffer {
  return createHash('sha256').update(token).digest()
}
