/**
 * The assignment of a service's keys to targets: contiguous ranges that together cover all keys once. A range names
 * its owner, the fence that the owner's grants carry, and while it moves, its former owner.
 */

export const keyCount = 65_536

/**
 * Ranges never cross from one block of keys into the next, so that each block is stored in a row of its own: a change is
 * written and passed on without the rest, and no row grows with the number of targets beyond what the store takes.
 */
export const blockCount = 32
const keysPerBlock = keyCount / blockCount

export const blockOf = (key: number): number => Math.floor(key / keysPerBlock)

export interface KeyRange {
  /** Both ends are inclusive. */
  readonly from: number
  readonly to: number
}

export interface AssignedRange extends KeyRange {
  readonly owner: string
  /** Start of the owner's process, so that a new process under the same id gets a higher fence. */
  readonly ownerStartedAtEpochMs: number | undefined
  /** Higher than every fence with which another target had one of these keys. */
  readonly fence: number
  /** The target that must give the keys up first; set while the range moves. */
  readonly formerOwner: string | undefined
}

export interface Assignment {
  readonly service: string
  /** The highest fence that was ever used. */
  readonly lastFence: number
  /** Where owners and former owners were last seen, by id, so that a new leader can reach those that are gone. */
  readonly addresses: Readonly<Record<string, string>>
  /** In ascending order, without gaps. */
  readonly ranges: readonly AssignedRange[]
}

export interface Reassignment extends KeyRange {
  readonly owner: string
  readonly ownerStartedAtEpochMs: number | undefined
}

/** The range of a key; undefined when the map has none. */
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

/** Divides all keys evenly among targets, for a service without an assignment. */
export const initialAssignment = (
  service: string,
  targets: readonly {
    readonly id: string
    readonly startedAtEpochMs: number | undefined
    readonly weight: number
  }[],
): Assignment => {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0)
  let given = 0
  let from = 0
  const ranges: AssignedRange[] = []
  targets.forEach(({ id, startedAtEpochMs, weight }, index) => {
    given += weight
    const last = index === targets.length - 1 ? keyCount - 1 : Math.round((keyCount * given) / total) - 1
    while (from <= last) {
      const to = Math.min(last, (blockOf(from) + 1) * keysPerBlock - 1)
      ranges.push({
        from,
        to,
        owner: id,
        ownerStartedAtEpochMs: startedAtEpochMs,
        fence: 1,
        formerOwner: undefined,
      })
      from = to + 1
    }
  })
  return { service, lastFence: 1, addresses: {}, ranges }
}

/**
 * Gives ranges to other owners under new fences. A range that is already moving keeps its former owner, because that
 * one may still hold the keys; it cannot be moved to a third target before the move has ended.
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

/** Ends the moves of these ranges, found by their fence and first key. */
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

/** Records where the present owners and former owners are, and forgets the others. */
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

/** Joins neighbours of one block with the same owner and fence. */
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

type PackedRange = readonly [
  from: number,
  to: number,
  owner: string,
  fence: number,
  startedAtEpochMs: number | null,
  formerOwner: string | null,
]

/** One block of an assignment, as it is stored; `lastFence` and `addresses` are as of its last change. */
export interface AssignmentBlock extends Assignment {
  readonly block: number
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

/** Compact JSON for the row of one block. */
export const encodeBlock = (assignment: Assignment, block: number): string => {
  const ranges = rangesOf(assignment, block)
  const { addresses } = withAddresses({ ...assignment, ranges }, () => undefined)
  const { service, lastFence } = assignment
  return JSON.stringify({ service, block, lastFence, addresses, ranges: pack(ranges) })
}

/** Returns undefined when the text is not a block of an assignment that covers the block's keys once. */
export const decodeBlock = (text: string): AssignmentBlock | undefined => {
  try {
    const { service, block, lastFence, addresses, ranges } = JSON.parse(text) as {
      service: string
      block: number
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
    return typeof service === 'string' && Number.isInteger(lastFence) && isBlock && isCovered
      ? { service, block, lastFence, addresses, ranges: decoded }
      : undefined
  } catch {
    return undefined
  }
}

/** The whole assignment; undefined while a block is missing. */
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

/** The blocks whose ranges differ; all of them without a `previous` assignment. */
export const changedBlocks = (next: Assignment, previous: Assignment | undefined): number[] => {
  const text = (assignment: Assignment, block: number): string =>
    JSON.stringify(pack(rangesOf(assignment, block)))
  const blocks = Array.from({ length: blockCount }, (_, block) => block)
  return previous === undefined
    ? blocks
    : blocks.filter((block) => text(next, block) !== text(previous, block))
}
