/** In-memory object store. */
import { Result } from 'true-myth'
import { SystemClock } from '@pimentotally/core'
import { NoFaults, performWithFault, type MemoryServiceOptions } from './fault.js'
import { ObjectStore } from './object-store.js'
import type { PlatformResult } from './result.js'
import type { CallOptions } from './table.js'

export class MemoryObjectStore extends ObjectStore {
  readonly #options: Required<MemoryServiceOptions>
  readonly #objects = new Map<string, Uint8Array>()

  constructor({
    clock = new SystemClock(),
    faults = new NoFaults(),
    timeoutMs = 1000,
  }: MemoryServiceOptions = {}) {
    super()
    this.#options = { clock, faults, timeoutMs }
  }

  override put(name: string, bytes: Uint8Array, options: CallOptions = {}): Promise<PlatformResult<void>> {
    return performWithFault({
      ...this.#options,
      ...options,
      call: { step: 'objects.put', kind: 'write', keys: [name] },
      perform: () => {
        const present = this.#objects.get(name)
        if (present !== undefined && !Buffer.from(present).equals(bytes)) {
          return Result.err({
            code: 'conflict',
            step: 'objects.put',
            message: `object ${name} exists with other content`,
            key: name,
            actualVersion: 1,
          })
        }
        this.#objects.set(name, Uint8Array.from(bytes))
        return Result.ok(undefined)
      },
    })
  }

  override get(name: string, options: CallOptions = {}): Promise<PlatformResult<Uint8Array | undefined>> {
    return performWithFault<Uint8Array | undefined>({
      ...this.#options,
      ...options,
      call: { step: 'objects.get', kind: 'read', keys: [name] },
      perform: () => Result.ok(this.#objects.get(name)),
    })
  }
}
