/**
 * Computes how fast the error budgets of a cell's objectives are spent, from the counts of all reachable entry daemons.
 *
 * @module
 */

import { addCounts, BURN_WINDOWS, zeroCounts, type BurnFigures, type BurnSeriesKey, type BurnSeries, type BurnWindow, type CauseCounts } from './burnTypes.js'

/** An operator is paged when the burn rate is above this value in both short windows. */
const PAGE_BURN_RATE = 14.4
/** A ticket is opened when the burn rate is above this value in both long windows. */
const TICKET_BURN_RATE = 1

/** Urgency of the alert for an objective: none, open a ticket, or page an operator. */
export const BURN_ALERTS = { none: 'none', ticket: 'ticket', page: 'page' } as const

/** One of {@link BURN_ALERTS}. */
export type BurnAlert = typeof BURN_ALERTS[keyof typeof BURN_ALERTS]

/** Error budget and burn rates of one objective for one team. */
export interface BurnRow extends BurnSeriesKey {
  /** Unspent share of the error budget over the objective's window. Negative when it is overspent; absent without requests. */
  budgetLeft?: number
  /** Number of further bad requests that the budget allows, for the current number of requests. */
  requestsLeft: number
  /** Burn rate by window; 1 spends the budget exactly by the end of the objective's window. Absent without requests. */
  burnRates: Partial<Record<BurnWindow, number>>
  alert: BurnAlert
  windows: Record<BurnWindow, CauseCounts>
}

/** Figures of all reachable entry daemons by VM, as far as this report reads them. */
export interface CellBurnFigures {
  figures: Record<string, { burn?: unknown }>
  unreachable: string[]
}

/** Error budgets and burn rates of all objectives of a cell. */
export interface BurnReport {
  objectives: BurnRow[]
  /** Counting time of the daemon that started last, in milliseconds. */
  countedMs: number
  /** Entry VMs that were unreachable or sent no counts. Their requests are missing from the report. */
  unreachable: string[]
}

const WINDOWS = Object.values(BURN_WINDOWS)

/** Adds up the counts of all entry daemons, then computes budgets and burn rates from the sums. */
export function burnReport ({ figures, unreachable }: CellBurnFigures): BurnReport {
  const reported = Object.values(figures).flatMap(({ burn }) => burn ? [burn as BurnFigures] : [])
  const withoutBurnFigures = Object.keys(figures).filter(vm => !figures[vm].burn)
  const sums = new Map<string, BurnSeries>()
  for (const { series } of reported) for (const daemonSeries of series) addSeries(sums, daemonSeries)
  const rows = [...sums.values()].map(burnRowOf).sort(byName)
  return {
    objectives: rows.filter(row => !isRedundantIdleRow(row, rows)),
    countedMs: reported.length === 0 ? 0 : Math.min(...reported.map(burn => burn.countedMs)),
    unreachable: [...unreachable, ...withoutBurnFigures]
  }
}

/** Number of requests that missed the objective, whatever the cause. */
export function badCount ({ refused, late, failed, unknown }: CauseCounts): number {
  return refused + late + failed + unknown
}

function addSeries (sums: Map<string, BurnSeries>, series: BurnSeries): void {
  const { service, class: cls, team, waitMs, target, windowDays } = series
  const name = JSON.stringify([service, cls, team, waitMs, target, windowDays])
  const sum = sums.get(name)
  const windows = Object.fromEntries(
    WINDOWS.map(window => [window, addCounts(sum?.windows[window] ?? zeroCounts(), series.windows[window])])
  )
  sums.set(name, { ...series, windows: windows as BurnSeries['windows'] })
}

function burnRowOf (series: BurnSeries): BurnRow {
  const { target, windows } = series
  const burnRates = Object.fromEntries(WINDOWS.flatMap(window => {
    const rate = burnRateOf(windows[window], target)
    return rate === undefined ? [] : [[window, rate]]
  })) as BurnRow['burnRates']
  const bad = badCount(windows.objective)
  const allowed = (bad + windows.objective.good) * (1 - target)
  const budgetLeft = allowed === 0 ? undefined : 1 - bad / allowed
  return { ...series, budgetLeft, requestsLeft: allowed - bad, burnRates, alert: alertOf(burnRates) }
}

function burnRateOf (counts: CauseCounts, target: number): number | undefined {
  const bad = badCount(counts)
  const total = counts.good + bad
  return total === 0 ? undefined : bad / total / (1 - target)
}

function alertOf ({ fiveMinutes = 0, oneHour = 0, sixHours = 0, threeDays = 0 }: BurnRow['burnRates']): BurnAlert {
  if (oneHour > PAGE_BURN_RATE && fiveMinutes > PAGE_BURN_RATE) return BURN_ALERTS.page
  if (sixHours > TICKET_BURN_RATE && threeDays > TICKET_BURN_RATE) return BURN_ALERTS.ticket
  return BURN_ALERTS.none
}

function byName (a: BurnRow, b: BurnRow): number {
  return a.service.localeCompare(b.service) || a.class.localeCompare(b.class) || a.team.localeCompare(b.team)
}

/** True for a row without a team and without requests, when another row shows a team of the same service and class. */
function isRedundantIdleRow ({ service, class: cls, team, budgetLeft }: BurnRow, rows: BurnRow[]): boolean {
  if (team !== '' || budgetLeft !== undefined) return false
  return rows.some(other => other.service === service && other.class === cls && other.team !== '')
}
