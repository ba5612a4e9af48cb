/** The row that stores the state of one idempotency key, and its JSON form in the table. */

export const RequestState = { started: 'started', done: 'done', notRun: 'notRun' } as const
export type RequestState = (typeof RequestState)[keyof typeof RequestState]

export interface StoredResponse {
  readonly status: number
  readonly headers?: Readonly<Record<string, string>>
  /** Absent when the response was too large to store. */
  readonly body?: Uint8Array
}

export interface RequestRow {
  readonly state: RequestState
  readonly attemptId: string
  readonly hostId: string
  readonly requestHash: string
  readonly expiresAtMs: number
  readonly response?: StoredResponse
}

/** The JSON form of a row, in which the response is flattened into the row. */
interface StoredRow extends Omit<RequestRow, 'response'> {
  readonly status?: number
  readonly headers?: Readonly<Record<string, string>>
  /** Base64. */
  readonly body?: string
}

export const requestRowPrefix = 'idem/'

export const RequestRow = {
  /** The row key. Both parts are percent-encoded, so that no two pairs of service and key share a row. */
  key: (service: string, key: string): string =>
    `${requestRowPrefix}${encodeURIComponent(service)}/${encodeURIComponent(key)}`,

  encode: ({ response, ...row }: RequestRow): string => {
    const stored: StoredRow = {
      ...row,
      status: response?.status,
      headers: response?.headers,
      body: response?.body === undefined ? undefined : Buffer.from(response.body).toString('base64'),
    }
    return JSON.stringify(stored)
  },

  /** Undefined when the text is not a valid row. */
  decode: (text: string): RequestRow | undefined => {
    try {
      const { status, headers, body, ...row } = JSON.parse(text) as StoredRow
      if (!Object.values(RequestState).includes(row.state) || typeof row.attemptId !== 'string')
        return undefined
      if (row.state !== RequestState.done) return row
      if (status === undefined) return undefined
      const bytes = body === undefined ? undefined : new Uint8Array(Buffer.from(body, 'base64'))
      return { ...row, response: { status, headers, ...(bytes === undefined ? {} : { body: bytes }) } }
    } catch {
      return undefined
    }
  },
}
