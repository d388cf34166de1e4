/**
 * The rules by which a document comes into force: first in the trial environment,
 * by a change against the version that the operator saw, then in production, by
 * the digest of the very bytes in force in trial. Versions only rise.
 */
import { CornelgaugeError, digestOf, documentVersion, type Digest, type DocumentVersion } from '@cornelgauge/model'
import { compareDocuments, renderDifference } from './difference.js'
import { invalidDocument } from './fault.js'
import { parseDocument, type ParsedDocument } from './parse.js'
import { checkSuccession } from './succession.js'

/** The two environments, each with a document of its own in force. */
export const ENVIRONMENT_NAMES = ['trial', 'production'] as const

/** Name of an environment. */
export type EnvironmentName = typeof ENVIRONMENT_NAMES[number]

/** The row that says which document is in force in one environment. */
export interface DocumentHead {
  readonly version: DocumentVersion
  readonly digest: Digest
  readonly text: string
  readonly appliedBy: string
  /** Milliseconds since 1970. */
  readonly appliedAt: number
}

/** Who brings a document into force, and when. */
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
  const found = current === undefined ? 'none is in force' : `version ${current.version} is in force`
  const wanted = expected === undefined ? 'no document' : `version ${expected}`
  throw new CornelgaugeError('version-conflict', {
    detail: `The change was made against ${wanted}, but ${found}`,
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
 * The head after a change to an environment's document.
 *
 * @param current - the head in force; undefined where there is none yet
 * @param expectedVersion - the version that the operator saw; undefined for the first document
 * @throws CornelgaugeError `invalid-document` with each fault; `version-conflict` with
 * the members `currentVersion` and `difference` (lines from the one in force to the text)
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
 * The head of production after a promotion: the bytes in force in trial, unchanged.
 * A promotion of what is in force in production already gives its head as it is, so
 * a repeated one does no harm.
 *
 * @throws CornelgaugeError `promotion-refused` where the digest is not that in force in
 * trial; `invalid-document` where the document may not follow the one in production
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
