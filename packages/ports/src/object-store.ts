/**
 * The port to the platform's object store: named objects without partial reads or writes.
 */

/**
 * The operations of the object store. A write is atomic: a reader never sees a part
 * of an object. Calls fail with `unavailable` or `timeout` if no response arrived.
 */
export interface ObjectStore {
  put (name: string, content: Uint8Array): Promise<void>
  get (name: string): Promise<Uint8Array | undefined>
  delete (name: string): Promise<void>
  list (prefix: string): Promise<readonly string[]>
}
