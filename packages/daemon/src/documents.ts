/**
 * The environment documents: those in force on this VM, and changes to them. A
 * change is accepted only by a conditional write to the table service.
 */
import { DocumentFollower, DOCUMENTS_TABLE, parseDocumentHead, type ReceivedDocument } from '@cornelgauge/coordination'
import { nextHead, parseDocument, promote, type DocumentHead, type EnvironmentDocument, type EnvironmentName } from '@cornelgauge/environment'
import { asFailure, CornelgaugeError, documentVersion, type Digest, type DocumentVersion } from '@cornelgauge/model'
import type { Clock, Condition, Row, RowValue, TableService } from '@cornelgauge/ports'
import type { EmitEvent } from '@cornelgauge/telemetry'

/** A document in force on this VM. */
export interface DocumentInForce {
  readonly version: DocumentVersion
  readonly document: EnvironmentDocument
}

/** Dependencies of `Documents`. */
export interface DocumentsOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly emit: EmitEvent
  readonly wall: () => number
  readonly fetchFromPeers: (environment: EnvironmentName) => Promise<readonly ReceivedDocument[]>
  readonly onAdopted: (environment: EnvironmentName, inForce: DocumentInForce) => void
}

interface StoredHead {
  readonly row: Row | undefined
  readonly head: DocumentHead | undefined
}

/** Follows the documents of both environments, and applies and promotes changes. */
export class Documents {
  readonly #options: DocumentsOptions
  readonly #followers: ReadonlyMap<EnvironmentName, DocumentFollower>
  readonly #inForce = new Map<EnvironmentName, DocumentInForce>()

  constructor (options: DocumentsOptions) {
    this.#options = options
    this.#followers = new Map((['trial', 'production'] as const).map(name => [name, this.#newFollower(name)] as const))
  }

