/**
 * Manages the cells of this VM: polls the owner rows, claims, recovers, renews and
 * hands over cells, and runs their owners.
 */
import {
  applyTransitions, chooseActions, claimCell, recordRenewalConfirmed, emptyLedger, leaseEndsAt, ledgerFromJson, observeOwnerRow, openLease, recover, releaseCell,
  renewCell, parseStoredOwnerRow, recordRenewalSent, CELLS_TABLE,
  type OwnershipAction, type Random, type LeaseWatch, type StoreCallOptions, type Stores, type Transition
} from '@cornelgauge/coordination'
import { asFailure, type CellName, type FailureDomainName, type RequestRecord, type SequenceNumber, type VmName } from '@cornelgauge/model'
import type { Clock, Json } from '@cornelgauge/ports'
import type { Instant, OwnerEffect, OwnerEvent, OwnerState } from '@cornelgauge/scheduler'
import type { EmitEvent } from '@cornelgauge/telemetry'
import type { ServerClients } from './backend-servers.js'
import { CellLoop, type CellEffects } from './cell-loop.js'
import type { DocumentInForce } from './documents.js'
import { performEffect, type CellContext } from './effects.js'
import { OwnedCell } from './owned-cell.js'
import type { Replies } from './replies.js'
import type { VmDirectory } from './vm-directory.js'

/** Interval between two reads of the owner rows. */
export const OWNERSHIP_POLL_MILLISECONDS = 500
/** Maximum time that a planned shutdown spends on handing over its cells. */
export const HANDOVER_TIMEOUT_MILLISECONDS = 5000
const HANDOVER_POLL_MILLISECONDS = 20

/** Dependencies and identity of a cell host. */
export interface CellHostOptions {
  readonly vm: VmName
  readonly failureDomain: FailureDomainName
  readonly wireAddress: string
  readonly stores: Stores
  readonly clock: Clock
  readonly wall: () => number
  readonly random: Random
  readonly nonce: () => string
  readonly directory: VmDirectory
  readonly servers: ServerClients
  readonly replies: Replies
  readonly emit: EmitEvent
  readonly documentInForce: () => DocumentInForce | undefined
  /** Called after each step of an owned cell, for metrics. */
  readonly onStep?: (step: CellEffects) => void
  /** Called after a cell was released in a handover, with the VM that it is meant for. */
  readonly onReleased: (cell: CellName, to: VmName | null) => void
}

/** The owner of a cell, as far as this VM knows. */
export interface KnownOwner {
  readonly vm: VmName
  readonly address: string
  readonly isSelf: boolean
}

/** Claims and runs the cells of this VM. */
export class CellHost {
  readonly #options: CellHostOptions
  readonly #loop: CellLoop
  readonly #watches = new Map<CellName, LeaseWatch>()
  readonly #owned = new Map<CellName, OwnedCell>()
  readonly #busy = new Set<CellName>()
  readonly #pendingClaims = new Set<AbortController>()
  #leaving = false

  constructor (options: CellHostOptions) {
    this.#options = options
    this.#loop = new CellLoop(() => this.#instant(), effects => { this.#perform(effects) })
  }

