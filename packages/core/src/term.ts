/**
 * Terms and fences (fencing tokens) as strings whose lexicographic order is their numeric order. A term
 * consists of epoch, ballot and host sequence, each written as 8 lower-case hex digits and joined by dots; a
 * fence appends a sequence number of 8 hex digits.
 */

/** One period in office of an elected coordinator, for example `00000002.00000001.0000000a`. */
export type Term = string

/** Identifies one grant of one shard: the term and a sequence number within that term. */
export type Fence = string

export interface TermParts {
  readonly epoch: number
  readonly ballot: number
  readonly hostSequence: number
}

const hex = (value: number): string => {
  if (!Number.isInteger(value) || value < 0 || value > 0xffffffff) {
    throw new RangeError(`term component ${String(value)} is not an unsigned 32-bit integer`)
  }
  return value.toString(16).padStart(8, '0')
}

const termPattern = /^[0-9a-f]{8}(\.[0-9a-f]{8}){2}$/
const fencePattern = /^[0-9a-f]{8}(\.[0-9a-f]{8}){3}$/

export const Term = {
  /** Lower than every term that a coordinator can hold. */
  none: '00000000.00000000.00000000' as Term,

  /** Throws RangeError when a component does not fit in 32 bits. */
  of: ({ epoch, ballot, hostSequence }: TermParts): Term =>
    `${hex(epoch)}.${hex(ballot)}.${hex(hostSequence)}`,

  parts: (term: Term): TermParts => {
    const [epoch = 0, ballot = 0, hostSequence = 0] = term.split('.').map((part) => parseInt(part, 16))
    return { epoch, ballot, hostSequence }
  },

  isValid: (text: string): text is Term => termPattern.test(text),
}

export const Fence = {
  /** Lower than every fence that is granted. */
  none: '00000000.00000000.00000000.00000000' as Fence,

  of: (term: Term, sequence: number): Fence => `${term}.${hex(sequence)}`,

  term: (fence: Fence): Term => fence.slice(0, 26),

  sequence: (fence: Fence): number => parseInt(fence.slice(27), 16),

  isValid: (text: string): text is Fence => fencePattern.test(text),
}
