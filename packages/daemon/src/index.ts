/** `pimentotallyd`: one entry host, composed of the other packages. */
export * from './daemon.js'
export { Metrics } from './metrics.js'
