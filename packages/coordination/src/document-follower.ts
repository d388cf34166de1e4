/**
 * Follows the environment document in force: a row of the table `documents`, read
 * about once a second and whenever a peer hints at a newer version. Versions only
 * rise, and a text that fails its digest is never adopted. Where the table service
 * does not answer, peers are asked; they hold only what the table service held.
 */
import { asFailure, CornelgaugeError, digest, digestOf, documentVersion, type Digest, type DocumentVersion } from '@cornelgauge/model'
import type { CancelTimer, Clock, RowValue, TableService } from '@cornelgauge/ports'

/** The table that holds the head row of each environment. */
export const DOCUMENTS_TABLE = 'documents'
/** Time between two reads of the head row. */
export const DOCUMENT_POLL_MILLISECONDS = 1000

/** A document as seen at the table service or at a peer. */
export interface SeenDocument {
  readonly version: DocumentVersion
  readonly digest: Digest
  readonly text: string
}

/** The head row of an environment. */
export interface DocumentHead extends SeenDocument {
  readonly appliedBy: string
  /** Milliseconds since 1970. */
  readonly appliedAt: number
}

/** What came of a document that was seen. */
export type Adoption =
  | { readonly type: 'adopted', readonly document: SeenDocument }
  | { readonly type: 'not-newer' }
  | { readonly type: 'damaged', readonly failure: CornelgaugeError }

/**
 * Decides whether a document that was seen goes in force.
 *
 * @example
 * adopt(undefined, { version, digest: digestOf(text), text }).type // 'adopted'
 */
export function adopt (current: SeenDocument | undefined, seen: SeenDocument): Adoption {
  if (current !== undefined && seen.version <= current.version) return { type: 'not-newer' }
  if (digestOf(seen.text) === seen.digest) return { type: 'adopted', document: seen }
  const detail = `Document version ${seen.version} fails its digest`
  return { type: 'damaged', failure: new CornelgaugeError('record-damaged', { detail }) }
}

/**
 * Reads a head row, checking its fields. Fails with `record-damaged`.
 *
 * @example
 * const head = parseDocumentHead(row.value)
 */
export function parseDocumentHead (value: RowValue): DocumentHead {
  const { version, digest: stated, text, appliedBy, appliedAt } = value
  const fits = Number.isSafeInteger(version) && typeof stated === 'string' && typeof text === 'string' &&
    typeof appliedBy === 'string' && typeof appliedAt === 'number'
  if (!fits) throw new CornelgaugeError('record-damaged', { detail: 'The head row of the document is malformed' })
  return { version: documentVersion(version as number), digest: digest(stated), text, appliedBy, appliedAt }
}

/** What a follower is made with. */
export interface DocumentFollowerOptions {
  readonly table: TableService
  /** Name of the environment, the key of its head row. */
  readonly environment: string
  readonly clock: Clock
  /** Called with each document that goes in force, in order of versions. */
  readonly onAdopted: (document: SeenDocument) => void
  /** Called with each failure to read or to trust a document. */
  readonly onFailure?: (failure: CornelgaugeError) => void
  /** Asks peers for what they have in force; used while the table service is silent. */
  readonly fetchFromPeers?: () => Promise<readonly SeenDocument[]>
  readonly pollMilliseconds?: number
}

/** Keeps the newest document of one environment. */
export class DocumentFollower {
  readonly #options: DocumentFollowerOptions
  #current: SeenDocument | undefined
  #hinted = documentVersion(0)
  #reading: Promise<void> | undefined
  #cancelPoll: CancelTimer | undefined
  #stopped = true

  constructor (options: DocumentFollowerOptions) {
    this.#options = options
  }

  /** The document in force; undefined until there is one. */
  get current (): SeenDocument | undefined {
    return this.#current
  }

  /** Begins to follow; resolves after the first read, whatever it gave. */
  start (): Promise<void> {
    this.#stopped = false
    return this.#poll()
  }

  /** Ends following. The document in force stays. */
  stop (): void {
    this.#stopped = true
    this.#cancelPoll?.()
  }

  /** A peer tells that it has this version in force: reads at once where it is newer. */
  async hint (version: DocumentVersion): Promise<void> {
    this.#hinted = documentVersion(Math.max(this.#hinted, version))
    await this.#reading
    if (this.#isBehind()) await this.#poll()
  }

  #isBehind (): boolean {
    return this.#current === undefined || this.#current.version < this.#hinted
  }

  async #poll (): Promise<void> {
    if (this.#stopped) return
    this.#cancelPoll?.()
    this.#reading ??= this.#read().finally(() => { this.#reading = undefined })
    await this.#reading
    this.#cancelPoll?.()
    if (this.#stopped) return
    this.#cancelPoll = this.#options.clock.after(this.#options.pollMilliseconds ?? DOCUMENT_POLL_MILLISECONDS, () => { this.#poll() })
  }

  async #read (): Promise<void> {
    const { table, environment } = this.#options
    try {
      const row = await table.read(DOCUMENTS_TABLE, environment)
      if (row !== undefined) this.#see(parseDocumentHead(row.value))
    } catch (thrown) {
      this.#options.onFailure?.(asFailure(thrown))
      if (this.#isBehind()) await this.#readFromPeers()
    }
  }

  async #readFromPeers (): Promise<void> {
    try {
      const seen = await this.#options.fetchFromPeers?.() ?? []
      const newestFirst = [...seen].sort((one, other) => other.version - one.version)
      newestFirst.forEach(document => this.#see(document))
    } catch (thrown) {
      this.#options.onFailure?.(asFailure(thrown))
    }
  }

  #see (seen: SeenDocument): void {
    const adoption = adopt(this.#current, seen)
    if (adoption.type === 'damaged') this.#options.onFailure?.(adoption.failure)
    if (adoption.type !== 'adopted') return
    this.#current = adoption.document
    this.#options.onAdopted(adoption.document)
  }
}
