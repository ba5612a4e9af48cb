/** Child processes of demos, benchmarks and tests: starts them, calls them over HTTP, and ends them by process id. */
import { spawn, type ChildProcess } from 'node:child_process'
import { rmSync } from 'node:fs'
import { mkdtemp, rm } from 'node:fs/promises'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

export interface StartOptions {
  /** Compiled entry, relative to this directory. */
  readonly entry: string
  readonly args: readonly string[]
  /** Called with each line that the process writes to standard error. */
  readonly onLog?: (line: string) => void
  readonly startTimeoutMs?: number
}

/** Processes that this process has started and that still run. */
const running = new Set<ChildProcess>()

const directories = new Set<string>()

// Ends the children and removes the directories when this process exits. SIGKILL of this process leaves them behind.
process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL')
  for (const directory of directories) rmSync(directory, { recursive: true, force: true })
})

/** Creates a temporary directory; it is removed by `removeDirectory`, at the latest when this process exits. */
export const createDirectory = async (): Promise<string> => {
  const directory = await mkdtemp(join(tmpdir(), 'pimentotally-'))
  directories.add(directory)
  return directory
}

export const removeDirectory = async (directory: string): Promise<void> => {
  directories.delete(directory)
  await rm(directory, { recursive: true, force: true })
}

/** A started child process; `Ready` is the type of the JSON object that it prints when it is ready. */
export class Child<Ready> {
  readonly ready: Ready
  readonly #process: ChildProcess
  readonly exited: Promise<number | undefined>

  private constructor(child: ChildProcess, ready: Ready, exited: Promise<number | undefined>) {
    this.#process = child
    this.ready = ready
    this.exited = exited
  }

  /**
   * Starts a process. Resolves when it has printed its first line, a JSON object; rejects when the process ended before,
   * or printed nothing within `startTimeoutMs`.
   */
  static async start<Ready>({
    entry,
    args,
    onLog,
    startTimeoutMs = 15_000,
  }: StartOptions): Promise<Child<Ready>> {
    const path = fileURLToPath(new URL(entry, import.meta.url))
    const child = spawn(process.execPath, [path, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    running.add(child)
    child.once('exit', () => running.delete(child))
    const errors: string[] = []
    createInterface({ input: child.stderr }).on('line', (line) => {
      errors.push(line)
      if (errors.length > 20) errors.shift()
      onLog?.(line)
    })
    const exited = new Promise<number | undefined>((resolve) => {
      child.once('exit', (code) => {
        resolve(code ?? undefined)
      })
    })
    const lines = createInterface({ input: child.stdout })
    const ready = await new Promise<Ready>((resolve, reject) => {
      const fail = (reason: string): void => {
        child.kill('SIGKILL')
        reject(new Error(`${entry} ${args.join(' ')}: ${reason}\n${errors.join('\n')}`))
      }
      const timer = setTimeout(() => {
        fail(`printed nothing within ${String(startTimeoutMs)} ms`)
      }, startTimeoutMs)
      void exited.then((code) => {
        clearTimeout(timer)
        fail(`ended with code ${String(code)}`)
      })
      lines.once('line', (line) => {
        clearTimeout(timer)
        resolve(JSON.parse(line) as Ready)
      })
    })
    return new Child(child, ready, exited)
  }

  get pid(): number {
    return this.#process.pid ?? 0
  }

  get isRunning(): boolean {
    return this.#process.exitCode === null && this.#process.signalCode === null
  }

  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.#process.kill(signal)
  }

  /**
   * Sends SIGTERM, and SIGKILL when the process still runs after `graceMs`. Resolves to the exit code, or to undefined
   * when a signal ended the process.
   */
  async stop(graceMs = 5000): Promise<number | undefined> {
    this.signal('SIGCONT')
    this.signal('SIGTERM')
    const timer = setTimeout(() => {
      this.signal('SIGKILL')
    }, graceMs)
    const code = await this.exited
    clearTimeout(timer)
    return code
  }
}

export interface ToolResult {
  readonly code: number
  readonly out: string
  readonly err: string
}

/** Runs a compiled command-line tool until it ends; `code` is -1 when a signal ended it. */
export const runTool = (
  entry: string,
  args: readonly string[],
  env: Readonly<Record<string, string>> = {},
): Promise<ToolResult> =>
  new Promise((resolve, reject) => {
    const path = fileURLToPath(new URL(entry, import.meta.url))
    const child = spawn(process.execPath, [path, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...env },
    })
    running.add(child)
    let out = ''
    let err = ''
    child.stdout.on('data', (chunk: Buffer) => (out += chunk.toString()))
    child.stderr.on('data', (chunk: Buffer) => (err += chunk.toString()))
    child.once('error', reject)
    child.once('close', (code) => {
      running.delete(child)
      resolve({ code: code ?? -1, out, err })
    })
  })

/**
 * Makes one HTTP call to an admin or metrics listener and resolves to the response body, whatever the status. Rejects on
 * a failed connection or a timeout.
 */
export const callHttp = (
  address: string,
  path: string,
  { method = 'GET', body }: { method?: string; body?: unknown } = {},
): Promise<string> =>
  new Promise((resolve, reject) => {
    const call = request(`http://${address}${path}`, { method, timeout: 5000, agent: false }, (response) => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', reject)
      response.on('end', () => {
        resolve(Buffer.concat(chunks).toString())
      })
    })
    call.on('timeout', () => call.destroy(new Error(`${address}${path} did not answer within 5 s`)))
    call.on('error', reject)
    call.end(body === undefined ? undefined : JSON.stringify(body))
  })
