/**
 * What one piece of work costs this process: processor time and heap.
 */
const MICROSECONDS_PER_MILLISECOND = 1000

/** Processor time of the whole process that the action took, in milliseconds. */
export async function processorMilliseconds (action: () => unknown): Promise<number> {
  const before = process.cpuUsage()
  await action()
  const { user, system } = process.cpuUsage(before)
  return (user + system) / MICROSECONDS_PER_MILLISECOND
}

/** Heap in use after a collection. Exact only under `--expose-gc`. */
export function heapBytes (): number {
  globalThis.gc?.()
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

/** Heap that the value keeps, and the value. */
export async function keptBytes<Value> (make: () => Value | Promise<Value>): Promise<{ readonly bytes: number, readonly value: Value }> {
  const before = heapBytes()
  const value = await make()
  return { bytes: heapBytes() - before, value }
}
