/**
 * Counts of good and bad requests over time windows, which entry daemons provide for the burn report.
 *
 * @module
 */

import type { RequestClass } from '../protocol/requests.js'

/** Classification of a request: `good` when it met the objective, otherwise the cause for which it is counted as bad. */
export const BURN_CAUSES = {
  /** Sent to an upstream within the objective's waiting time, and answered without a server error. */
  good: 'good',
  /** Did not run. */
  refused: 'refused',
  /** Ran, but was sent later than the objective allows. */
  late: 'late',
  /** Ran, and the upstream answered with a server error. */
  failed: 'failed',
  /** May have run; the outcome is unknown. */
  unknown: 'unknown'
} as const

/** One of {@link BURN_CAUSES}. */
export type BurnCause = typeof BURN_CAUSES[keyof typeof BURN_CAUSES]

/** Number of requests by classification. */
export type CauseCounts = Record<BurnCause, number>

/** Time windows in which the requests of each objective are counted. */
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

/** Identity of a series: the service, class and team of the counted requests, and their objective. */
export interface BurnSeriesKey {
  service: string
  class: RequestClass
  /** Empty for requests that have no team, or a team that is not in the manifest. */
  team: string
  waitMs: number
  target: number
  windowDays: number
}

/** Counts of one service, class and team in all windows. */
export interface BurnSeries extends BurnSeriesKey {
  windows: Record<BurnWindow, CauseCounts>
}

/** All series of one entry daemon. */
export interface BurnFigures {
  /** Time since the daemon started to count, in milliseconds. Earlier requests are missing from all windows. */
  countedMs: number
  series: BurnSeries[]
}

/** Returns counts of zero. */
export function zeroCounts (): CauseCounts {
  return { good: 0, refused: 0, late: 0, failed: 0, unknown: 0 }
}

/** Returns the sum of two counts. */
export function addCounts (a: CauseCounts, b: CauseCounts): CauseCounts {
  return {
    good: a.good + b.good,
    refused: a.refused + b.refused,
    late: a.late + b.late,
    failed: a.failed + b.failed,
    unknown: a.unknown + b.unknown
  }
}
