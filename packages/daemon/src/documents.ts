/**
 * The environment documents: what is in force here, and changes to it. Only the
 * table service's conditional write accepts a change.
 */
import { DocumentFollower, DOCUMENTS_TABLE, parseDocumentHead, type SeenDocument } from '@cornelgauge/coordination'
import { nextHead, parseDocument, promote, type DocumentHead, type EnvironmentDocument, type EnvironmentName } from '@cornelgauge/environment'
import { asFailure, CornelgaugeError, documentVersion, type Digest, type DocumentVersion } from '@cornelgauge/model'
import type { Clock, Condition, Row, RowValue, TableService } from '@cornelgauge/ports'
import type { EmitEvent } from '@cornelgauge/telemetry'

/** A document in force on this VM. */
export interface DocumentInForce {
  readonly version: DocumentVersion
  readonly document: EnvironmentDocument
}

/** What the documents need. */
export interface DocumentsOptions {
  readonly table: TableService
  readonly clock: Clock
  readonly emit: EmitEvent
  readonly wall: () => number
  readonly fetchFromPeers: (environment: EnvironmentName) => Promise<readonly SeenDocument[]>
  readonly onAdopted: (environment: EnvironmentName, inForce: DocumentInForce) => void
}

interface StoredHead {
  readonly row: Row | undefined
  readonly head: DocumentHead | undefined
}

/** Follows both environments and makes changes. */
export class Documents {
  readonly #options: DocumentsOptions
  readonly #followers: ReadonlyMap<EnvironmentName, DocumentFollower>
  readonly #inForce = new Map<EnvironmentName, DocumentInForce>()

  constructor (options: DocumentsOptions) {
    this.#options = options
    this.#followers = new Map((['trial', 'production'] as const).map(name => [name, this.#follow(name)] as const))
  }

  /** Begins to follow; resolves after the first read. */
  async start (): Promise<void> {
    await Promise.all([...this.#followers.values()].map(follower => follower.start()))
  }

  /** Ends following. */
  stop (): void {
    for (const follower of this.#followers.values()) follower.stop()
  }

  /** The document in force here. */
  inForce (environment: EnvironmentName): DocumentInForce | undefined {
    return this.#inForce.get(environment)
  }

  /** The text in force here, for peers that cannot reach the table service. */
  seen (environment: EnvironmentName): SeenDocument | undefined {
    return this.#followers.get(environment)?.current
  }

  /** A peer has this version in force. */
  hint (environment: EnvironmentName, version: DocumentVersion): void {
    this.#followers.get(environment)?.hint(version)
  }

  /**
   * The head as the table service has it now.
   *
   * @throws CornelgaugeError `not-found` where there is none, `unavailable` or `timeout`
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
   * Brings the bytes in force in trial into force in production, on condition that
   * production has the expected version, where one is given.
   *
   * @throws CornelgaugeError `promotion-refused`, `invalid-document`, `version-conflict`, `unavailable`, `timeout`
   */
  async promote (digest: Digest, appliedBy: string, expected?: DocumentVersion): Promise<DocumentHead> {
    const [trial, production] = await Promise.all([this.#read('trial'), this.#read('production')])
    requireProductionVersion(production.head, expected)
    const next = promote(trial.head, production.head, digest, { appliedBy, appliedAt: this.#options.wall() })
    if (next === production.head) return next
    const inTrial: Condition = { type: 'version', table: DOCUMENTS_TABLE, key: 'trial', version: trial.row!.version }
    await this.#write('production', production, next, [inTrial], () => { throw new CornelgaugeError('version-conflict', { detail: 'Another change came first' }) })
    this.#options.emit('document-promoted', { details: { environment: 'production', version: next.version, digest: next.digest } })
    return next
  }

  #follow (environment: EnvironmentName): DocumentFollower {
    const { table, clock, emit, fetchFromPeers } = this.#options
    return new DocumentFollower({
      table,
      environment,
      clock,
      fetchFromPeers: () => fetchFromPeers(environment),
      onAdopted: seen => { this.#adopted(environment, seen) },
      onFailure: failure => { emit('document-read-failed', { details: { environment, failure } }) }
    })
  }

  #adopted (environment: EnvironmentName, seen: SeenDocument): void {
    const { emit, onAdopted } = this.#options
    try {
      const inForce = { version: seen.version, document: parseDocument(seen.text).document }
      this.#inForce.set(environment, inForce)
      emit('document-adopted', { details: { environment, version: seen.version, digest: seen.digest } })
      onAdopted(environment, inForce)
    } catch (thrown) {
      emit('document-unreadable', { details: { environment, version: seen.version, failure: asFailure(thrown) } })
    }
  }

  async #read (environment: EnvironmentName): Promise<StoredHead> {
    const row = await this.#options.table.read(DOCUMENTS_TABLE, environment)
    return { row, head: row === undefined ? undefined : parseDocumentHead(row.value) }
  }

  /** Writes a head on condition that nothing came between; `explain` gives the failure for whoever lost the race. */
  async #write (environment: EnvironmentName, stored: StoredHead, next: DocumentHead, conditions: readonly Condition[], explain: (current: DocumentHead | undefined) => DocumentHead): Promise<DocumentHead> {
    const unchanged: Condition = stored.row === undefined
      ? { type: 'absent', table: DOCUMENTS_TABLE, key: environment }
      : { type: 'version', table: DOCUMENTS_TABLE, key: environment, version: stored.row.version }
    const value: RowValue = { ...next }
    try {
      await this.#options.table.write({ conditions: [unchanged, ...conditions], operations: [{ type: 'put', table: DOCUMENTS_TABLE, key: environment, value }] })
    } catch (thrown) {
      await this.#settleWrite(environment, next, asFailure(thrown), explain)
    }
    this.hint(environment, next.version)
    return next
  }

  /** A lost answer is settled by reading back; what cannot be read back is told as not known. */
  async #settleWrite (environment: EnvironmentName, next: DocumentHead, failure: CornelgaugeError, explain: (current: DocumentHead | undefined) => DocumentHead): Promise<void> {
    const { head } = await this.#read(environment).catch(() => { throw new CornelgaugeError('outcome-unknown', { detail: 'Whether the change took effect is not known yet', cause: failure }) })
    const isOurs = head?.version === next.version && head.digest === next.digest && head.appliedBy === next.appliedBy && head.appliedAt === next.appliedAt
    if (isOurs) return
    if (failure.code !== 'conflict') throw new CornelgaugeError('outcome-unknown', { detail: 'Whether the change took effect is not known yet', cause: failure })
    explain(head)
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
