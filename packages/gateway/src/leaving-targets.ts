/**
 * Targets that have said in a response that they are leaving. A target says it in all of its responses; the
 * target registry may tell it later, or never, as while the store is away. It concerns one process: a later one of the same target is not leaving.
 */
/** A process of a target that is leaving, as hosts tell each other. */
export interface LeavingStatement {
  readonly target: string
  /** Start of the target's process; null when its entry does not say. */
  readonly startedAtEpochMs: number | null
}

export const isLeavingStatement = (value: unknown): value is LeavingStatement => {
  const { target, startedAtEpochMs } = (value ?? {}) as Partial<Record<string, unknown>>
  return typeof target === 'string' && (startedAtEpochMs === null || Number.isSafeInteger(startedAtEpochMs))
}

/** Most processes that are remembered and told; more than leave together in the largest deployment. */
const maxLeaving = 500

const keyOf = (id: string, startedAtEpochMs: number | undefined): string =>
  `${id}/${String(startedAtEpochMs ?? null)}`

/** The processes that have said so, the oldest first. */
export class LeavingTargets {
  readonly #statements = new Map<string, LeavingStatement>()

  has(id: string, startedAtEpochMs: number | undefined): boolean {
    return this.#statements.has(keyOf(id, startedAtEpochMs))
  }

  /** Returns false when it was known. */
  add(id: string, startedAtEpochMs: number | undefined): boolean {
    if (this.has(id, startedAtEpochMs)) return false
    const statement = { target: id, startedAtEpochMs: startedAtEpochMs ?? null }
    this.#statements.set(keyOf(id, startedAtEpochMs), statement)
    const [oldest] = this.#statements.keys()
    if (this.#statements.size > maxLeaving && oldest !== undefined) this.#statements.delete(oldest)
    return true
  }

  statements(): readonly LeavingStatement[] {
    return [...this.#statements.values()]
  }
}
