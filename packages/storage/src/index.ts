/**
 * The platform's services (table, object store, host list, row store) as abstract classes with HTTP and
 * in-memory implementations, and what is built on them: audit trail, idempotency records, grouped and
 * resolved writes.
 */
export * from './audit-trail.js'
export * from './configuration-document.js'
export * from './fault.js'
export * from './group-writer.js'
export * from './host-list.js'
export * from './host-sequence.js'
export * from './platform-http-client.js'
export * from './platform-http-services.js'
export * from './memory-host-list.js'
export * from './memory-object-store.js'
export * from './memory-table.js'
export * from './object-store.js'
export * from './request-ledger.js'
export * from './request-row.js'
export * from './result.js'
export * from './table.js'
export * from './transact-resolved.js'
export * from './row-store.js'
export * from './store-position.js'
export * from './memory-row-store.js'
