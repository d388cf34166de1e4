/** File access for commands. A failure is reported as a fault of the setting that names the file. */
import type { Tools } from './operation.js'
import { invalidSettings } from './settings.js'

function reasonOf (thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown)
}

/** Reads a text file. Failure: `invalid-settings`. */
export async function readTextFile (path: string, tools: Tools): Promise<string> {
  try {
    return await tools.readFile(path)
  } catch (thrown) {
    throw invalidSettings([{ setting: path, detail: `Cannot be read: ${reasonOf(thrown)}` }])
  }
}

/** Writes a text file. Failure: `invalid-settings`. */
export async function writeTextFile (path: string, text: string, tools: Tools): Promise<void> {
  try {
    await tools.writeFile(path, text)
  } catch (thrown) {
    throw invalidSettings([{ setting: path, detail: `Cannot be written: ${reasonOf(thrown)}` }])
  }
}
