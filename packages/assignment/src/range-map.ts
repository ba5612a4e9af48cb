/**
 * The assignment of a service's keys to targets: contiguous ranges that together cover each key exactly once.
 * A range names its owner, the fence that the owner's grants carry and, while it moves, its former owner.
 */

/** Keys are the whole numbers from 0 to 65,535. */
export const keyCount = 65_536

/**
 * Number of equal blocks of keys. No range crosses the border of a block, so that each block is stored in a
 * row of its own: a change is written and distributed without the other blocks, and with many targets no row
 * exceeds the store's limit.
 */
export const blockCount = 32
const keysPerBlock = keyCount / blockCount

/** The block that a key belongs to. */
export const blockOf = (key: number): number => Math.floor(key / keysPerBlock)

export interface KeyRange {
  /** Both ends are inclusive. */
  readonly from: number
  readonly to: number
}

export interface AssignedRange extends KeyRange {
  readonly owner: string
  /** When the owner's process started; tells that a new process under the same id needs a higher fence. */
  readonly ownerStartedAtEpochMs: number | undefined
  /** Higher than every fence under which another target was granted one of these keys. */
  readonly fence: number
  /** The target that must give up the keys before the owner gets them; set while the range moves. */
  readonly formerOwner: string | undefined
}

export interface Assignment {
  readonly service: string
  /** The highest fence that was ever used for the service's keys. */
  readonly lastFence: number
  /**
   * Last known addresses of owners and former owners, by id, so that a new leader can reach those that have
   * no entry in the target registry any more.
   */
  readonly addresses: Readonly<Record<string, string>>
  /** In ascending order of keys, without gaps. */
  readonly ranges: readonly AssignedRange[]
}

/** A range of keys and the target that is to own them. */
export interface Reassignment extends KeyRange {
  readonly owner: string
  readonly ownerStartedAtEpochMs: number | undefined
}

/** The range that contains a key; undefined when no range does. */
export const findRange = (ranges: readonly AssignedRange[], key: number): AssignedRange | undefined => {
  let low = 0
  let high = ranges.length - 1
  while (low <= high) {
    const middle = (low + high) >>> 1
    const range = ranges[middle]
    if (range === undefined) return undefined
    if (key < range.from) high = middle - 1
    else if (key > range.to) low = middle + 1
    else return range
  }
  return undefined
}

/** Divides all keys among the targets in proportion to their weights, for a service without an assignment. */
export const initialAssignment = (
  service: string,
  targets: readonly {
    readonly id: string
    readonly startedAtEpochMs: number | undefined
    readonly weight: number
  }[],
  fence = 1,
): Assignment => {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0)
  let weightSoFar = 0
  let from = 0
  const ranges: AssignedRange[] = []
  targets.forEach(({ id, startedAtEpochMs, weight }, index) => {
    weightSoFar += weight
    const last =
      index === targets.length - 1 ? keyCount - 1 : Math.round((keyCount * weightSoFar) / total) - 1
    while (from <= last) {
      const to = Math.min(last, (blockOf(from) + 1) * keysPerBlock - 1)
      ranges.push({
        from,
        to,
        owner: id,
        ownerStartedAtEpochMs: startedAtEpochMs,
        fence,
        formerOwner: undefined,
      })
      from = to + 1
    }
  })
  return { service, lastFence: fence, addresses: {}, ranges }
}

/**
 * Gives ranges to new owners under new fences. A range that is already moving is left as it is: its former
 * owner may still hold the keys, so it cannot be given to a third target before the move has ended.
 */
export const reassign = (assignment: Assignment, changes: readonly Reassignment[]): Assignment => {
  let { ranges, lastFence } = assignment
  for (const change of changes) {
    lastFence += 1
    const fence = lastFence
    ranges = ranges.flatMap((range) => {
      const from = Math.max(range.from, change.from)
      const to = Math.min(range.to, change.to)
      if (from > to || range.formerOwner !== undefined) return [range]
      const parts: AssignedRange[] = []
      if (range.from < from) parts.push({ ...range, to: from - 1 })
      parts.push({
        from,
        to,
        owner: change.owner,
        ownerStartedAtEpochMs: change.ownerStartedAtEpochMs,
        fence,
        formerOwner: range.owner,
      })
      if (to < range.to) parts.push({ ...range, from: to + 1 })
      return parts
    })
  }
  return { ...assignment, ranges, lastFence }
}

/** Marks the moves of some ranges as ended; the ranges are identified by their fence and first key. */
export const completeMoves = (
  assignment: Assignment,
  done: readonly { readonly from: number; readonly fence: number }[],
): Assignment => ({
  ...assignment,
  ranges: assignment.ranges.map((range) =>
    done.some(({ from, fence }) => range.from === from && range.fence === fence)
      ? { ...range, formerOwner: undefined }
      : range,
  ),
})

/**
 * Replaces `addresses` by those of the present owners and former owners. Where `addressOf` returns undefined,
 * the last known address is kept.
 */
export const withAddresses = (
  assignment: Assignment,
  addressOf: (id: string) => string | undefined,
): Assignment => {
  const addresses: Record<string, string> = {}
  for (const { owner, formerOwner } of assignment.ranges) {
    for (const id of [owner, formerOwner]) {
      const address = id === undefined ? undefined : (addressOf(id) ?? assignment.addresses[id])
      if (id !== undefined && address !== undefined) addresses[id] = address
    }
  }
  return { ...assignment, addresses }
}

