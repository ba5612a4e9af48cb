/** Ownership of keys: cell records, voters, the coordinator task, target leases, moves and transfers. */
export * from './assignment.js'
export * from './cell-store.js'
export * from './coordinator.js'
export * from './grant.js'
export * from './grant-client.js'
export * from './grant-holder.js'
export { firstHomes, fairShares, wantedVoters } from './homes.js'
export {
  coordinatorDefaults,
  targetsOfCell,
  type CellCoordinatorOptions,
  type CoordinatorSettings,
} from './options.js'
export * from './peers.js'
export * from './placement.js'
export type { CellStatus, TargetStatus } from './status.js'
export * from './voter.js'
