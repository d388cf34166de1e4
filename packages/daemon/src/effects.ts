/**
 * Performs the effects of cell owners, with a handler for each type of effect. Outcomes
 * return to the event loop as events.
 */
import { commitRow, ledgerToJson, takeSnapshot, type CellClaim, type StoreCallOptions, type Stores } from '@cornelgauge/coordination'
import { asFailure, CornelgaugeError, type BackendServerName, type SequenceNumber } from '@cornelgauge/model'
import type { BackendServer, ExecutionId, ExecutionReport, Json } from '@cornelgauge/ports'
import type { Command, OwnerEffect, OwnerEvent } from '@cornelgauge/scheduler'
import type { EmitEvent } from '@cornelgauge/telemetry'
import type { ServerClients } from './backend-servers.js'
import type { Replies } from './replies.js'

const STORE_RETRY_MILLISECONDS = 1000

/** The ownership of a cell, and the dependencies of its effects. */
export interface CellContext {
  readonly claim: CellClaim
  readonly stores: Stores
  readonly servers: ServerClients
  readonly replies: Replies
  readonly emit: EmitEvent
  /** Options of calls to the stores; the signal aborts when the ownership ends. */
  readonly storeOptions: StoreCallOptions
  readonly nonce: () => string
  readonly put: (event: OwnerEvent) => void
  readonly wake: (at: number) => void
  readonly onDrained: () => void
  readonly onSteppedDown: () => void
}

/**
 * Performs one effect.
 *
 * @example
 * effects.forEach(effect => performEffect(context, effect))
 */
export function performEffect (context: CellContext, effect: OwnerEffect): void {
  const handler = HANDLERS[effect.type] as (context: CellContext, effect: OwnerEffect) => void
  handler(context, effect)
}

type Handler<Type extends OwnerEffect['type']> = (context: CellContext, effect: Extract<OwnerEffect, { type: Type }>) => void

const HANDLERS: { readonly [Type in OwnerEffect['type']]: Handler<Type> } = {
  reply: ({ replies }, { call, reply }) => { replies.settle(call, reply) },
  commit: (context, effect) => { commit(context, effect) },
  command: (context, effect) => { executeCommand(context, effect.server, effect.command) },
  watch: (context, effect) => { watch(context, effect) },
  'store-answer': (context, effect) => { storeAnswer(context, effect) },
  'delete-answers': (context, effect) => { deleteAnswers(context, effect.objects) },
  snapshot: (context, effect) => { snapshot(context, effect) },
  wake: ({ wake }, { at }) => { wake(at) },
  drained: ({ onDrained }) => { onDrained() },
  'stepped-down': ({ onSteppedDown }) => { onSteppedDown() },
  log: ({ emit, claim }, { event, request, details }) => { emit(event, { cell: claim.cell, request, details }) }
}

async function commit (context: CellContext, effect: Extract<OwnerEffect, { type: 'commit' }>): Promise<void> {
  const { claim, stores, put, emit, storeOptions } = context
  const { sequence, transitions } = effect
  const { clock } = storeOptions
  const startedAt = clock.now()
  const draft = { sequence, entries: transitions as unknown as readonly Json[], nonce: context.nonce() }
  try {
    const outcome = await commitRow(stores.table, claim, draft, storeOptions)
    if (outcome !== 'committed') return onFenced(context, sequence)
    put({ type: 'committed', sequence })
    emit('journal-committed', { cell: claim.cell, details: { sequence, transitions: transitions.length, milliseconds: Math.round(clock.now() - startedAt) } })
  } catch (thrown) {
    emit('journal-commit-failed', { cell: claim.cell, details: { sequence, failure: asFailure(thrown) } })
    put({ type: 'fenced' })
  }
}

function onFenced ({ claim, put, emit }: CellContext, sequence: SequenceNumber): void {
  put({ type: 'fenced' })
  emit('cell-fenced', { cell: claim.cell, details: { epoch: claim.epoch, sequence } })
}

