/** Schemas for the types of settings, and the settings that several commands share. */
import { ENVIRONMENT_NAMES } from '@cornelgauge/environment'
import { workspaceName, requestKey, type RequestKey, type WorkspaceName } from '@cornelgauge/model'
import { z } from 'zod'
import type { SettingDefinition } from './settings.js'

const REQUIRED_MESSAGE = 'This setting is required.'
const EMPTY_MESSAGE = 'Must not be empty.'
const WHOLE_NUMBER_PATTERN = /^[0-9]{1,15}$/
const TOKEN_PATTERN = /^[\x21-\x7e]+$/
const SWITCH_VALUES: ReadonlyMap<string | undefined, boolean> = new Map([
  [undefined, false], ['', true], ['true', true], ['1', true], ['false', false], ['0', false]
])

const text = z.string({ error: REQUIRED_MESSAGE }).min(1, EMPTY_MESSAGE)

/** Text that must be given. */
export const requiredText = text as z.ZodType<string, string | undefined>

/** Text that must be given and match a pattern. */
export function matchingText (pattern: RegExp, message: string): z.ZodType<string, string | undefined> {
  return text.regex(pattern, message) as z.ZodType<string, string | undefined>
}

/** Text that is optional. */
export const optionalText: z.ZodType<string | undefined, string | undefined> = text.optional()

/** A whole number with a minimum; `defaultValue` if it is not given. */
export function wholeNumber<Default extends number | undefined> (minimum: number, defaultValue: Default): z.ZodType<number | Default, string | undefined> {
  return z.string().optional()
    .refine(given => given === undefined || (WHOLE_NUMBER_PATTERN.test(given) && Number(given) >= minimum), `Must be a whole number, at least ${minimum}.`)
    .transform(given => given === undefined ? defaultValue : Number(given))
}

/** One of the given words; `defaultValue` if it is not given. */
export function choice<const Word extends string, Default extends Word | undefined> (words: readonly Word[], defaultValue: Default): z.ZodType<Word | Default, string | undefined> {
  return z.string().optional()
    .refine(given => given === undefined || words.includes(given as Word), `Must be one of: ${words.join(', ')}.`)
    .transform(given => (given as Word | undefined) ?? defaultValue)
}

/** The origin of an address, `http` if no scheme is given; undefined if the address is malformed or has more than an origin. */
function originOf (given: string): string | undefined {
  const text = /^https?:\/\//.test(given) ? given : `http://${given}`
  if (!URL.canParse(text)) return undefined
  const url = new URL(text)
  const hasMoreThanOrigin = url.pathname !== '/' || url.search !== '' || url.hash !== '' || url.username !== '' || url.password !== ''
  return hasMoreThanOrigin ? undefined : url.origin
}

const address = text
  .refine(given => originOf(given) !== undefined, 'Must be an address such as 127.0.0.1:8080 or https://entry.example.')
  .transform(given => originOf(given) ?? given)

const switchSchema = z.string().optional()
  .refine(given => SWITCH_VALUES.has(given), 'Must be true or false.')
  .transform(given => SWITCH_VALUES.get(given) ?? false)

/** The switch that every command has. */
export const JSON_SETTING = {
  description: 'Print the result as JSON',
  place: 'switch',
  schema: switchSchema
} as const satisfies SettingDefinition<boolean>

/** The settings for the connection to the service. */
export const SERVICE_SETTINGS = {
  address: { description: 'Address of any entry VM', place: 'flag', hint: 'host:port', schema: address as z.ZodType<string, string | undefined> },
  token: {
    description: 'Token of the operator or of the workspace; the variable keeps it out of process lists',
    place: 'flag',
    hint: 'token',
    schema: matchingText(TOKEN_PATTERN, 'Must be printable ASCII characters without spaces.')
  }
} as const satisfies Record<string, SettingDefinition<string>>

/** The environment whose document a command is about. */
export const ENVIRONMENT_SETTING = {
  description: 'trial or production',
  place: 'flag',
  hint: ENVIRONMENT_NAMES.join('|'),
  schema: choice(ENVIRONMENT_NAMES, 'trial')
} as const satisfies SettingDefinition<string>

/** The workspace of the request that a command is about. */
export const WORKSPACE_SETTING = {
  description: 'Workspace of the request',
  place: 'flag',
  hint: 'name',
  schema: requiredText.transform(workspaceName) as z.ZodType<WorkspaceName, string | undefined>
} as const satisfies SettingDefinition<WorkspaceName>

const KEY_PATTERN = /^[\x21-\x7e]{1,200}$/
const KEY_MESSAGE = 'Must be at most 200 printable ASCII characters without spaces.'

/** An optional idempotency key. */
export const optionalKey = text.regex(KEY_PATTERN, KEY_MESSAGE).transform(requestKey).optional() as z.ZodType<RequestKey | undefined, string | undefined>

/** The idempotency key of the request that a command is about. */
export const KEY_SETTING = {
  description: 'Idempotency key of the request',
  place: 'positional',
  schema: text.regex(KEY_PATTERN, KEY_MESSAGE).transform(requestKey) as z.ZodType<RequestKey, string | undefined>
} as const satisfies SettingDefinition<RequestKey>
