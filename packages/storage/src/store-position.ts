/**
 * Positions in the history of a store. A store that comes back from an older copy gives versions out again, so a version
 * alone does not say which history it belongs to. The store counts its returns in an era, and a position
 * packs the era and the version into one safe integer that keeps their order: every position of a later era
 * is higher than every position of an earlier one. All versions outside the client of the store are positions.
 */

/** Versions of one era are below this. */
const versionsPerEra = 2 ** 40
/** Positions of eras below this are safe integers. */
const eraCount = 2 ** 13
/** Fences of one era are below this multiple; a fence rises by one with each move of keys. */
const fencesPerEra = 2 ** 32

/**
 * A store that has never come back from an older copy is in this era, or in era 0 if it names none. In a later
 * one, rows that are absent may be lost.
 */
export const firstEra = 1

/** Undefined when the era or the version is out of range. */
export const packPosition = (era: number, version: number): number | undefined =>
  Number.isInteger(era) &&
  era >= 0 &&
  era < eraCount &&
  Number.isInteger(version) &&
  version >= 0 &&
  version < versionsPerEra
    ? era * versionsPerEra + version
    : undefined

export const eraOf = (position: number): number => Math.floor(position / versionsPerEra)

/** The version that the store itself uses for the position. */
export const versionOf = (position: number): number => position % versionsPerEra

/** As a condition: requires that the row is absent in this era. */
export const absentIn = (era: number): number => era * versionsPerEra

/** Position of a content that was written in `era` and found at `position`, perhaps in a later era. */
export const originOf = (era: number, position: number): number =>
  Math.min(era, eraOf(position)) * versionsPerEra + versionOf(position)

/** Higher than every fence of the eras before, also of those whose assignments are lost. */
export const firstFenceOf = (era: number): number => era * fencesPerEra + 1
