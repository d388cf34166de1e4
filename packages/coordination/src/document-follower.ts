/**
 * Follows the environment document in force: a row of the table `documents`, read
 * about once a second and whenever a peer announces a newer version. Versions only
 * increase, and a text that does not match its digest is never adopted. While the
 * table service does not answer, the documents of peers are used; these were read
 * from the table service too.
 */
import { asFailure, CornelgaugeError, digest, digestOf, documentVersion, type Digest, type DocumentVersion } from '@cornelgauge/model'
import type { CancelTimer, Clock, RowValue, TableService } from '@cornelgauge/ports'

/** The table that holds the head row of each environment. */
export const DOCUMENTS_TABLE = 'documents'
/** Interval between two reads of the head row. */
export const DOCUMENT_POLL_MILLISECONDS = 1000

/** A document as received from the table service or from a peer. */
export interface ReceivedDocument {
  readonly version: DocumentVersion
  readonly digest: Digest
  readonly text: string
}

/** The head row of an environment: its newest document, and who applied it when. */
export interface DocumentHead extends ReceivedDocument {
  readonly appliedBy: string
  /** Milliseconds since 1970. */
  readonly appliedAt: number
}

/** Whether a received document is adopted, and if not, why. */
export type Adoption =
  | { readonly type: 'adopted', readonly document: ReceivedDocument }
  | { readonly type: 'not-newer' }
  | { readonly type: 'damaged', readonly failure: CornelgaugeError }

/**
 * Decides whether a received document replaces the one in force.
 *
 * @example
 * decideAdoption(undefined, { version, digest: digestOf(text), text }).type // 'adopted'
 */
export function decideAdoption (current: ReceivedDocument | undefined, received: ReceivedDocument): Adoption {
  if (current !== undefined && received.version <= current.version) return { type: 'not-newer' }
  if (digestOf(received.text) === received.digest) return { type: 'adopted', document: received }
  const detail = `Document version ${received.version} fails its digest`
  return { type: 'damaged', failure: new CornelgaugeError('record-damaged', { detail }) }
}

/**
 * Parses a head row and validates its fields. Throws `record-damaged`.
 *
 * @example
 * const head = parseDocumentHead(row.value)
 */
export function parseDocumentHead (value: RowValue): DocumentHead {
  const { version, digest: statedDigest, text, appliedBy, appliedAt } = value
  const isValid = Number.isSafeInteger(version) && typeof statedDigest === 'string' && typeof text === 'string' &&
    typeof appliedBy === 'string' && typeof appliedAt === 'number'
  if (!isValid) throw new CornelgaugeError('record-damaged', { detail: 'The head row of the document is malformed' })
  return { version: documentVersion(version as number), digest: digest(statedDigest), text, appliedBy, appliedAt }
}

/** Options of a document follower. */
export interface DocumentFollowerOptions {
  readonly table: TableService
  /** Name of the environment, the key of its head row. */
  readonly environment: string
  readonly clock: Clock
  /** Called with each adopted document, in order of versions. */
  readonly onAdopted: (document: ReceivedDocument) => void
  /** Called with each failure to read or to validate a document. */
  readonly onFailure?: (failure: CornelgaugeError) => void
  /**
   * Fetches the documents that peers have in force. Called if the table service does
   * not answer while there is no document or a peer has announced a newer one.
   */
  readonly fetchFromPeers?: () => Promise<readonly ReceivedDocument[]>
  readonly pollMilliseconds?: number
}

/** Keeps the newest document of one environment. */
export class DocumentFollower {
  readonly #options: DocumentFollowerOptions
  #current: ReceivedDocument | undefined
  #hintedVersion = documentVersion(0)
  #pendingRead: Promise<void> | undefined
  #cancelPoll: CancelTimer | undefined
  #stopped = true

  constructor (options: DocumentFollowerOptions) {
    this.#options = options
  }

  /** The document in force; undefined until there is one. */
  get current (): ReceivedDocument | undefined {
    return this.#current
  }

  /** Starts polling; resolves after the first read, even if it failed. */
  start (): Promise<void> {
    this.#stopped = false
    return this.#poll()
  }

  /** Stops polling. The document in force is kept. */
  stop (): void {
    this.#stopped = true
    this.#cancelPoll?.()
  }

  /** Handles a peer's report of the version that it has in force: reads at once if that is newer. */
  async hint (version: DocumentVersion): Promise<void> {
    this.#hintedVersion = documentVersion(Math.max(this.#hintedVersion, version))
    await this.#pendingRead
    if (this.#isBehind()) await this.#poll()
  }

  #isBehind (): boolean {
    return this.#current === undefined || this.#current.version < this.#hintedVersion
  }

  async #poll (): Promise<void> {
    if (this.#stopped) return
    this.#cancelPoll?.()
    this.#pendingRead ??= this.#read().finally(() => { this.#pendingRead = undefined })
    await this.#pendingRead
    this.#cancelPoll?.()
    if (this.#stopped) return
    this.#cancelPoll = this.#options.clock.after(this.#options.pollMilliseconds ?? DOCUMENT_POLL_MILLISECONDS, () => { this.#poll() })
  }

  async #read (): Promise<void> {
    const { table, environment } = this.#options
    try {
      const row = await table.read(DOCUMENTS_TABLE, environment)
      if (row !== undefined) this.#receive(parseDocumentHead(row.value))
    } catch (thrown) {
      this.#options.onFailure?.(asFailure(thrown))
      if (this.#isBehind()) await this.#readFromPeers()
    }
  }

  async #readFromPeers (): Promise<void> {
    try {
      const documents = await this.#options.fetchFromPeers?.() ?? []
      const newestFirst = [...documents].sort((one, other) => other.version - one.version)
      newestFirst.forEach(document => this.#receive(document))
    } catch (thrown) {
      this.#options.onFailure?.(asFailure(thrown))
    }
  }

  #receive (document: ReceivedDocument): void {
    const adoption = decideAdoption(this.#current, document)
    if (adoption.type === 'damaged') this.#options.onFailure?.(adoption.failure)
    if (adoption.type !== 'adopted') return
    this.#current = adoption.document
    this.#options.onAdopted(adoption.document)
  }
}
