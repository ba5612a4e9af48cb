/** Host identity, the member table, and the exchange of membership and configuration by gossip. */
export * from './handlers.js'
export * from './membership.js'
export * from './peer-network.js'
