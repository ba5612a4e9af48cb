/**
 * Checks the head of a request before anything is sent to a target. Node's HTTP parser already refuses
 * requests with both content-length and transfer-encoding, with a repeated content-length and with folded
 * header lines; the checks here guard against a later version of Node that is more lenient.
 */
import type { IncomingMessage } from 'node:http'
import { GeneratedResponse } from './generated-response.js'
import { countHeader } from '@pimentotally/http'

const refuse = (code: string, message: string): GeneratedResponse =>
  GeneratedResponse.notRun(400, code, message, { close: true })

/**
 * The refusal of a request with ambiguous framing or with an invalid host or path; undefined for a valid one.
 */
export const checkFraming = ({
  headers,
  rawHeaders,
  httpVersion,
  url = '',
}: IncomingMessage): GeneratedResponse | undefined => {
  const coding = headers['transfer-encoding']
  const length = headers['content-length']
  if (coding !== undefined && (coding.toLowerCase() !== 'chunked' || length !== undefined)) {
    return refuse(
      'ambiguous_framing',
      'the request body must be framed by either content-length or chunked coding',
    )
  }
  if (
    length !== undefined &&
    (!/^\d{1,15}$/.test(length) || countHeader(rawHeaders, 'content-length') !== 1)
  ) {
    return refuse('ambiguous_framing', 'content-length is repeated or not a number')
  }
  const hosts = countHeader(rawHeaders, 'host')
  if (hosts > 1 || (hosts === 0 && httpVersion !== '1.0')) {
    return refuse('invalid_host', 'exactly one host header is needed')
  }
  if (!url.startsWith('/')) return refuse('invalid_path', 'the request target is not an absolute path')
  // A target that resolves dot segments would act on a path of another service than the one that the router
  // matched.
  if (/\/(\.|%2e){1,2}(\/|\?|$)/i.test(url)) return refuse('invalid_path', 'the path has dot segments')
  // A caller must not reach the control endpoints of targets through a service with a short prefix.
  if (/^\/(grants|drain|requests)(\/|\?|$)/.test(url)) {
    return GeneratedResponse.notRun(
      404,
      'service_not_found',
      'the path is reserved for the control endpoints of targets',
      {
        close: true,
      },
    )
  }
  return undefined
}

/** The response to a request that could not be parsed, chosen by the error code of Node's parser. */
export const parseErrorResponse = (code: string | undefined): GeneratedResponse => {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return GeneratedResponse.notRun(413, 'headers_too_large', 'the header fields are too large')
    case 'HPE_INVALID_CONTENT_LENGTH':
    case 'HPE_UNEXPECTED_CONTENT_LENGTH':
    case 'HPE_INVALID_TRANSFER_ENCODING':
      return refuse(
        'ambiguous_framing',
        'the request body must be framed by either content-length or chunked coding',
      )
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return refuse('request_head_timeout', 'the request head was not complete in time')
    default:
      return refuse('bad_request', 'the request is not valid HTTP/1.1')
  }
}
