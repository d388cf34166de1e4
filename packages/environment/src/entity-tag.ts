/** The entity tag (HTTP `ETag`) of a document in force: its version and the start of its digest. */
import { documentVersion, type Digest, type DocumentVersion } from '@cornelgauge/model'

const DIGEST_CHARACTERS = 16
const TAG_PATTERN = /^"(?<version>[1-9][0-9]{0,14})-(?<digestStart>[0-9a-f]{16})"$/

/** The content of an entity tag. */
export interface EntityTag {
  readonly version: DocumentVersion
  readonly digestStart: string
}

/** A version with its digest, such as a head. */
export interface TaggedVersion {
  readonly version: DocumentVersion
  readonly digest: Digest
}

/**
 * Formats an entity tag, including its quotes.
 *
 * @example
 * formatEntityTag(head) // '"3-9f86d081884c7d65"'
 */
export function formatEntityTag (head: TaggedVersion): string {
  return `"${head.version}-${head.digest.slice(0, DIGEST_CHARACTERS)}"`
}

/**
 * Parses an entity tag; undefined if it doesn't have this format.
 *
 * @example
 * parseEntityTag('"3-9f86d081884c7d65"')?.version // 3
 */
export function parseEntityTag (text: string): EntityTag | undefined {
  const groups = TAG_PATTERN.exec(text)?.groups
  if (groups?.version === undefined || groups.digestStart === undefined) return undefined
  return { version: documentVersion(Number(groups.version)), digestStart: groups.digestStart }
}

/**
 * Whether a tag matches the version and the digest.
 *
 * @example
 * matchesEntityTag(parseEntityTag(formatEntityTag(head)), head) // true
 */
export function matchesEntityTag (tag: EntityTag | undefined, head: TaggedVersion): boolean {
  return tag !== undefined && tag.version === head.version && head.digest.startsWith(tag.digestStart)
}
