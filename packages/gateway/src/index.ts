/** The daemon of an entry host on the users' platform. */
export * from './daemon.js'
export * from './directory.js'
export * from './dispatcher.js'
export * from './service-assignment-controller.js'
export * from './leadership.js'
export * from './log-writer.js'
export * from './replica.js'
