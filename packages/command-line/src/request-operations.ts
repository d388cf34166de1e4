/** The commands `submit`, `request` and `cancel`. */
import { isFinal, type RequestKey, type RequestView, type WorkspaceName } from '@cornelgauge/model'
import { z } from 'zod'
import { ServiceClient, type SubmissionBody } from './client.js'
import { EXIT_OF_CANCELLED_STATE, EXIT_OF_STATE, type ExitName } from './exit-code.js'
import { readTextFile } from './files.js'
import { defineOperation, joinLines, type Outcome, type Tools } from './operation.js'
import { renderRequest } from './request-view.js'
import { choice, KEY_SETTING, optionalKey, requiredText, SERVICE_SETTINGS, wholeNumber, WORKSPACE_SETTING } from './setting-types.js'
import { invalidSettings, type SettingDefinition } from './settings.js'
import { isUncertain, withAdvice } from './uncertain.js'
import { POLL_MILLISECONDS, Progress, waitForEnd } from './waiting.js'

const DEFAULT_WAIT_MILLISECONDS = 30_000
const DEFAULT_DEADLINE_MILLISECONDS = 60_000
const FILE_PREFIX = '@'
const ADJACENCIES = ['server', 'rack', 'neighbouring-racks'] as const

function waitSetting (defaultMilliseconds: number) {
  return {
    description: `Longest wait for the end of the request; 0 returns without waiting. Default: ${defaultMilliseconds}`,
    place: 'flag',
    hint: 'milliseconds',
    schema: wholeNumber(0, defaultMilliseconds)
  } as const satisfies SettingDefinition<number>
}

function isJson (text: string): boolean {
  try {
    JSON.parse(text)
    return true
  } catch {
    return false
  }
}

const payloadSchema = z.string().optional()
  .refine(given => given === undefined || given.startsWith(FILE_PREFIX) || isJson(given), 'Must be JSON, or @ with the path of a JSON file.')

function outcomeOf (view: RequestView, exits: Readonly<Record<RequestView['state'], ExitName>>): Outcome {
  return { exit: exits[view.state], value: view, render: style => joinLines(renderRequest(view, style)) }
}

async function readPayload (given: string | undefined, tools: Tools): Promise<unknown> {
  if (given === undefined) return {}
  if (!given.startsWith(FILE_PREFIX)) return JSON.parse(given) as unknown
  const path = given.slice(FILE_PREFIX.length)
  const text = await readTextFile(path, tools)
  if (!isJson(text)) throw invalidSettings([{ setting: path, detail: 'Must be JSON.' }])
  return JSON.parse(text) as unknown
}

/** The shape of a submission; undefined if no member is given, so that the shape of the kind applies. */
function shapeOf (given: Readonly<NonNullable<SubmissionBody['shape']>>): SubmissionBody['shape'] {
  const { slots, accelerators, adjacency } = given
  const isGiven = slots !== undefined || accelerators !== undefined || adjacency !== undefined
  return isGiven ? { slots, accelerators, adjacency } : undefined
}

/** A request to be submitted. */
interface Submission {
  readonly client: ServiceClient
  readonly workspace: WorkspaceName
  readonly key: RequestKey
  readonly body: SubmissionBody
}

/** Submits a request; if it is not known whether it was accepted, the error message describes how to check. */
async function submitRequest ({ client, workspace, key, body }: Submission, waitMilliseconds: number, tools: Tools): Promise<RequestView> {
  const progress = new Progress(tools)
  progress.show('submitted')
  try {
    return await client.submit(workspace, key, body, Math.min(waitMilliseconds, POLL_MILLISECONDS))
  } catch (failure) {
    if (!isUncertain(failure)) throw failure
    const advice = `Whether the request was accepted is not known. Check with: cornelgauge request ${key} --workspace ${workspace}`
    throw withAdvice(failure, advice, { workspace, key })
  } finally {
    progress.clear()
  }
}