const EXECUTIONS_OF: { readonly [Name in Command['name']]: (command: Extract<Command, { name: Name }>) => readonly ExecutionId[] } = {
  prepare: ({ preparations }) => preparations.map(({ request, attempt }) => ({ request, attempt })),
  go: ({ executions }) => executions,
  fence: ({ executions }) => executions,
  stop: ({ executions }) => executions,
  checkpoint: ({ executions }) => executions
}

async function executeCommand (context: CellContext, name: BackendServerName, serverCommand: Command): Promise<void> {
  try {
    const reports = await sendCommand(context.servers.get(name), context.claim, serverCommand)
    context.put({ type: 'reports', server: name, reports })
  } catch (thrown) {
    const failure = asFailure(thrown)
    const { code } = failure
    if (code === 'stale-epoch') return context.put({ type: 'fenced' })
    const executions = EXECUTIONS_OF[serverCommand.name](serverCommand as never)
    context.emit('server-command-failed', { cell: context.claim.cell, request: executions[0]?.request, details: { server: name, command: serverCommand.name, failure } })
    context.put({ type: 'command-failed', server: name, command: serverCommand.name, executions, code })
  }
}

function sendCommand (server: BackendServer, claim: CellClaim, command: Command): Promise<readonly ExecutionReport[]> {
  const owner = { cell: claim.cell, epoch: claim.epoch }
  if (command.name === 'prepare') return server.prepare(owner, command.preparations)
  return server[command.name](owner, command.executions)
}

async function watch (context: CellContext, effect: Extract<OwnerEffect, { type: 'watch' }>): Promise<void> {
  const { type, server, ...request } = effect
  const { cell, epoch } = context.claim
  try {
    const answer = await context.servers.get(server).watch({ cell, epoch, ...request })
    context.put({ type: 'watched', server, answer })
  } catch (thrown) {
    const { code } = asFailure(thrown)
    context.put(code === 'stale-epoch' ? { type: 'fenced' } : { type: 'watch-failed', server, code })
  }
}

/** Retries until the object is stored, since the caller receives the answer only after that. */
async function storeAnswer (context: CellContext, effect: Extract<OwnerEffect, { type: 'store-answer' }>): Promise<void> {
  const { id, answer, text } = effect
  const { clock, signal } = context.storeOptions
  try {
    await context.stores.objects.put(answer.object!, Buffer.from(text))
    context.put({ type: 'answer-stored', id, answer })
  } catch (thrown) {
    if (signal.aborted) return
    context.emit('answer-store-failed', { cell: context.claim.cell, request: id, details: { failure: asFailure(thrown) } })
    clock.after(STORE_RETRY_MILLISECONDS, () => { storeAnswer(context, effect) })
  }
}

async function deleteAnswers (context: CellContext, objects: readonly string[]): Promise<void> {
  for (const object of objects) await context.stores.objects.delete(object).catch(() => {})
}

async function snapshot (context: CellContext, effect: Extract<OwnerEffect, { type: 'snapshot' }>): Promise<void> {
  const { claim, stores, storeOptions, put, emit } = context
  const { cell } = claim
  const { sequence } = effect
  const content = ledgerToJson(effect.ledger) as unknown as Json
  const startedAt = storeOptions.clock.now()
  try {
    const outcome = await takeSnapshot(stores, claim, { sequence, content }, storeOptions)
    if (outcome.type !== 'made') throw new CornelgaugeError('not-owner')
    put({ type: 'snapshot-taken', sequence })
    emit('snapshot-written', { cell, details: { sequence, milliseconds: Math.round(storeOptions.clock.now() - startedAt) } })
  } catch (thrown) {
    emit('snapshot-failed', { cell, details: { sequence, failure: asFailure(thrown) } })
    put({ type: 'snapshot-failed' })
  }
}
