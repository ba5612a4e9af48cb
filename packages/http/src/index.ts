/** HTTP connections and calls that every package uses. */
export * from './headers.js'
export * from './http-client.js'
export * from './listen.js'
export * from './keep-alive-agent.js'