/** Joins adjacent ranges of one block that have the same owner and fence and are not moving. */
export const mergeRanges = (assignment: Assignment): Assignment => {
  const ranges: AssignedRange[] = []
  for (const range of assignment.ranges) {
    const last = ranges.at(-1)
    if (
      last !== undefined &&
      blockOf(last.from) === blockOf(range.from) &&
      last.owner === range.owner &&
      last.fence === range.fence &&
      last.ownerStartedAtEpochMs === range.ownerStartedAtEpochMs &&
      last.formerOwner === undefined &&
      range.formerOwner === undefined
    ) {
      ranges[ranges.length - 1] = { ...last, to: range.to }
    } else {
      ranges.push(range)
    }
  }
  return { ...assignment, ranges }
}

/** A range as a stored row has it. */
type PackedRange = readonly [
  from: number,
  to: number,
  owner: string,
  fence: number,
  startedAtEpochMs: number | null,
  formerOwner: string | null,
]

/**
 * One block of an assignment as it is stored; `lastFence` and `addresses` date from the last change of the
 * block.
 */
export interface AssignmentBlock extends Assignment {
  readonly block: number
  /** Era of the store in which the block was written; an older copy of the store has blocks of earlier eras. */
  readonly era: number
}

const pack = (ranges: readonly AssignedRange[]): PackedRange[] =>
  ranges.map(({ from, to, owner, fence, ownerStartedAtEpochMs, formerOwner }) => [
    from,
    to,
    owner,
    fence,
    ownerStartedAtEpochMs ?? null,
    formerOwner ?? null,
  ])

const rangesOf = ({ ranges }: Assignment, block: number): AssignedRange[] =>
  ranges.filter(({ from }) => blockOf(from) === block)

/** Encodes one block as compact JSON, for its row in the store. */
export const encodeBlock = (assignment: Assignment, block: number, era = 0): string => {
  const ranges = rangesOf(assignment, block)
  const { addresses } = withAddresses({ ...assignment, ranges }, () => undefined)
  const { service, lastFence } = assignment
  return JSON.stringify({ service, block, era, lastFence, addresses, ranges: pack(ranges) })
}

/** Returns undefined when the text is not a block whose ranges cover each of its keys exactly once. */
export const decodeBlock = (text: string): AssignmentBlock | undefined => {
  try {
    const {
      service,
      block,
      era = 0,
      lastFence,
      addresses,
      ranges,
    } = JSON.parse(text) as {
      service: string
      block: number
      /** Absent in blocks of earlier versions of the router. */
      era?: number
      lastFence: number
      addresses: Record<string, string>
      ranges: PackedRange[]
    }
    const decoded = ranges.map(([from, to, owner, fence, startedAtEpochMs, formerOwner]) => ({
      from,
      to,
      owner,
      fence,
      ownerStartedAtEpochMs: startedAtEpochMs ?? undefined,
      formerOwner: formerOwner ?? undefined,
    }))
    const first = block * keysPerBlock
    const isCovered =
      decoded.every(
        ({ from, to }, index) => to >= from && from === (decoded[index - 1]?.to ?? first - 1) + 1,
      ) && decoded.at(-1)?.to === first + keysPerBlock - 1
    const isBlock = Number.isInteger(block) && block >= 0 && block < blockCount
    return typeof service === 'string' &&
      Number.isInteger(lastFence) &&
      Number.isInteger(era) &&
      isBlock &&
      isCovered
      ? { service, block, era, lastFence, addresses, ranges: decoded }
      : undefined
  } catch {
    return undefined
  }
}

/** Joins the blocks into one assignment; undefined while a block is missing. */
export const joinBlocks = (
  service: string,
  blocks: readonly (AssignmentBlock | undefined)[],
): Assignment | undefined => {
  const known = blocks.filter((block) => block !== undefined)
  if (known.length < blockCount) return undefined
  return {
    service,
    lastFence: Math.max(...known.map(({ lastFence }) => lastFence)),
    addresses: Object.assign({}, ...known.map(({ addresses }) => addresses)) as Record<string, string>,
    ranges: known.flatMap(({ ranges }) => ranges),
  }
}

/**
 * Gives every range to its present owner under one new fence, above all that were used, and ends all moves. Only
 * for an assignment of which changes may be lost, when nothing that was granted before can still last.
 */
export const refence = (assignment: Assignment): Assignment => {
  const fence = assignment.lastFence + 1
  const ranges = assignment.ranges.map((range) => ({ ...range, fence, formerOwner: undefined }))
  return { ...assignment, lastFence: fence, ranges }
}

/**
 * Numbers of the blocks whose ranges differ between two assignments; all blocks when there is no `previous`
 * one.
 */
export const changedBlocks = (next: Assignment, previous: Assignment | undefined): number[] => {
  const text = (assignment: Assignment, block: number): string =>
    JSON.stringify(pack(rangesOf(assignment, block)))
  const blocks = Array.from({ length: blockCount }, (_, block) => block)
  return previous === undefined
    ? blocks
    : blocks.filter((block) => text(next, block) !== text(previous, block))
}
