/**
 * Compares the answers that callers got with what the targets wrote for the same requests. A gateway may answer a
 * request by a failure of its own, which has no signature; any other answer is a target's, whole and with the status
 * with which the target wrote it.
 */
import type { AnswerRecord, WrittenAnswer } from '@pimentotally/platform/testing'
import type { SoakResponse } from './soak-callers.js'

/** At most this much of a foreign body is quoted. */
const maxQuotedLength = 160

const quote = (text: string): string =>
  text.length <= maxQuotedLength
    ? JSON.stringify(text)
    : `${JSON.stringify(`${text.slice(0, maxQuotedLength / 2)}...${text.slice(-maxQuotedLength / 2)}`)} (${String(text.length)} bytes)`

const describe = ({ target, status, form, body, signature }: WrittenAnswer): string =>
  `${signature} of ${target} (${String(status)}, ${form}, ${String(body.length)} bytes)`

/** All answers that targets wrote for a request, each with its time before the caller got an answer. */
export const describeWritten = (
  { requestId, receivedAtMs }: Pick<SoakResponse, 'requestId' | 'receivedAtMs'>,
  record: AnswerRecord,
): string =>
  record
    .ofRequest(requestId)
    .map((answer) => `${describe(answer)} ${(receivedAtMs - answer.writtenAtMs).toFixed(1)} ms before`)
    .join('; ')

const isSuccess = (status: number): boolean => status >= 200 && status < 300

/** Why the answer breaks a rule, one text each; empty when it breaks none. */
export const checkAnswer = (response: SoakResponse, record: AnswerRecord): readonly string[] => {
  const { caller, requestId, status, echoedId, signature, isEncoded, body, unasked } = response
  if (status === 0) return []
  const got = `${requestId} (${caller}) got status ${String(status)}`
  const found: string[] = []
  if (unasked !== undefined) found.push(`${got} and further bytes behind it: ${quote(unasked)}`)
  if (echoedId !== undefined && echoedId !== requestId) {
    found.push(`${got} with the id of another request: ${echoedId}`)
  }
  if (isSuccess(status) && isEncoded) found.push(`${got} with an encoded body`)
  if (signature === undefined) {
    if (isSuccess(status)) found.push(`${got} without a signature`)
    return found
  }
  const written = record.withSignature(signature)
  if (written === undefined) return [...found, `${got} with a signature that no target wrote: ${signature}`]
  if (written.requestId !== requestId) {
    found.push(`${got} with ${describe(written)}, an answer to ${written.requestId}`)
  } else if (written.status !== status) {
    found.push(`${got} with another status: ${describe(written)}`)
  } else if (written.body !== body) {
    found.push(`${got} with a body that is not the whole body of ${describe(written)}: ${quote(body)}`)
  }
  return found
}

/**
 * The successes that the same target wrote, whole and once, for a later attempt of a request whose caller got the
 * failure of an earlier attempt. They may have been lost on the way; the log of the gateway tells.
 */
export const laterSuccesses = (
  { requestId, status, signature, receivedAtMs }: SoakResponse,
  record: AnswerRecord,
): readonly WrittenAnswer[] => {
  const written = signature === undefined ? undefined : record.withSignature(signature)
  if (isSuccess(status) || written?.requestId !== requestId) return []
  const answers = record.ofRequest(requestId)
  return answers
    .slice(answers.indexOf(written) + 1)
    .filter(
      (later) =>
        later.target === written.target &&
        isSuccess(later.status) &&
        (later.form === 'plain' || later.form === 'segmented') &&
        later.writtenAtMs < receivedAtMs,
    )
}

/** The attempts of requests that a gateway has logged as failed. */
export class FailedAttempts {
  /** The causes of each request's failures at each target. */
  readonly #causes = new Map<string, string[]>()

  constructor(logLines: readonly string[]) {
    const pattern = /"event":"attempt\.failed".*"requestId":"([^"]+)".*"target":"([^"]+)".*"cause":"([^"]+)"/
    for (const line of logLines) {
      const [, requestId = '', target = '', cause] = pattern.exec(line) ?? []
      if (cause === undefined) continue
      const key = `${requestId} ${target}`
      this.#causes.set(key, [...(this.#causes.get(key) ?? []), cause])
    }
  }

  /**
   * Whether the caller got the failure of an earlier attempt because the success of the later one was lost: an attempt
   * ended without a response, and the gateway received no more failures than the target wrote. If it received more, it
   * took a copy for the answer to another attempt.
   */
  explain({ requestId, target }: WrittenAnswer, record: AnswerRecord): boolean {
    const causes = this.#causes.get(`${requestId} ${target}`) ?? []
    const received = causes.filter((cause) => cause.startsWith('status_')).length
    const written = record
      .ofRequest(requestId)
      .filter(
        (answer) => answer.target === target && !isSuccess(answer.status) && answer.form !== 'brokenOff',
      )
    return received < causes.length && received <= written.length
  }
}