  /** The states of the cells that this VM owns. */
  get states (): readonly OwnerState[] {
    return [...this.#loop.cells.values()]
  }

  /** Returns the owner of a cell as of the last poll; undefined if there is none. */
  ownerOf (cell: CellName): KnownOwner | undefined {
    if (this.#owned.get(cell)?.isServing === true) return { vm: this.#options.vm, address: this.#options.wireAddress, isSelf: true }
    const row = this.#watches.get(cell)?.stored?.row
    if (row === undefined || row.holder === null || row.address === null || row.holder === this.#options.vm) return undefined
    return { vm: row.holder, address: row.address, isSelf: false }
  }

  /** The owner rows as last read. */
  get rows (): ReadonlyMap<CellName, LeaseWatch> {
    return this.#watches
  }

  /** Queues an event for an owned cell; returns false if this VM does not serve it. */
  put (cell: CellName, event: OwnerEvent): boolean {
    const owned = this.#owned.get(cell)
    if (owned?.isServing !== true) return false
    owned.put(event)
    return true
  }

  /** Reads the owner rows. */
  async refresh (): Promise<void> {
    const { stores, clock, emit } = this.#options
    try {
      const rows = await stores.table.range({ table: CELLS_TABLE })
      const rowsByCell = new Map(rows.map(row => [row.key, parseStoredOwnerRow(row)]))
      for (const { name } of this.#cells()) this.#watches.set(name, observeOwnerRow(this.#watches.get(name), rowsByCell.get(name), clock.now()))
    } catch (thrown) {
      emit('owner-rows-unreadable', { details: { failure: asFailure(thrown) } })
    }
  }

  /** Starts the claims, renewals and handovers that are due now, and passes the VM list on to the owned cells. */
  startDueActions (): void {
    const now = this.#options.clock.now()
    for (const action of chooseActions(this.#ownershipView(), now)) this.#startAction(action)
    for (const owned of this.#owned.values()) this.#updateServers(owned)
  }

  /** Passes a new document to the owned cells. */
  updateDocument ({ document, version }: DocumentInForce): void {
    for (const owned of this.#owned.values()) owned.put({ type: 'document', document, version })
  }

  /**
   * Begins a planned shutdown; resolves once no cell is owned. If a cell cannot be
   * handed over in time, for example because the table service is down, its lease
   * is left to expire.
   */
  async leave (): Promise<void> {
    const { clock } = this.#options
    const giveUpAt = clock.now() + HANDOVER_TIMEOUT_MILLISECONDS
    this.#leaving = true
    this.startDueActions()
    while (this.#owned.size > 0 || this.#busy.size > 0) {
      await new Promise<void>(resolve => { clock.after(HANDOVER_POLL_MILLISECONDS, resolve) })
      if (clock.now() >= giveUpAt) this.#abandonCells()
      else this.startDueActions()
    }
  }

  /** Gives up every cell without a release; other VMs can claim it once the lease has expired. */
  #abandonCells (): void {
    for (const abort of this.#pendingClaims) abort.abort()
    for (const owned of this.#owned.values()) {
      if (owned.isServing) owned.put({ type: 'fenced' })
      else owned.stop()
    }
  }

  /** Ends all ownerships immediately, without a handover. */
  stop (): void {
    for (const owned of this.#owned.values()) owned.stop()
  }

  #cells (): readonly { readonly name: CellName, readonly failureDomain: FailureDomainName }[] {
    return this.#options.documentInForce()?.document.cells ?? []
  }

  #ownershipView (): Parameters<typeof chooseActions>[0] {
    const { vm, failureDomain, directory } = this.#options
    const held = new Map([...this.#owned].map(([cell, owned]) => [cell, owned.lease] as const))
    const cells = this.#cells().map(cell => ({ cell: cell.name, failureDomain: cell.failureDomain }))
    return { vm, failureDomain, leaving: this.#leaving, cells, watches: this.#watches, candidates: directory.candidates, held, busy: this.#busy }
  }

  /** Starts an action. A renewal does not mark the cell as busy, as it runs concurrently with any other action. */
  #startAction (action: OwnershipAction): void {
    const blocksOthers = action.type !== 'renew'
    if (blocksOthers) this.#busy.add(action.cell)
    const performAction = ACTION_HANDLERS[action.type] as (host: HostActions, action: OwnershipAction) => Promise<void>
    performAction(this.#actions, action)
      .catch(thrown => { this.#options.emit('ownership-action-failed', { cell: action.cell, details: { action: action.type, failure: asFailure(thrown) } }) })
      .finally(() => { if (blocksOthers) this.#busy.delete(action.cell) })
  }

  readonly #actions: HostActions = {
    claim: async ({ cell, watch }) => { await this.#claim(cell, watch) },
    renew: async ({ cell }) => { await this.#renew(cell) },
    handOver: async ({ cell, to }) => { await this.#handOver(cell, to) }
  }

  async #claim (cell: CellName, watch: LeaseWatch): Promise<void> {
    const { vm, wireAddress, nonce, stores, clock, emit } = this.#options
    const abort = new AbortController()
    const startedAt = clock.now()
    this.#pendingClaims.add(abort)
    const outcome = await claimCell(stores.table, cell, watch.stored, { vm, address: wireAddress, nonce: nonce() }, this.#storeOptions(abort.signal))
    this.#pendingClaims.delete(abort)
    if (outcome.type !== 'claimed') return emit('cell-claim-lost', { cell, details: { outcome: outcome.type } })
    emit('cell-claimed', { cell, details: { epoch: outcome.claim.epoch, previousHolder: watch.stored?.row.holder, milliseconds: Math.round(clock.now() - startedAt) } })
    const owned = new OwnedCell(outcome.claim, openLease(outcome.sentAt), abort, clock, event => {
      this.#loop.put({ type: 'cell', cell, epoch: outcome.claim.epoch, event })
    })
    this.#owned.set(cell, owned)
    await this.#recover(owned)
  }

  async #recover (owned: OwnedCell): Promise<void> {
    const { stores, clock, emit, vm, documentInForce } = this.#options
    const { cell, epoch } = owned.claim
    const startedAt = clock.now()
    try {
      const { snapshot, rows, nextSequence } = await recover<Json, Json>(stores, owned.claim, this.#storeOptions(owned.signal))
      const base = snapshot === undefined ? emptyLedger() : ledgerFromJson(snapshot.content as unknown as readonly RequestRecord[])
      const ledger = applyTransitions(base, rows.flatMap(row => row.entries) as unknown as readonly Transition[])
      const { document, version } = documentInForce()!
      const snapshotSequence = (snapshot?.sequence ?? 0) as SequenceNumber
      const leaseValidUntil = leaseEndsAt(owned.lease)
      this.#loop.put({ type: 'own', start: { cell, vm, epoch, document, documentVersion: version, ledger, nextSequence, snapshotSequence, monotonic: clock.now(), leaseValidUntil } })
      owned.startServing()
      emit('cell-recovered', { cell, details: { epoch, rows: rows.length, requests: ledger.size, milliseconds: Math.round(clock.now() - startedAt) } })
      this.#updateServers(owned)
    } catch (thrown) {
      emit('cell-recovery-failed', { cell, details: { epoch, failure: asFailure(thrown) } })
      this.#removeOwnedCell(owned)
    }
  }

  async #renew (cell: CellName): Promise<void> {
    const { stores, clock, emit } = this.#options
    const owned = this.#owned.get(cell)
    if (owned === undefined) return
    owned.lease = recordRenewalSent(owned.lease, clock.now())
    const outcome = await renewCell(stores.table, owned.claim, () => clock.now())
    if (outcome.type === 'renewed') {
      owned.lease = recordRenewalConfirmed(owned.lease, outcome.sentAt)
      owned.put({ type: 'lease', validUntil: leaseEndsAt(owned.lease) })
    }
    if (outcome.type === 'unknown') emit('cell-renewal-unknown', { cell })
    if (outcome.type === 'lost') this.#endLostOwnership(owned)
  }

  #endLostOwnership (owned: OwnedCell): void {
    this.#options.emit('cell-ownership-lost', { cell: owned.claim.cell, details: { epoch: owned.claim.epoch } })
    owned.put({ type: 'fenced' })
    if (!owned.isServing) this.#removeOwnedCell(owned)
  }

  /** Drains the cell, so that all staged transitions are committed, and releases its owner row. */
  async #handOver (cell: CellName, to: VmName | null): Promise<void> {
    const { stores, emit, clock, onReleased } = this.#options
    const owned = this.#owned.get(cell)
    if (owned === undefined) return
    const startedAt = clock.now()
    emit('cell-handover-started', { cell, details: { epoch: owned.claim.epoch, to } })
    if (await owned.drain() !== 'drained') return
    const outcome = await releaseCell(stores.table, owned.claim, this.#storeOptions(owned.signal))
    emit('cell-handover-finished', { cell, details: { epoch: owned.claim.epoch, outcome: outcome.type, to, milliseconds: Math.round(clock.now() - startedAt) } })
    this.#removeOwnedCell(owned)
    onReleased(cell, to)
  }

  #perform (step: CellEffects): void {
    const { cell, epoch, effects, failure } = step
    this.#options.onStep?.(step)
    const owned = this.#owned.get(cell)
    if (owned === undefined || owned.claim.epoch !== epoch) return this.#settleReplies(effects)
    if (failure !== undefined) this.#options.emit('cell-step-failed', { cell, details: { failure, stack: failure.stack } })
    const context = this.#context(owned)
    effects.forEach(effect => { performEffect(context, effect) })
  }

  /** Performs only the replies, for the effects of an ownership that has ended. */
  #settleReplies (effects: readonly OwnerEffect[]): void {
    for (const effect of effects) if (effect.type === 'reply') this.#options.replies.settle(effect.call, effect.reply)
  }

  #context (owned: OwnedCell): CellContext {
    const { stores, servers, replies, emit, nonce } = this.#options
    return {
      claim: owned.claim,
      stores,
      servers,
      replies,
      emit,
      nonce,
      storeOptions: this.#storeOptions(owned.signal),
      put: event => { owned.put(event) },
      wake: at => { owned.scheduleTick(at) },
      onDrained: () => { owned.finishDrain() },
      onSteppedDown: () => { this.#steppedDown(owned) }
    }
  }

  #steppedDown (owned: OwnedCell): void {
    this.#options.emit('cell-stepped-down', { cell: owned.claim.cell, details: { epoch: owned.claim.epoch } })
    this.#removeOwnedCell(owned)
  }

  #removeOwnedCell (owned: OwnedCell): void {
    owned.stop()
    const { cell, epoch } = owned.claim
    if (this.#owned.get(cell) === owned) this.#owned.delete(cell)
    this.#loop.put({ type: 'disown', cell, epoch })
  }

  #updateServers (owned: OwnedCell): void {
    const cell = this.#cells().find(candidate => candidate.name === owned.claim.cell)
    if (cell === undefined || !owned.isServing) return
    const listed = this.#options.directory.serversOf(cell.failureDomain)
    for (const { description, address } of listed) this.#options.servers.setAddress(description.name, address)
    if (listed.length > 0) owned.put({ type: 'servers', servers: listed })
  }

  #storeOptions (signal: AbortSignal): StoreCallOptions {
    const { clock, random, emit } = this.#options
    return { clock, random, signal, onUnreachable: report => { emit('store-unreachable', { details: { failedTries: report.failedTries, failure: report.failure } }) } }
  }

  #instant (): Instant {
    return { wall: this.#options.wall(), monotonic: this.#options.clock.now() }
  }
}

interface HostActions {
  readonly claim: (action: Extract<OwnershipAction, { type: 'claim' }>) => Promise<void>
  readonly renew: (action: Extract<OwnershipAction, { type: 'renew' }>) => Promise<void>
  readonly handOver: (action: Extract<OwnershipAction, { type: 'hand-over' }>) => Promise<void>
}

type ActionHandler<Type extends OwnershipAction['type']> = (actions: HostActions, action: Extract<OwnershipAction, { type: Type }>) => Promise<void>

const ACTION_HANDLERS: { readonly [Type in OwnershipAction['type']]: ActionHandler<Type> } = {
  claim: (actions, action) => actions.claim(action),
  renew: (actions, action) => actions.renew(action),
  'hand-over': (actions, action) => actions.handOver(action)
}
