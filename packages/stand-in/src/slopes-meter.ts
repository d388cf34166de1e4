/**
 * Measures the processor time and the heap that a piece of work costs this process.
 */
const MICROSECONDS_PER_MILLISECOND = 1000

/** Processor time that this process used during the action, in milliseconds. */
export async function processorMilliseconds (action: () => unknown): Promise<number> {
  const before = process.cpuUsage()
  await action()
  const { user, system } = process.cpuUsage(before)
  return (user + system) / MICROSECONDS_PER_MILLISECOND
}

/** Heap in use after a garbage collection. Exact only under `--expose-gc`. */
export function heapBytes (): number {
  globalThis.gc?.()
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

/** Makes a value, and returns it with the heap that it retains. */
export async function retainedBytes<Value> (make: () => Value | Promise<Value>): Promise<{ readonly bytes: number, readonly value: Value }> {
  const before = heapBytes()
  const value = await make()
  return { bytes: heapBytes() - before, value }
}
