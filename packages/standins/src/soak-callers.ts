/**
 * Callers of the soak test: one request after another through an agent; several safe requests at once on a connection;
 * and one request a connection in HTTP/1.0, where the end of the connection is the end of a body without a length.
 */
import { request as httpRequest, type Agent } from 'node:http'
import { callerHeaders, readAnswerFields, type AnswerFieldsRead } from '@pimentotally/platform/testing'
import { exchangeRaw } from './raw-answers.js'

export interface SoakRequest {
  readonly requestId: string
  readonly path: string
  readonly key: number
  readonly port: number
  readonly apiKey?: string | undefined
}

export interface SoakResponse extends AnswerFieldsRead {
  readonly caller: 'agent' | 'HTTP/1.0' | 'HTTP/1.1'
  readonly requestId: string
  readonly path: string
  /** The HTTP status; 0 when there was no complete response before the connection or the waiting time ended. */
  readonly status: number
  readonly body: string
  readonly receivedAtMs: number
  /** Bytes that followed the last response of the connection, though no request was waiting. */
  readonly unasked?: string
}

const deadlineMs = 2000
/** Callers wait this long, somewhat longer than the deadline that they name. */
const timeoutMs = 2500
/** A caller that reads from its socket itself watches it for this long for bytes behind the last response. */
const silenceMs = 5

const noFields: AnswerFieldsRead = readAnswerFields({})

export const ordersPath = '/orders/1'
export const notesPath = '/notes/1'

/** Callers name a tenant of their choice, which must not reach targets where the configuration has tenants. */
const headersOf = ({ requestId, key, apiKey }: SoakRequest): Record<string, string> => ({
  host: 'shop.example',
  ...callerHeaders({ requestId, deadlineMs, key, apiKey, forgedTenant: 'forged' }),
})

export const callThroughAgent = (sent: SoakRequest, agent: Agent): Promise<SoakResponse> =>
  new Promise((resolve) => {
    const { requestId, path, port } = sent
    const settle = (status: number, fields = noFields, body = ''): void => {
      clearTimeout(timer)
      resolve({ caller: 'agent', requestId, path, status, ...fields, body, receivedAtMs: performance.now() })
    }
    const outgoing = httpRequest(
      {
        host: '127.0.0.1',
        port,
        path,
        agent,
        method: path === ordersPath ? 'POST' : 'GET',
        headers: headersOf(sent),
      },
      (incoming) => {
        const chunks: Buffer[] = []
        incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
        incoming.on('error', () => {
          settle(0)
        })
        incoming.on('end', () => {
          if (!incoming.complete) settle(0)
          else {
            const body = Buffer.concat(chunks).toString('latin1')
            settle(incoming.statusCode ?? 0, readAnswerFields(incoming.headers), body)
          }
        })
      },
    )
    const timer = setTimeout(() => {
      outgoing.destroy()
      settle(0)
    }, timeoutMs)
    outgoing.on('error', () => {
      settle(0)
    })
    outgoing.end()
  })

const rawRequest = (sent: SoakRequest, version: '1.0' | '1.1'): string => {
  const headers = { ...headersOf(sent), ...(version === '1.0' ? { connection: 'close' } : {}) }
  const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`)
  return `GET ${sent.path} HTTP/${version}\r\n${fields.join('')}\r\n`
}

/** Sends all requests at once on a connection of their own. They are safe ones, for the same host. */
export const callRaw = async (
  sent: readonly SoakRequest[],
  version: '1.0' | '1.1',
): Promise<readonly SoakResponse[]> => {
  const { answers, rest } = await exchangeRaw({
    port: sent[0]?.port ?? 0,
    requests: sent.map((each) => rawRequest(each, version)),
    timeoutMs,
    silenceMs,
  })
  return sent.map(({ requestId, path }, index) => {
    const answer = answers[index]
    return {
      caller: `HTTP/${version}`,
      requestId,
      path,
      status: answer?.status ?? 0,
      ...readAnswerFields(answer?.headers ?? {}),
      body: answer?.body ?? '',
      receivedAtMs: performance.now(),
      ...(answers.length === sent.length && index === sent.length - 1 && rest !== ''
        ? { unasked: rest }
        : {}),
    }
  })
}
