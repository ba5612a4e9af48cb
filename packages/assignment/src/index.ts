/**
 * Exclusive ownership of key ranges: the map of ranges to targets, its balance, and lease arithmetic. No
 * sockets, clocks or timers.
 */
export * from './balance.js'
export * from './election.js'
export * from './holds.js'
export * from './key-load.js'
export * from './move-price.js'
export * from './range-map.js'
export * from './target-speeds.js'
export * from './target-control.js'
export * from './shares.js'
export * from './quota-lender.js'
export * from './quota-plan.js'
export * from './quota-share.js'
