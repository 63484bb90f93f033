/**
 * Counts of good and bad requests over time windows, as entry daemons tell them for reports.
 *
 * @module
 */

import type { RequestClass } from '../protocol/requests.js'

/** Why a request is counted as good or bad. */
export const BURN_CAUSES = {
  /** Sent to an upstream within the objective's waiting time, and answered. */
  good: 'good',
  /** Not run. */
  refused: 'refused',
  /** Sent later than the objective allows. */
  late: 'late',
  /** Ran, and the upstream answered with a server error. */
  failed: 'failed',
  /** May have run. */
  unknown: 'unknown'
} as const

/** One of {@link BURN_CAUSES}. */
export type BurnCause = typeof BURN_CAUSES[keyof typeof BURN_CAUSES]

/** Requests by cause. */
export type CauseCounts = Record<BurnCause, number>

/** Time windows that are counted for each objective. */
export const BURN_WINDOWS = {
  fiveMinutes: 'fiveMinutes',
  oneHour: 'oneHour',
  sixHours: 'sixHours',
  threeDays: 'threeDays',
  /** The window of the objective itself. */
  objective: 'objective'
} as const

/** One of {@link BURN_WINDOWS}. */
export type BurnWindow = typeof BURN_WINDOWS[keyof typeof BURN_WINDOWS]

/** What identifies the requests that are counted together. */
export interface BurnSeriesKey {
  service: string
  class: RequestClass
  /** Empty for requests without a team of the manifest. */
  team: string
  waitMs: number
  target: number
  windowDays: number
}

/** Counts of one service, class and team at one entry daemon. */
export interface BurnSeries extends BurnSeriesKey {
  windows: Record<BurnWindow, CauseCounts>
}

/** Counts of one entry daemon. */
export interface BurnFigures {
  /** Time since the start of the count, in milliseconds. Earlier requests are missing from all windows. */
  countedMs: number
  series: BurnSeries[]
}

/** Counts of no requests. */
export function noCounts (): CauseCounts {
  return { good: 0, refused: 0, late: 0, failed: 0, unknown: 0 }
}

/** Adds up two counts. */
export function addCounts (a: CauseCounts, b: CauseCounts): CauseCounts {
  return {
    good: a.good + b.good,
    refused: a.refused + b.refused,
    late: a.late + b.late,
    failed: a.failed + b.failed,
    unknown: a.unknown + b.unknown
  }
}
