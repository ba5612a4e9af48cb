/** The credentials of operators. Only their SHA-256 hashes are configured. */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { OperatorCredential } from '@pimentotally/config'

export class OperatorCredentials {
  readonly #entries: readonly { readonly name: string; readonly digest: Buffer }[]

  constructor(operators: readonly OperatorCredential[]) {
    this.#entries = operators.map(({ name, credentialSha256 }) => ({
      name,
      digest: Buffer.from(credentialSha256, 'hex'),
    }))
  }

  /**
   * The name of the operator with this credential; undefined when there is none. Every entry is compared, so
   * that the time does not reveal which one matches.
   */
  authenticate(credential: string): string | undefined {
    const given = createHash('sha256').update(credential).digest()
    let found: string | undefined
    for (const { name, digest } of this.#entries) {
      if (digest.length === given.length && timingSafeEqual(digest, given)) found = name
    }
    return found
  }
}
