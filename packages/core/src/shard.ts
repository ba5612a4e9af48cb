/** Hashing of keys to shards, and sets of shards stored as bitmaps. */
import xxhash from 'xxhash-wasm'

const hasher = await xxhash()

/** The 64-bit hash of a key within a service, as 16 hex digits. */
export const keyHash = (service: string, key: string): string => hasher.h64ToString(`${service}\0${key}`)

/** The shard of a key; `shardCount` is at most 65536. */
export const shardOf = (service: string, key: string, shardCount: number): number =>
  Number(hasher.h64(`${service}\0${key}`) % BigInt(shardCount))

/** A set of shard numbers from 0 to `size` - 1, stored with one bit for each. */
export class ShardSet {
  readonly size: number
  readonly #bits: Uint8Array

  constructor(size: number, bits: Uint8Array = new Uint8Array(Math.ceil(size / 8))) {
    this.size = size
    this.#bits = bits
  }

  static of(size: number, shards: Iterable<number>): ShardSet {
    const set = new ShardSet(size)
    for (const shard of shards) set.add(shard)
    return set
  }

  static all(size: number): ShardSet {
    return ShardSet.of(size, Array(size).keys())
  }

  /** Decodes the text that `toBase64` returns; throws RangeError when its length does not match `size`. */
  static fromBase64(size: number, text: string): ShardSet {
    const bits = new Uint8Array(Buffer.from(text, 'base64'))
    if (bits.length !== Math.ceil(size / 8)) {
      throw new RangeError(
        `shard bitmap of ${String(bits.length)} bytes does not hold ${String(size)} shards`,
      )
    }
    return new ShardSet(size, bits)
  }

  toBase64(): string {
    return Buffer.from(this.#bits).toString('base64')
  }

  has(shard: number): boolean {
    return ((this.#bits[shard >> 3] ?? 0) & (1 << (shard & 7))) !== 0
  }

  add(shard: number): void {
    if (shard < 0 || shard >= this.size)
      throw new RangeError(`shard ${String(shard)} is not below ${String(this.size)}`)
    this.#bits[shard >> 3] = (this.#bits[shard >> 3] ?? 0) | (1 << (shard & 7))
  }

  delete(shard: number): void {
    this.#bits[shard >> 3] = (this.#bits[shard >> 3] ?? 0) & ~(1 << (shard & 7))
  }

  count(): number {
    let total = 0
    for (const byte of this.#bits) for (let rest = byte; rest > 0; rest &= rest - 1) total += 1
    return total
  }

  *[Symbol.iterator](): Generator<number> {
    for (let shard = 0; shard < this.size; shard += 1) if (this.has(shard)) yield shard
  }

  clone(): ShardSet {
    return new ShardSet(this.size, this.#bits.slice())
  }
}