  /** Starts polling; resolves after the first read. */
  async start (): Promise<void> {
    await Promise.all([...this.#followers.values()].map(follower => follower.start()))
  }

  /** Stops polling. */
  stop (): void {
    for (const follower of this.#followers.values()) follower.stop()
  }

  /** Returns the document in force on this VM. */
  inForce (environment: EnvironmentName): DocumentInForce | undefined {
    return this.#inForce.get(environment)
  }

  /** Returns the text of the newest document, for peers that cannot reach the table service. */
  newestDocument (environment: EnvironmentName): ReceivedDocument | undefined {
    return this.#followers.get(environment)?.current
  }

  /** Handles a peer's report that it has this version in force. */
  hint (environment: EnvironmentName, version: DocumentVersion): void {
    this.#followers.get(environment)?.hint(version)
  }

  /**
   * Reads the head row from the table service.
   *
   * @throws CornelgaugeError `not-found` if there is none, `unavailable` or `timeout`
   */
  async head (environment: EnvironmentName): Promise<DocumentHead> {
    const { head } = await this.#read(environment)
    if (head === undefined) throw new CornelgaugeError('not-found', { detail: `No document is in force in ${environment}` })
    return head
  }

  /**
   * Changes the document of the trial environment.
   *
   * @throws CornelgaugeError `invalid-document`, `version-conflict`, `unavailable`, `timeout`
   */
  async apply (text: string, expected: DocumentVersion | undefined, appliedBy: string): Promise<DocumentHead> {
    const stored = await this.#read('trial')
    const next = nextHead(stored.head, text, expected, { appliedBy, appliedAt: this.#options.wall() })
    await this.#write('trial', stored, next, [], current => nextHead(current, text, expected, { appliedBy, appliedAt: 0 }))
    this.#options.emit('document-accepted', { details: { environment: 'trial', version: next.version, digest: next.digest } })
    return next
  }

  /**
   * Makes the document in force in trial, byte for byte, the one in force in
   * production. If an expected version is given, production must have it.
   *
   * @throws CornelgaugeError `promotion-refused`, `invalid-document`, `version-conflict`, `unavailable`, `timeout`
   */
  async promote (digest: Digest, appliedBy: string, expected?: DocumentVersion): Promise<DocumentHead> {
    const [trial, production] = await Promise.all([this.#read('trial'), this.#read('production')])
    requireProductionVersion(production.head, expected)
    const next = promote(trial.head, production.head, digest, { appliedBy, appliedAt: this.#options.wall() })
    if (next === production.head) return next
    const trialUnchanged: Condition = { type: 'version', table: DOCUMENTS_TABLE, key: 'trial', version: trial.row!.version }
    await this.#write('production', production, next, [trialUnchanged], () => { throw new CornelgaugeError('version-conflict', { detail: 'Another change came first' }) })
    this.#options.emit('document-promoted', { details: { environment: 'production', version: next.version, digest: next.digest } })
    return next
  }

  #newFollower (environment: EnvironmentName): DocumentFollower {
    const { table, clock, emit, fetchFromPeers } = this.#options
    return new DocumentFollower({
      table,
      environment,
      clock,
      fetchFromPeers: () => fetchFromPeers(environment),
      onAdopted: seen => { this.#putInForce(environment, seen) },
      onFailure: failure => { emit('document-read-failed', { details: { environment, failure } }) }
    })
  }

  #putInForce (environment: EnvironmentName, received: ReceivedDocument): void {
    const { emit, onAdopted } = this.#options
    try {
      const inForce = { version: received.version, document: parseDocument(received.text).document }
      this.#inForce.set(environment, inForce)
      emit('document-adopted', { details: { environment, version: received.version, digest: received.digest } })
      onAdopted(environment, inForce)
    } catch (thrown) {
      emit('document-unreadable', { details: { environment, version: received.version, failure: asFailure(thrown) } })
    }
  }

  async #read (environment: EnvironmentName): Promise<StoredHead> {
    const row = await this.#options.table.read(DOCUMENTS_TABLE, environment)
    return { row, head: row === undefined ? undefined : parseDocumentHead(row.value) }
  }

  /** Writes a head on condition that the row is unchanged. After a conflict, `checkConflict` may throw a more specific failure, given the current head. */
  async #write (environment: EnvironmentName, stored: StoredHead, next: DocumentHead, conditions: readonly Condition[], checkConflict: (current: DocumentHead | undefined) => DocumentHead): Promise<DocumentHead> {
    const unchanged: Condition = stored.row === undefined
      ? { type: 'absent', table: DOCUMENTS_TABLE, key: environment }
      : { type: 'version', table: DOCUMENTS_TABLE, key: environment, version: stored.row.version }
    const value: RowValue = { ...next }
    try {
      await this.#options.table.write({ conditions: [unchanged, ...conditions], operations: [{ type: 'put', table: DOCUMENTS_TABLE, key: environment, value }] })
    } catch (thrown) {
      await this.#settleFailedWrite(environment, next, asFailure(thrown), checkConflict)
    }
    this.hint(environment, next.version)
    return next
  }

  /** Handles a failed write by reading the head back; throws `outcome-unknown` if it cannot determine whether the write took effect. */
  async #settleFailedWrite (environment: EnvironmentName, next: DocumentHead, failure: CornelgaugeError, checkConflict: (current: DocumentHead | undefined) => DocumentHead): Promise<void> {
    const { head } = await this.#read(environment).catch(() => { throw new CornelgaugeError('outcome-unknown', { detail: 'Whether the change took effect is not known yet', cause: failure }) })
    const isOwnWrite = head?.version === next.version && head.digest === next.digest && head.appliedBy === next.appliedBy && head.appliedAt === next.appliedAt
    if (isOwnWrite) return
    if (failure.code !== 'conflict') throw new CornelgaugeError('outcome-unknown', { detail: 'Whether the change took effect is not known yet', cause: failure })
    checkConflict(head)
    throw new CornelgaugeError('version-conflict', { members: { currentVersion: head?.version ?? documentVersion(0) } })
  }
}

function requireProductionVersion (head: DocumentHead | undefined, expected: DocumentVersion | undefined): void {
  if (expected === undefined || head?.version === expected) return
  throw new CornelgaugeError('version-conflict', {
    detail: `The promotion was made against version ${expected} of production`,
    members: { currentVersion: head?.version ?? null }
  })
}
