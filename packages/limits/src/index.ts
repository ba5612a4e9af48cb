/** Permits: admission control per target, at the coordinator and on the hosts. */
export { LocalPermitSource } from './local-permit-source.js'
export * from './channel.js'
export * from './client.js'
export * from './heavy-hitters.js'
export * from './pool.js'
export * from './session.js'
export * from './stream.js'
export { type LoadReport, type TargetInspection } from './target.js'
