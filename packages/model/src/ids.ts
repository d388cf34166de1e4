/**
 * Branded identifiers. A branded string or number is a plain value at run time
 * but a distinct type at compile time, so a request key can't be passed in place
 * of a cell name.
 */
declare const brand: unique symbol

/** A value of type `Base` that only its constructor function creates. */
export type Branded<Base, Name extends string> = Base & { readonly [brand]: Name }

/** Name of a team's workspace. */
export type WorkspaceName = Branded<string, 'WorkspaceName'>
/** Idempotency key of a request, unique in its workspace. */
export type RequestKey = Branded<string, 'RequestKey'>
/** Name of a kind of work. */
export type KindName = Branded<string, 'KindName'>
/** Name of a cell, the unit of ownership. */
export type CellName = Branded<string, 'CellName'>
/** Name of a region. */
export type RegionName = Branded<string, 'RegionName'>
/** Name of a failure domain. */
export type FailureDomainName = Branded<string, 'FailureDomainName'>
/** Name of a rack. */
export type RackName = Branded<string, 'RackName'>
/** Name of an entry VM or of a backend server's VM. */
export type VmName = Branded<string, 'VmName'>
/** Name of a backend server. */
export type BackendServerName = Branded<string, 'BackendServerName'>
/** SHA-256 in lower-case hexadecimal. */
export type Digest = Branded<string, 'Digest'>
/** Workspace and idempotency key of one request, as one string `workspace/key`. */
export type RequestId = Branded<string, 'RequestId'>
/** Fencing token of an owner; each new owner has a higher one. */
export type Epoch = Branded<number, 'Epoch'>
/** Position of a row in a cell's journal; the first row has 1. */
export type SequenceNumber = Branded<number, 'SequenceNumber'>
/** Version of an environment document; each accepted change increments it. */
export type DocumentVersion = Branded<number, 'DocumentVersion'>

/** Creates a constructor for branded names; the strings are already validated. */
function nameConstructor<Name extends string> (): (value: string) => Branded<string, Name> {
  return value => value as Branded<string, Name>
}

/** Creates a constructor for branded numbers. */
function numberConstructor<Name extends string> (): (value: number) => Branded<number, Name> {
  return value => value as Branded<number, Name>
}

export const workspaceName = nameConstructor<'WorkspaceName'>()
export const requestKey = nameConstructor<'RequestKey'>()
export const kindName = nameConstructor<'KindName'>()
export const cellName = nameConstructor<'CellName'>()
export const regionName = nameConstructor<'RegionName'>()
export const failureDomainName = nameConstructor<'FailureDomainName'>()
export const rackName = nameConstructor<'RackName'>()
export const vmName = nameConstructor<'VmName'>()
export const backendServerName = nameConstructor<'BackendServerName'>()
export const digest = nameConstructor<'Digest'>()
export const epoch = numberConstructor<'Epoch'>()
export const sequenceNumber = numberConstructor<'SequenceNumber'>()
export const documentVersion = numberConstructor<'DocumentVersion'>()

/**
 * Joins a workspace name and an idempotency key into a request id.
 *
 * @example
 * requestId(workspaceName('brno'), requestKey('swap-1')) // 'brno/swap-1'
 */
export function requestId (workspace: WorkspaceName, key: RequestKey): RequestId {
  return `${workspace}/${key}` as RequestId
}
