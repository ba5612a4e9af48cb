/** Memberships in one process for tests. */
export * from './simulation.js'
export * from './simulated-network.js'
