/** The platform's services over HTTP, with JSON bodies; objects are sent as raw bytes. */
import { Result } from 'true-myth'
import { HostList, type HostListEntry } from './host-list.js'
import { callJson, type PlatformHttpClient } from './platform-http-client.js'
import { ObjectStore } from './object-store.js'
import type { PlatformResult } from './result.js'
import {
  TableService,
  type CallOptions,
  type Committed,
  type Row,
  type ScanOptions,
  type Transaction,
} from './table.js'

/** Paths of the platform's HTTP interface. */
export const platformPaths = {
  read: '/table/read',
  scan: '/table/scan',
  transact: '/table/transact',
  object: (name: string): string => `/objects/${encodeURIComponent(name)}`,
  hosts: '/hosts',
} as const

export class HttpTable extends TableService {
  readonly #platform: PlatformHttpClient

  constructor(platform: PlatformHttpClient) {
    super()
    this.#platform = platform
  }

  override async read(key: string, options: CallOptions = {}): Promise<PlatformResult<Row | undefined>> {
    const response = await callJson<{ row?: Row }>(this.#platform, {
      step: 'table.read',
      kind: 'read',
      method: 'POST',
      path: platformPaths.read,
      body: { key },
      ...options,
    })
    return response.map(({ row }) => row)
  }

  override async scan(
    prefix: string,
    { timeoutMs, ...options }: ScanOptions & CallOptions = {},
  ): Promise<PlatformResult<readonly Row[]>> {
    const response = await callJson<{ rows: readonly Row[] }>(this.#platform, {
      step: 'table.scan',
      kind: 'read',
      method: 'POST',
      path: platformPaths.scan,
      body: { prefix, ...options },
      timeoutMs,
    })
    return response.map(({ rows }) => rows)
  }

  override transact(transaction: Transaction, options: CallOptions = {}): Promise<PlatformResult<Committed>> {
    return callJson<Committed>(this.#platform, {
      step: 'table.transact',
      kind: 'write',
      method: 'POST',
      path: platformPaths.transact,
      body: transaction,
      ...options,
    })
  }
}

export class HttpObjectStore extends ObjectStore {
  readonly #platform: PlatformHttpClient

  constructor(platform: PlatformHttpClient) {
    super()
    this.#platform = platform
  }

  override async put(
    name: string,
    bytes: Uint8Array,
    options: CallOptions = {},
  ): Promise<PlatformResult<void>> {
    const response = await this.#platform.call({
      step: 'objects.put',
      kind: 'write',
      method: 'PUT',
      path: platformPaths.object(name),
      body: bytes,
      ...options,
    })
    return response.map(() => undefined)
  }

  override async get(
    name: string,
    options: CallOptions = {},
  ): Promise<PlatformResult<Uint8Array | undefined>> {
    const response = await this.#platform.call({
      step: 'objects.get',
      kind: 'read',
      method: 'GET',
      path: platformPaths.object(name),
      ...options,
    })
    return response.isErr
      ? Result.err(response.error)
      : Result.ok(response.value.status === 404 ? undefined : new Uint8Array(response.value.body))
  }
}

export class HttpHostList extends HostList {
  readonly #platform: PlatformHttpClient

  constructor(platform: PlatformHttpClient) {
    super()
    this.#platform = platform
  }

  override async list(options: CallOptions = {}): Promise<PlatformResult<readonly HostListEntry[]>> {
    const response = await callJson<{ hosts: readonly HostListEntry[] }>(this.#platform, {
      step: 'hosts.list',
      kind: 'read',
      method: 'GET',
      path: platformPaths.hosts,
      ...options,
    })
    return response.map(({ hosts }) => hosts)
  }
}
