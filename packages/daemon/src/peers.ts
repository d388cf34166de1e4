/**
 * Calls to all other entry VMs in parallel. Peers that fail or do not answer in time
 * are skipped.
 */
import type { ReceivedDocument } from '@cornelgauge/coordination'
import type { EnvironmentName } from '@cornelgauge/environment'
import { digestOf, type CellName, type DocumentVersion, type VmName } from '@cornelgauge/model'
import type { CallBody, ReplyBody, WireClient } from '@cornelgauge/wire'
import type { VmDirectory } from './vm-directory.js'
import type { TimelineEvent } from '@cornelgauge/telemetry'
import type { EventQuery } from './event-query.js'

const PEER_TIMEOUT_MILLISECONDS = 1500

/** Calls all other entry VMs. */
export class Peers {
  readonly #vm: VmName
  readonly #wire: WireClient
  readonly #directory: VmDirectory

  constructor (vm: VmName, wire: WireClient, directory: VmDirectory) {
    this.#vm = vm
    this.#wire = wire
    this.#directory = directory
  }

  /** Returns the status of every peer that answers. */
  async statuses (): Promise<readonly unknown[]> {
    const replies = await this.#callAll({ type: 'vm-status' })
    return replies.flatMap(reply => reply.type === 'status' ? [reply.status] : [])
  }

  /** Returns the newest events that match a query, as one list for each peer that answers. */
  async events (query: EventQuery): Promise<ReadonlyArray<readonly TimelineEvent[]>> {
    const replies = await this.#callAll({ type: 'events', ...query })
    return replies.flatMap(reply => reply.type === 'events' ? [reply.events as readonly TimelineEvent[]] : [])
  }

  /** Returns the documents that peers have in force. */
  async documents (environment: EnvironmentName): Promise<readonly ReceivedDocument[]> {
    const replies = await this.#callAll({ type: 'document', environment })
    return replies.flatMap(reply => reply.type === 'document' && reply.text !== ''
      ? [{ version: reply.version, text: reply.text, digest: digestOf(reply.text) }]
      : [])
  }

  /** Notifies every peer that this version is in force on this VM. */
  hintDocument (environment: EnvironmentName, version: DocumentVersion): void {
    this.#callAll({ type: 'document-hint', environment, version })
  }

  /** Notifies every peer that a cell was released, so that the next owner can claim it before its next poll. */
  hintHandover (cell: CellName): void {
    this.#callAll({ type: 'handover-hint', cell })
  }

  async #callAll (body: CallBody): Promise<readonly ReplyBody[]> {
    const peers = this.#directory.entryVms.filter(vm => vm.name !== this.#vm && vm.wireAddress !== undefined)
    const answers = await Promise.allSettled(peers.map(vm => this.#wire.call(vm.wireAddress!, body, PEER_TIMEOUT_MILLISECONDS)))
    return answers.flatMap(answer => answer.status === 'fulfilled' ? [answer.value] : [])
  }
}
