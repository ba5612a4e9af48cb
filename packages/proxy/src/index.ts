/**
 * The request path: passes requests of callers to targets, returns their complete responses, and runs a
 * non-idempotent request with an idempotency key at most once.
 */
export * from './caller-server.js'
export * from './forward-server.js'
export type { CutRequest, DrainOptions, DrainReport } from './http-listener.js'
export { GeneratedResponse, routerHeaders } from './generated-response.js'
export * from './ledger-port.js'
export * from './metrics.js'
export * from './proxy-limits.js'
export * from './request-handler.js'
