/**
 * Prepares the details of an event for a log line: secrets are redacted, errors are
 * reduced to their code and message, and long or deeply nested values are truncated.
 */
import { CornelgaugeError } from '@cornelgauge/model'

const REDACTED = '[redacted]'
const SECRET_FIELD = /secret|token|password|credential|authorization|proof/i
const MAXIMUM_TEXT_LENGTH = 2000
const MAXIMUM_ITEMS = 100
const MAXIMUM_DEPTH = 6

/**
 * Returns a plain copy of a value without secrets. Fields with a name like that of a
 * secret are redacted, and so is each known secret wherever it occurs in a text.
 *
 * @example
 * redact({ token: 'a', path: '/v1?key=hunter2' }, ['hunter2'])
 * // { token: '[redacted]', path: '/v1?key=[redacted]' }
 */
export function redact (value: unknown, secrets: readonly string[]): unknown {
  return redactAt(value, secrets, 0)
}

type Redactor = (value: never, secrets: readonly string[], depth: number) => unknown

/** Redactors by the `typeof` of the value; values of other types become undefined. */
const REDACTORS: Readonly<Record<string, Redactor>> = {
  string: redactText,
  object: redactObject,
  number: (value: number) => Number.isFinite(value) ? value : String(value),
  boolean: (value: boolean) => value,
  bigint: (value: bigint) => String(value)
}

function redactAt (value: unknown, secrets: readonly string[], depth: number): unknown {
  return REDACTORS[typeof value]?.(value as never, secrets, depth)
}

function redactText (text: string, secrets: readonly string[]): string {
  const redacted = secrets
    .filter(secret => secret.length > 0)
    .reduce((partial, secret) => partial.replaceAll(secret, REDACTED), text)
  return redacted.length <= MAXIMUM_TEXT_LENGTH ? redacted : `${redacted.slice(0, MAXIMUM_TEXT_LENGTH)}... (${redacted.length} characters)`
}

function redactObject (value: object | null, secrets: readonly string[], depth: number): unknown {
  if (value === null) return null
  if (depth >= MAXIMUM_DEPTH) return '...'
  if (value instanceof Uint8Array) return `${value.length} bytes`
  if (value instanceof Error) return redactFailure(value, secrets, depth)
  if (value instanceof Date) return value.toJSON()
  if (Array.isArray(value)) return value.slice(0, MAXIMUM_ITEMS).map(item => redactAt(item, secrets, depth + 1))
  return redactFields(Object.entries(value), secrets, depth)
}

function redactFailure (failure: Error, secrets: readonly string[], depth: number): unknown {
  const code = failure instanceof CornelgaugeError ? failure.code : failure.name
  const members = failure instanceof CornelgaugeError ? Object.entries(failure.members) : []
  return redactFields([['code', code], ['detail', failure.message], ...members], secrets, depth)
}

function redactFields (entries: ReadonlyArray<[string, unknown]>, secrets: readonly string[], depth: number): unknown {
  const fields = entries
    .slice(0, MAXIMUM_ITEMS)
    .map(([name, value]) => [redactText(name, secrets), SECRET_FIELD.test(name) ? REDACTED : redactAt(value, secrets, depth + 1)])
  return Object.fromEntries(fields)
}
