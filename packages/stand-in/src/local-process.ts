/**
 * A child process of the local deployment.
 */
import { spawn, type ChildProcessByStdio } from 'node:child_process'
import { createInterface } from 'node:readline'
import type { Readable, Writable } from 'node:stream'

const RETAINED_LINES = 20

/** What to run. */
export interface LocalProcessOptions {
  readonly name: string
  readonly command: readonly string[]
  /** Environment variables in addition to those of the launcher. */
  readonly environment?: Readonly<Record<string, string>>
  /** Receives each line of output. */
  readonly onLine?: (line: string) => void
  /** Called when the process exits without having been stopped. */
  readonly onUnexpectedEnd?: (process: LocalProcess) => void
}

/**
 * Runs a command until it ends or is stopped.
 *
 * @example
 * const child = new LocalProcess({ name: 'vm-list', command: [process.execPath, 'main.js', 'vm-list'] })
 * await child.stop(5000)
 */
export class LocalProcess {
  readonly name: string
  /** Resolves when the process has exited for any reason. */
  readonly ended: Promise<void>
  readonly #options: LocalProcessOptions
  readonly #child: ChildProcessByStdio<Writable, Readable, Readable>
  #stopping = false
  #lastLines: readonly string[] = []

  constructor (options: LocalProcessOptions) {
    const [program = '', ...parameters] = options.command
    this.name = options.name
    this.#options = options
    this.#child = spawn(program, parameters, { stdio: ['pipe', 'pipe', 'pipe'], env: { ...process.env, ...options.environment } })
    this.#child.stdin.on('error', () => {})
    for (const output of [this.#child.stdout, this.#child.stderr]) {
      createInterface({ input: output }).on('line', line => this.#recordLine(line))
    }
    this.ended = this.#waitForEnd()
  }

  get pid (): number {
    return this.#child.pid ?? 0
  }

  get hasEnded (): boolean {
    return this.#child.exitCode !== null || this.#child.signalCode !== null
  }

  /** Describes the exit code or signal, with the last lines of output. */
  describeEnd (): string {
    const cause = this.#child.signalCode ?? `exit code ${this.#child.exitCode}`
    return [`${this.name} (pid ${this.pid}) ended: ${cause}`, ...this.#lastLines.map(line => `  ${line}`)].join('\n')
  }

  /** Sends SIGTERM, and SIGKILL if the process has not exited after the grace time. */
  async stop (graceMilliseconds: number): Promise<void> {
    this.#stopping = true
    if (this.hasEnded) return
    this.#child.kill('SIGTERM')
    const timer = setTimeout(() => this.#child.kill('SIGKILL'), graceMilliseconds)
    await this.ended
    clearTimeout(timer)
  }

  #recordLine (line: string): void {
    this.#lastLines = [...this.#lastLines, line].slice(-RETAINED_LINES)
    this.#options.onLine?.(line)
  }

  async #waitForEnd (): Promise<void> {
    this.#child.on('error', failure => this.#recordLine(failure.message))
    await new Promise(resolve => this.#child.once('close', resolve))
    if (!this.#stopping) this.#options.onUnexpectedEnd?.(this)
  }
}
