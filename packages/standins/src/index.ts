/** Stand-in targets, for tests, demos and benchmarks. */
export * from './target-server.js'
export * from './target-settings.js'
