/** Connects the request path to the request ledger on the platform. */
import type { RequestLedger } from '@pimentotally/storage'
import {
  RequestLedgerPort,
  type LedgerResponse,
  type LedgerAttempt,
  type LedgerBeginResult,
  type LedgerRequest,
} from '@pimentotally/proxy'

/** Values of a repeated field are joined by commas. */
const toHeaderRecord = (headers: readonly string[]): Record<string, string> => {
  const record: Record<string, string> = {}
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = (headers[index] ?? '').toLowerCase()
    const value = headers[index + 1] ?? ''
    record[name] = name in record ? `${record[name] ?? ''}, ${value}` : value
  }
  return record
}

export class PlatformLedger extends RequestLedgerPort {
  readonly #ledger: RequestLedger

  constructor(ledger: RequestLedger) {
    super()
    this.#ledger = ledger
  }

  override async begin(request: LedgerRequest): Promise<LedgerBeginResult> {
    const result = await this.#ledger.begin(request)
    if (result.kind === 'unavailable') return { kind: 'unavailable' }
    if (result.kind !== 'done') return result
    const { status, headers = {}, body } = result
    return {
      kind: 'done',
      status,
      headers: Object.entries(headers).flat(),
      ...(body === undefined ? {} : { body }),
    }
  }

  override async finish(
    { attemptId }: LedgerAttempt,
    { status, headers, body }: LedgerResponse,
  ): Promise<void> {
    await this.#ledger.finish(attemptId, {
      status,
      headers: toHeaderRecord(headers),
      ...(body === undefined ? {} : { body }),
    })
  }

  override async markNotRun({ attemptId }: LedgerAttempt): Promise<void> {
    await this.#ledger.markNotRun(attemptId)
  }
}
