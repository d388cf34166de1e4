/** Builders of small valid documents, with overrides to make them invalid. */
import { CornelgaugeError } from '@cornelgauge/model'
import { parseDocument, type DocumentFault, type EnvironmentDocument } from '../src/index.js'

export type Members = Record<string, unknown>

export const rack = (name: string, members: Members = {}): Members =>
  ({ name, servers: 2, slotsPerServer: 8, acceleratorsPerServer: 8, ...members })

export const cell = (name: string, members: Members = {}): Members =>
  ({ name, region: 'cechy', failureDomain: name, racks: [rack(`${name}-rack-1`), rack(`${name}-rack-2`)], ...members })

export const kind = (name: string, members: Members = {}): Members =>
  ({ name, idempotent: true, declaredMilliseconds: 1000, ...members })

export const workspace = (name: string, members: Members = {}): Members => ({ name, ...members })

export const writtenDocument = (members: Members = {}): Members => ({
  name: 'sample',
  generation: 1,
  cells: [cell('praha'), cell('plzen'), cell('liberec')],
  kinds: [kind('shift-swap', { idempotent: false, urgent: true }), kind('term-rota', { checkpointable: true })],
  workspaces: [workspace('ustredi'), workspace('pobocky')],
  ...members
})

export const documentText = (members: Members = {}): string => JSON.stringify(writtenDocument(members), null, 2)

export const buildDocument = (members: Members = {}): EnvironmentDocument => parseDocument(documentText(members)).document

/** The error that the action throws. */
export const failureOf = (action: () => unknown): CornelgaugeError => {
  try {
    action()
  } catch (thrown) {
    if (thrown instanceof CornelgaugeError) return thrown
    throw thrown
  }
  throw new Error('the action did not fail')
}

export const faultsOfText = (text: string): readonly DocumentFault[] =>
  failureOf(() => parseDocument(text)).members.faults as readonly DocumentFault[]

export const faultsOf = (members: Members): readonly DocumentFault[] => faultsOfText(documentText(members))
