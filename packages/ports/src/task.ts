/**
 * What a task of the in-memory backend server does, as its payload says.
 */
import type { Preparation } from './backend-server.js'
import type { Json } from './table-service.js'

const DEFAULT_DURATION_MILLISECONDS = 20

type Fields = { readonly [name: string]: Json | undefined }

const fieldsOf = (payload: Json): Fields =>
  typeof payload === 'object' && payload !== null && !Array.isArray(payload) ? payload as Fields : {}

const numberOr = (value: Json | undefined, otherwise: number): number =>
  typeof value === 'number' && value >= 0 ? value : otherwise

/**
 * How long the task runs at full speed, in milliseconds.
 *
 * @example
 * durationOf({ durationMilliseconds: 250 }) // 250
 */
export function durationOf (payload: Json): number {
  return numberOr(fieldsOf(payload).durationMilliseconds, DEFAULT_DURATION_MILLISECONDS)
}

/**
 * True of a task that fails at its end.
 *
 * @example
 * failsAtEnd({ fail: true }) // true
 */
export function failsAtEnd (payload: Json): boolean {
  return fieldsOf(payload).fail === true
}

/**
 * The answer of a finished task as JSON text: the payload's `echo` unchanged,
 * padded to at least `answerBytes` where the payload asks for that.
 *
 * @example
 * answerOf(preparation) // '{"echo":7,"kind":"shift-swap","request":"brno/swap-1"}'
 */
export function answerOf ({ payload, kind, request }: Preparation): string {
  const { echo, answerBytes } = fieldsOf(payload)
  const answer = { echo: echo ?? null, kind, request }
  const bytes = numberOr(answerBytes, 0)
  const missing = bytes - Buffer.byteLength(JSON.stringify({ ...answer, padding: '' }))
  return JSON.stringify(bytes === 0 ? answer : { ...answer, padding: 'x'.repeat(Math.max(0, missing)) })
}
