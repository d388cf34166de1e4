/**
 * The port to the platform's object store: whole objects by name.
 */

/**
 * What the object store does. Objects are written whole; a reader never sees a
 * part of one. Fails with `unavailable` or `timeout` where no answer came.
 */
export interface ObjectStore {
  put (name: string, content: Uint8Array): Promise<void>
  get (name: string): Promise<Uint8Array | undefined>
  delete (name: string): Promise<void>
  list (prefix: string): Promise<readonly string[]>
}
