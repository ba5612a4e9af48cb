/**
 * What a host sets aside for callers, of the memory and the descriptors of its process. Callers outside the operators'
 * control may use all of that, and no more: the rest is for the runtime, targets, other hosts, the store and the
 * readiness checks.
 */

export interface CallerRoomOptions {
  /** Memory that the process may use; undefined when it is not known. */
  readonly memoryBytes?: number | undefined
  /** File descriptors that the process may have open; undefined when it is not known. */
  readonly maxDescriptors?: number | undefined
}

export interface CallerRoom {
  /** Bytes of request bodies, of those that are arriving and of those in flight to targets. */
  readonly maxBodyBytes: number
  /** Bytes of answers that callers have not read yet. */
  readonly maxUnreadBytes: number
  readonly maxConnections: number
  /** Requests in flight; each takes a connection to a target. */
  readonly maxInFlight: number
}

/**
 * Share of the memory for request bodies. The runtime and the tables of a host take about a third of the smallest
 * hosts, and the garbage of arriving pieces as much at worst. 31 MB are 500 uploads of 60 KB at once.
 */
const bodyShare = 0.15
/** Share of the memory for answers that callers have not read; the answer to one request is at most 64 KB of it. */
const unreadShare = 0.08
/** Memory that is assumed when it is not known. */
const defaultMemoryBytes = 512_000_000
/** Descriptors of a process that can only be files. */
const fileDescriptors = 200
/** Share of the other descriptors for connections of callers. */
const connectionShare = 0.6
/**
 * Share of them for connections to targets that are in use. Idle ones, other hosts, the store and readiness checks need
 * the rest.
 */
const inFlightShare = 0.25
/** Descriptors that are assumed when their number is not known. */
const defaultDescriptors = 16_000

export const callerRoom = ({
  memoryBytes = defaultMemoryBytes,
  maxDescriptors = defaultDescriptors,
}: CallerRoomOptions = {}): CallerRoom => {
  const descriptors = Math.max(0, maxDescriptors - fileDescriptors)
  return {
    maxBodyBytes: Math.floor(memoryBytes * bodyShare),
    maxUnreadBytes: Math.floor(memoryBytes * unreadShare),
    maxConnections: Math.max(1, Math.floor(descriptors * connectionShare)),
    maxInFlight: Math.max(1, Math.floor(descriptors * inFlightShare)),
  }
}
