/**
 * Changes and queries of operators: configuration versions on the platform, the audit trail and the operator
 * service.
 */
export * from './audit.js'
export * from './backend.js'
export * from './cells.js'
export * from './credentials.js'
export * from './remote-cell-inspector.js'
export * from './operator-error.js'
export * from './service.js'
export * from './store.js'
export * from './views.js'
