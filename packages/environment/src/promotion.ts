/**
 * The rules by which a document takes effect: first in the trial environment, by a
 * change conditional on the version that the operator saw, then in production, by the
 * digest of the exact bytes in force in trial. Each change increments the version.
 */
import { CornelgaugeError, digestOf, documentVersion, type Digest, type DocumentVersion } from '@cornelgauge/model'
import { compareDocuments, renderDifference } from './difference.js'
import { invalidDocument } from './fault.js'
import { parseDocument, type ParsedDocument } from './parse.js'
import { checkSuccession } from './succession.js'

/** The two environments; each has its own document in force. */
export const ENVIRONMENT_NAMES = ['trial', 'production'] as const

/** Name of an environment. */
export type EnvironmentName = typeof ENVIRONMENT_NAMES[number]

/** The stored document in force in one environment. */
export interface DocumentHead {
  readonly version: DocumentVersion
  readonly digest: Digest
  readonly text: string
  readonly appliedBy: string
  /** Milliseconds since 1970. */
  readonly appliedAt: number
}

/** Who applies a document, and when. */
export interface Authorship {
  readonly appliedBy: string
  /** Milliseconds since 1970. */
  readonly appliedAt: number
}

const FIRST_VERSION = documentVersion(1)

function versionAfter (current: DocumentHead | undefined): DocumentVersion {
  return current === undefined ? FIRST_VERSION : documentVersion(current.version + 1)
}

function differenceFrom (current: DocumentHead | undefined, proposed: ParsedDocument): readonly string[] {
  if (current === undefined) return []
  return renderDifference(compareDocuments(parseDocument(current.text).document, proposed.document))
}

function requireVersion (current: DocumentHead | undefined, proposed: ParsedDocument, expected: DocumentVersion | undefined): void {
  if (current?.version === expected) return
  const actual = current === undefined ? 'none is in force' : `version ${current.version} is in force`
  const wanted = expected === undefined ? 'no document' : `version ${expected}`
  throw new CornelgaugeError('version-conflict', {
    detail: `The change was made against ${wanted}, but ${actual}`,
    members: { currentVersion: current?.version ?? null, difference: differenceFrom(current, proposed) }
  })
}

function requireSuccession (current: DocumentHead | undefined, proposed: ParsedDocument): void {
  if (current === undefined) return
  const faults = checkSuccession(parseDocument(current.text).document, proposed.document)
  if (faults.length > 0) throw invalidDocument(faults)
}

function headOf (current: DocumentHead | undefined, proposed: ParsedDocument, authorship: Authorship): DocumentHead {
  const { appliedBy, appliedAt } = authorship
  return { version: versionAfter(current), digest: proposed.digest, text: proposed.text, appliedBy, appliedAt }
}

/**
 * Computes the head after a change to an environment's document.
 *
 * @param current - the head in force; undefined if there is none yet
 * @param expectedVersion - the version that the operator saw; undefined for the first document
 * @throws CornelgaugeError `invalid-document` with all faults; `version-conflict` with the
 * members `currentVersion` and `difference` (the changes from the document in force to the text)
 * @example
 * nextHead(undefined, text, undefined, { appliedBy: 'operator', appliedAt: 0 }).version // 1
 */
export function nextHead (
  current: DocumentHead | undefined,
  text: string,
  expectedVersion: DocumentVersion | undefined,
  authorship: Authorship
): DocumentHead {
  const proposed = parseDocument(text)
  requireVersion(current, proposed, expectedVersion)
  requireSuccession(current, proposed)
  return headOf(current, proposed, authorship)
}

function requireTrial (trialHead: DocumentHead | undefined, digest: Digest): DocumentHead {
  if (trialHead !== undefined && digestOf(trialHead.text) === digest) return trialHead
  throw new CornelgaugeError('promotion-refused', {
    detail: trialHead === undefined ? 'No document is in force in trial' : `The document in force in trial has digest ${trialHead.digest}`,
    members: { trialVersion: trialHead?.version ?? null, trialDigest: trialHead?.digest ?? null }
  })
}

/**
 * Computes the head of production after a promotion of the bytes in force in trial.
 * Promotion is idempotent: if production already has this document, its head is returned
 * unchanged.
 *
 * @throws CornelgaugeError `promotion-refused` if the digest isn't the one in force in
 * trial; `invalid-document` if the document isn't allowed to replace the one in production
 * @example
 * promote(trialHead, productionHead, trialHead.digest, { appliedBy: 'operator', appliedAt: 0 })
 */
export function promote (
  trialHead: DocumentHead | undefined,
  productionHead: DocumentHead | undefined,
  digest: Digest,
  authorship: Authorship
): DocumentHead {
  const { text } = requireTrial(trialHead, digest)
  if (productionHead?.digest === digest) return productionHead
  const proposed = parseDocument(text)
  requireSuccession(productionHead, proposed)
  return headOf(productionHead, proposed, authorship)
}
