/** HTTP connections and calls that every package uses. */
export * from './headers.js'
export * from './http-caller.js'
export * from './listen.js'
export * from './target-agent.js'