const submit = defineOperation({
  description: 'Submit a request and wait for its end',
  settings: {
    kind: { description: 'Kind of work', place: 'positional', schema: requiredText },
    workspace: WORKSPACE_SETTING,
    key: { description: 'Idempotency key; by default a new one is generated and printed first', place: 'flag', hint: 'key', schema: optionalKey },
    payload: { description: 'Payload as JSON, or @FILE. Default: {}', place: 'flag', hint: 'json', schema: payloadSchema },
    deadlineMilliseconds: { description: `Deadline for the answer, in milliseconds from now. Default: ${DEFAULT_DEADLINE_MILLISECONDS}`, place: 'flag', hint: 'milliseconds', schema: wholeNumber(1, DEFAULT_DEADLINE_MILLISECONDS) },
    slots: { description: "Number of slots, in place of the kind's default", place: 'flag', hint: 'count', schema: wholeNumber(1, undefined) },
    accelerators: { description: "Number of accelerators, in place of the kind's default", place: 'flag', hint: 'count', schema: wholeNumber(0, undefined) },
    adjacency: { description: 'How close to each other the accelerators must be', place: 'flag', hint: ADJACENCIES.join('|'), schema: choice(ADJACENCIES, undefined) },
    waitMilliseconds: waitSetting(DEFAULT_WAIT_MILLISECONDS),
    ...SERVICE_SETTINGS
  },
  examples: [
    { line: 'submit shift-swap --workspace pobocky-praha --payload \'{"durationMilliseconds": 200}\'', does: 'wait up to 30 s for the answer' },
    { line: 'submit term-rota --workspace ustredi --key rota-2027-spring --deadline-milliseconds 7200000 --wait-milliseconds 0', does: 'submit it without waiting' }
  ],
  async run (settings, tools) {
    const { workspace, waitMilliseconds, kind, deadlineMilliseconds, slots, accelerators, adjacency } = settings
    const body: SubmissionBody = { kind, payload: await readPayload(settings.payload, tools), deadlineMilliseconds, shape: shapeOf({ slots, accelerators, adjacency }) }
    const key = settings.key ?? tools.createKey()
    if (settings.key === undefined) tools.diagnostics.write(`key ${key}\n`)
    const client = new ServiceClient(settings.address, settings.token, tools.http)
    const until = tools.now() + waitMilliseconds
    const accepted = await submitRequest({ client, workspace, key, body }, waitMilliseconds, tools)
    return outcomeOf(await waitForEnd({ client, workspace, key }, accepted, until, tools), EXIT_OF_STATE)
  }
})

const request = defineOperation({
  description: 'Read a request, with its answer if it has one',
  settings: { key: KEY_SETTING, workspace: WORKSPACE_SETTING, waitMilliseconds: waitSetting(0), ...SERVICE_SETTINGS },
  examples: [
    { line: 'request rota-2027-spring --workspace ustredi', does: 'print its current state' },
    { line: 'request rota-2027-spring --workspace ustredi --wait-milliseconds 600000', does: 'wait up to ten minutes for its end' }
  ],
  async run ({ key, workspace, waitMilliseconds, address, token }, tools) {
    const client = new ServiceClient(address, token, tools.http)
    const until = tools.now() + waitMilliseconds
    return outcomeOf(await waitForEnd({ client, workspace, key }, undefined, until, tools), EXIT_OF_STATE)
  }
})

const cancel = defineOperation({
  description: 'Cancel a request and print its state afterwards',
  settings: { key: KEY_SETTING, workspace: WORKSPACE_SETTING, waitMilliseconds: waitSetting(DEFAULT_WAIT_MILLISECONDS), ...SERVICE_SETTINGS },
  examples: [
    { line: 'cancel rota-2027-spring --workspace ustredi', does: 'exit code 0 once it is cancelled, 1 if it ended before' }
  ],
  async run ({ key, workspace, waitMilliseconds, address, token }, tools) {
    const client = new ServiceClient(address, token, tools.http)
    const until = tools.now() + waitMilliseconds
    const afterCancel = await client.cancel(workspace, key)
    const view = isFinal(afterCancel.state) ? afterCancel : await waitForEnd({ client, workspace, key }, afterCancel, until, tools)
    return outcomeOf(view, EXIT_OF_CANCELLED_STATE)
  }
})

/** The operations on requests. */
export const REQUEST_OPERATIONS = { submit, request, cancel }
