/**
 * Interprets the payload of a task that the in-memory backend server runs: its
 * duration, whether it fails, and its answer.
 */
import type { Preparation } from './backend-server.js'
import type { Json } from './table-service.js'

const DEFAULT_DURATION_MILLISECONDS = 20

type Fields = { readonly [name: string]: Json | undefined }

const fieldsOf = (payload: Json): Fields =>
  typeof payload === 'object' && payload !== null && !Array.isArray(payload) ? payload as Fields : {}

const numberOr = (value: Json | undefined, fallback: number): number =>
  typeof value === 'number' && value >= 0 ? value : fallback

/**
 * The duration of the task at full speed, in milliseconds.
 *
 * @example
 * durationOf({ durationMilliseconds: 250 }) // 250
 */
export function durationOf (payload: Json): number {
  return numberOr(fieldsOf(payload).durationMilliseconds, DEFAULT_DURATION_MILLISECONDS)
}

/**
 * True if the task fails when its duration has passed.
 *
 * @example
 * failsAtEnd({ fail: true }) // true
 */
export function failsAtEnd (payload: Json): boolean {
  return fieldsOf(payload).fail === true
}

/**
 * The answer of a finished task as JSON text: the payload's `echo` unchanged,
 * padded to at least `answerBytes` bytes if the payload sets that field.
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
