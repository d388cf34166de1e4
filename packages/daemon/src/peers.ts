/**
 * Calls to all other entry VMs at once. A peer that does not answer in time is
 * left out.
 */
import type { SeenDocument } from '@cornelgauge/coordination'
import type { EnvironmentName } from '@cornelgauge/environment'
import { digestOf, type CellName, type DocumentVersion, type VmName } from '@cornelgauge/model'
import type { CallBody, ReplyBody, WireClient } from '@cornelgauge/wire'
import type { VmDirectory } from './vm-directory.js'
import type { TimelineEvent } from '@cornelgauge/telemetry'
import type { EventQuery } from './event-query.js'

const PEER_TIMEOUT_MILLISECONDS = 1500

/** Speaks with the other entry VMs. */
export class Peers {
  readonly #vm: VmName
  readonly #wire: WireClient
  readonly #directory: VmDirectory

  constructor (vm: VmName, wire: WireClient, directory: VmDirectory) {
    this.#vm = vm
    this.#wire = wire
    this.#directory = directory
  }

  /** The status of every peer that answers. */
  async statuses (): Promise<readonly unknown[]> {
    const replies = await this.#askAll({ type: 'vm-status' })
    return replies.flatMap(reply => reply.type === 'status' ? [reply.status] : [])
  }

  /** The newest events that a query asks for, of every peer that answers. */
  async events (query: EventQuery): Promise<ReadonlyArray<readonly TimelineEvent[]>> {
    const replies = await this.#askAll({ type: 'events', ...query })
    return replies.flatMap(reply => reply.type === 'events' ? [reply.events as readonly TimelineEvent[]] : [])
  }

  /** The documents that peers have in force. */
  async documents (environment: EnvironmentName): Promise<readonly SeenDocument[]> {
    const replies = await this.#askAll({ type: 'document', environment })
    return replies.flatMap(reply => reply.type === 'document' && reply.text !== ''
      ? [{ version: reply.version, text: reply.text, digest: digestOf(reply.text) }]
      : [])
  }

  /** Tells every peer that this version is in force here. */
  hintDocument (environment: EnvironmentName, version: DocumentVersion): void {
    this.#askAll({ type: 'document-hint', environment, version })
  }

  /** Tells every peer that a cell has been given up, so that the next owner need not wait for its next look. */
  hintHandover (cell: CellName): void {
    this.#askAll({ type: 'handover-hint', cell })
  }

  async #askAll (body: CallBody): Promise<readonly ReplyBody[]> {
    const peers = this.#directory.entryVms.filter(vm => vm.name !== this.#vm && vm.wireAddress !== undefined)
    const answers = await Promise.allSettled(peers.map(vm => this.#wire.call(vm.wireAddress!, body, PEER_TIMEOUT_MILLISECONDS)))
    return answers.flatMap(answer => answer.status === 'fulfilled' ? [answer.value] : [])
  }
}
