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
const FILE_MARK = '@'
const ADJACENCIES = ['server', 'rack', 'neighbouring-racks'] as const

function waitSetting (whereAbsent: number) {
  return {
    description: `Longest wait for the end of the request; 0 waits not at all. Default: ${whereAbsent}`,
    place: 'flag',
    hint: 'milliseconds',
    schema: wholeNumber(0, whereAbsent)
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
  .refine(given => given === undefined || given.startsWith(FILE_MARK) || isJson(given), 'Must be JSON, or @ with the path of a JSON file.')

function outcomeOf (view: RequestView, exits: Readonly<Record<RequestView['state'], ExitName>>): Outcome {
  return { exit: exits[view.state], value: view, render: style => joinLines(renderRequest(view, style)) }
}

async function readPayload (given: string | undefined, tools: Tools): Promise<unknown> {
  if (given === undefined) return {}
  if (!given.startsWith(FILE_MARK)) return JSON.parse(given) as unknown
  const path = given.slice(FILE_MARK.length)
  const text = await readTextFile(path, tools)
  if (!isJson(text)) throw invalidSettings([{ setting: path, detail: 'Must be JSON.' }])
  return JSON.parse(text) as unknown
}

/** The shape of a submission; undefined, for that of the kind, where no member is given. */
function shapeOf (given: Readonly<NonNullable<SubmissionBody['shape']>>): SubmissionBody['shape'] {
  const { slots, accelerators, adjacency } = given
  const isGiven = slots !== undefined || accelerators !== undefined || adjacency !== undefined
  return isGiven ? { slots, accelerators, adjacency } : undefined
}

interface Handover {
  readonly client: ServiceClient
  readonly workspace: WorkspaceName
  readonly key: RequestKey
  readonly body: SubmissionBody
}

async function handIn ({ client, workspace, key, body }: Handover, waitMilliseconds: number, tools: Tools): Promise<RequestView> {
  const progress = new Progress(tools)
  progress.show('submitted')
  try {
    return await client.submit(workspace, key, body, Math.min(waitMilliseconds, POLL_MILLISECONDS))
  } catch (failure) {
    if (!isUncertain(failure)) throw failure
    const advice = `Whether the request was accepted is not known. Ask with: cornelgauge request ${key} --workspace ${workspace}`
    throw withAdvice(failure, advice, { workspace, key })
  } finally {
    progress.clear()
  }
}

const submit = defineOperation({
  description: 'Hand a request in and wait for its end',
  settings: {
    kind: { description: 'Kind of work', place: 'positional', schema: requiredText },
    workspace: WORKSPACE_SETTING,
    key: { description: 'Idempotency key; a new one is made, and printed first, where none is given', place: 'flag', hint: 'key', schema: optionalKey },
    payload: { description: 'Payload as JSON, or @FILE. Default: {}', place: 'flag', hint: 'json', schema: payloadSchema },
    deadlineMilliseconds: { description: `Time from now in which the answer is wanted. Default: ${DEFAULT_DEADLINE_MILLISECONDS}`, place: 'flag', hint: 'milliseconds', schema: wholeNumber(1, DEFAULT_DEADLINE_MILLISECONDS) },
    slots: { description: "Slots, in place of the kind's own", place: 'flag', hint: 'count', schema: wholeNumber(1, undefined) },
    accelerators: { description: "Accelerators, in place of the kind's own", place: 'flag', hint: 'count', schema: wholeNumber(0, undefined) },
    adjacency: { description: 'How near the accelerators must stand', place: 'flag', hint: ADJACENCIES.join('|'), schema: choice(ADJACENCIES, undefined) },
    waitMilliseconds: waitSetting(DEFAULT_WAIT_MILLISECONDS),
    ...SERVICE_SETTINGS
  },
  examples: [
    { line: 'submit shift-swap --workspace pobocky-praha --payload \'{"durationMilliseconds": 200}\'', does: 'wait up to 30 s for the answer' },
    { line: 'submit term-rota --workspace ustredi --key rota-2027-spring --deadline-milliseconds 7200000 --wait-milliseconds 0', does: 'hand it in and leave' }
  ],
  async run (settings, tools) {
    const { workspace, waitMilliseconds, kind, deadlineMilliseconds, slots, accelerators, adjacency } = settings
    const body: SubmissionBody = { kind, payload: await readPayload(settings.payload, tools), deadlineMilliseconds, shape: shapeOf({ slots, accelerators, adjacency }) }
    const key = settings.key ?? tools.createKey()
    if (settings.key === undefined) tools.diagnostics.write(`key ${key}\n`)
    const client = new ServiceClient(settings.address, settings.token, tools.http)
    const until = tools.now() + waitMilliseconds
    const accepted = await handIn({ client, workspace, key, body }, waitMilliseconds, tools)
    return outcomeOf(await waitForEnd({ client, workspace, key }, accepted, until, tools), EXIT_OF_STATE)
  }
})

const request = defineOperation({
  description: 'Read a request, with its answer once it has one',
  settings: { key: KEY_SETTING, workspace: WORKSPACE_SETTING, waitMilliseconds: waitSetting(0), ...SERVICE_SETTINGS },
  examples: [
    { line: 'request rota-2027-spring --workspace ustredi', does: 'its state now' },
    { line: 'request rota-2027-spring --workspace ustredi --wait-milliseconds 600000', does: 'wait up to ten minutes for its end' }
  ],
  async run ({ key, workspace, waitMilliseconds, address, token }, tools) {
    const client = new ServiceClient(address, token, tools.http)
    const until = tools.now() + waitMilliseconds
    return outcomeOf(await waitForEnd({ client, workspace, key }, undefined, until, tools), EXIT_OF_STATE)
  }
})

const cancel = defineOperation({
  description: 'Cancel a request, and tell what became of it',
  settings: { key: KEY_SETTING, workspace: WORKSPACE_SETTING, waitMilliseconds: waitSetting(DEFAULT_WAIT_MILLISECONDS), ...SERVICE_SETTINGS },
  examples: [
    { line: 'cancel rota-2027-spring --workspace ustredi', does: 'exit code 0 once it is cancelled, 1 where it ended before' }
  ],
  async run ({ key, workspace, waitMilliseconds, address, token }, tools) {
    const client = new ServiceClient(address, token, tools.http)
    const until = tools.now() + waitMilliseconds
    const asked = await client.cancel(workspace, key)
    const view = isFinal(asked.state) ? asked : await waitForEnd({ client, workspace, key }, asked, until, tools)
    return outcomeOf(view, EXIT_OF_CANCELLED_STATE)
  }
})

/** The commands on requests. */
export const REQUEST_OPERATIONS = { submit, request, cancel }
