/**
 * Changes of the cell's record other than transfers: taking over newer records, adding the first homes of new
 * services, and replacing the voters. New voters are written together with the previous ones. The replacement
 * is complete once majorities of both sets have accepted the epoch of this record; a further change then
 * removes the previous voters.
 */
import type { VoterSet } from '@pimentotally/core'
import { ensureHomes, servicesWithoutHomes, wantedVoters, withHomes } from './homes.js'
import type { PlatformStep } from './cell-assignment-controller.js'
import type { CoordinatorSettings } from './options.js'
import type { CellRecordRow } from './cell-record-row.js'
import type { AssignmentRow } from './assignment-row.js'
import type { Tenure } from './tenure.js'

export interface RecordStepOptions {
  readonly settings: CoordinatorSettings
  readonly tenure: Tenure
  readonly recordRow: CellRecordRow
  readonly assignmentRow: AssignmentRow
}

export class RecordStep implements PlatformStep {
  readonly #settings: CoordinatorSettings
  readonly #tenure: Tenure
  readonly #recordRow: CellRecordRow
  #nextPollMs: number
  #wantedVoters: { key: string; sinceMs: number } | undefined

  constructor({ settings, tenure, recordRow }: RecordStepOptions) {
    this.#settings = settings
    this.#tenure = tenure
    this.#recordRow = recordRow
    this.#nextPollMs = settings.clock.monotonicMs() + settings.recordPollIntervalMs
  }

  async step(): Promise<boolean> {
    const { directory, clock, cellId, recordPollIntervalMs } = this.#settings
    const gossiped = directory.cells().find((cell) => cell.cellId === cellId)?.record
    if (gossiped !== undefined && gossiped.epoch > this.#tenure.record.epoch) {
      this.#recordRow.useNewerRecord(gossiped)
      return true
    }
    if (clock.monotonicMs() >= this.#nextPollMs) {
      this.#nextPollMs = clock.monotonicMs() + recordPollIntervalMs
      const { epoch } = this.#tenure.record
      await this.#recordRow.read()
      if (this.#tenure.record.epoch > epoch) return true
    }
    return (await this.#addServices()) || this.#changeVoters()
  }

  async #addServices(): Promise<boolean> {
    const { directory, store, cellId } = this.#settings
    const [service] = servicesWithoutHomes(directory.configuration(), this.#tenure.record)
    if (service === undefined) return false
    const homes = await ensureHomes(store, directory.configuration(), service)
    if (homes === undefined) return false
    return this.#recordRow.write((record) => ({
      ...withHomes(record, cellId, service, homes),
      epoch: record.epoch + 1,
    }))
  }

  async #changeVoters(): Promise<boolean> {
    const { directory, cellId, clock, voterSettleMs } = this.#settings
    if (this.#tenure.record.previousVoters !== undefined) {
      // This step runs only while the term is valid, so majorities of both sets have accepted the present
      // epoch.
      return this.#recordRow.write(({ previousVoters, ...record }) =>
        previousVoters === undefined ? undefined : { ...record, epoch: record.epoch + 1 },
      )
    }
    const hosts = [directory.self(), ...directory.peers(directory.self().domain)]
    const voters = wantedVoters(directory.configuration(), cellId, hosts)
    const key = voterKey(voters)
    if (voters.ids.length === 0 || key === voterKey(this.#tenure.record.voters)) {
      this.#wantedVoters = undefined
      return false
    }
    const nowMs = clock.monotonicMs()
    if (this.#wantedVoters?.key !== key) this.#wantedVoters = { key, sinceMs: nowMs }
    if (nowMs - this.#wantedVoters.sinceMs < voterSettleMs) return false
    this.#wantedVoters = undefined
    return this.#recordRow.write((record) =>
      record.previousVoters === undefined
        ? { ...record, voters, previousVoters: record.voters, epoch: record.epoch + 1 }
        : undefined,
    )
  }
}

const voterKey = ({ kind, ids }: VoterSet): string => `${kind}:${ids.join(',')}`
