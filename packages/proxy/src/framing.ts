/**
 * Checks of a request's head before any target sees it. Node's parser already refuses both framings at once, repeated
 * content-length and folded lines; these checks hold if a later version becomes lenient.
 */
import type { IncomingMessage } from 'node:http'
import { GeneratedResponse } from './generated-response.js'
import { countHeader } from '@pimentotally/http'

const refuse = (code: string, message: string): GeneratedResponse =>
  GeneratedResponse.notRun(400, code, message, { close: true })

/** The reason to refuse the request, if there is one. */
export const checkFraming = ({
  headers,
  rawHeaders,
  httpVersion,
  url = '',
}: IncomingMessage): GeneratedResponse | undefined => {
  const coding = headers['transfer-encoding']
  const length = headers['content-length']
  if (coding !== undefined && (coding.toLowerCase() !== 'chunked' || length !== undefined)) {
    return refuse('ambiguous_framing', 'the request body has no single clear framing')
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
  // A target that resolves dot segments would see another service's path than the one that was matched.
  if (/\/(\.|%2e){1,2}(\/|\?|$)/i.test(url)) return refuse('invalid_path', 'the path has dot segments')
  // A caller must not reach the control endpoints of targets through a service with a short prefix.
  if (/^\/(grants|drain|requests)(\/|\?|$)/.test(url)) {
    return GeneratedResponse.notRun(404, 'service_not_found', 'the path belongs to the targets themselves', {
      close: true,
    })
  }
  return undefined
}

/** What could not be parsed at all, from the error of Node's parser. */
export const parseErrorResponse = (code: string | undefined): GeneratedResponse => {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return GeneratedResponse.notRun(413, 'headers_too_large', 'the header fields are too large')
    case 'HPE_INVALID_CONTENT_LENGTH':
    case 'HPE_UNEXPECTED_CONTENT_LENGTH':
    case 'HPE_INVALID_TRANSFER_ENCODING':
      return refuse('ambiguous_framing', 'the request body has no single clear framing')
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return refuse('request_head_timeout', 'the request head was not complete in time')
    default:
      return refuse('bad_request', 'the request is not valid HTTP/1.1')
  }
}
