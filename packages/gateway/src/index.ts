/** The gateway daemon, which receives the requests of callers on a host and forwards them to targets. */
export * from './daemon.js'
export * from './directory.js'
export * from './dispatcher.js'
export * from './service-assignment-controller.js'
export * from './leadership.js'
export * from './log-writer.js'
export * from './replica.js'
