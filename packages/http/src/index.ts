/** HTTP connections, calls and header fields, shared by the other packages. */
export * from './break-off.js'
export * from './clean-close.js'
export * from './final-status.js'
export * from './headers.js'
export * from './http-client.js'
export * from './listen.js'
export * from './reset-connection.js'
export * from './keep-alive-agent.js'
