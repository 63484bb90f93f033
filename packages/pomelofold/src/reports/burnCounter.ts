/**
 * Counts the requests that met or missed the objective of their service and class, at the entry daemon that received them.
 *
 * @module
 */

import { OUTCOMES, type RequestClass, type ServiceAnswer } from '../protocol/requests.js'
import type { Manifest } from '../protocol/manifest.js'
import type { Timers } from '../seams/timers.js'
import { BURN_CAUSES, BURN_WINDOWS, type BurnCause, type BurnFigures, type BurnSeriesKey, type BurnWindow, type CauseCounts } from './burnTypes.js'
import { SlidingWindowCounts } from './slidingWindowCounts.js'

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS
const DAY_MS = 24 * HOUR_MS

/** Maximum number of series (service, class and team) with their own counts. Beyond it, requests are counted as those without a team. */
const MAX_SERIES = 2_000

/** Length of each window in milliseconds, for an objective over `windowDays`. */
const WINDOW_MS: Record<BurnWindow, (windowDays: number) => number> = {
  fiveMinutes: () => 5 * MINUTE_MS,
  oneHour: () => HOUR_MS,
  sixHours: () => 6 * HOUR_MS,
  threeDays: () => 3 * DAY_MS,
  objective: windowDays => windowDays * DAY_MS
}

const WINDOWS = Object.values(BURN_WINDOWS)

type Objective = Omit<BurnSeriesKey, 'team'>

interface Series {
  key: BurnSeriesKey
  windows: Record<BurnWindow, SlidingWindowCounts>
}

/** Fields of a request that select the series in which it is counted. */
export interface CountedRequest {
  service: string
  class: RequestClass
  team?: string
}

/** Options of a {@link BurnCounter}. */
export interface BurnCounterOptions {
  timers: Timers
}

/** Counts final answers by service, class, team and cause over several time windows. */
export class BurnCounter {
  private readonly _timers: Timers
  private readonly _startMs: number
  private _objectives = new Map<string, Objective>()
  private _teams = new Set<string>()
  private readonly _series = new Map<string, Series>()

  constructor ({ timers }: BurnCounterOptions) {
    this._timers = timers
    this._startMs = timers.now()
  }

  /** Sets the objectives and teams to count. Counts of unchanged objectives and teams are kept; the others are dropped. */
  setManifest ({ services, teams }: Manifest): void {
    this._teams = new Set(teams.map(team => team.name))
    this._objectives = new Map(services.flatMap(({ name, objectives }) =>
      objectives.map(objective => [`${name}/${objective.class}`, { service: name, ...objective }] as const)))
    for (const [name, { key }] of this._series) if (!this._isCurrent(key)) this._series.delete(name)
    for (const objective of this._objectives.values()) this._findOrAddSeries(objective, '')
  }

  /** Counts the final answer of a request. Requests without an objective are ignored. */
  countAnswer (req: CountedRequest, answer: Pick<ServiceAnswer, 'outcome' | 'status' | 'waitedMs'>): void {
    const objective = this._objectives.get(`${req.service}/${req.class}`)
    if (!objective) return
    const nowMs = this._timers.now()
    const cause = causeOf(answer, objective.waitMs)
    const { windows } = this._findOrAddSeries(objective, req.team ?? '')
    for (const window of WINDOWS) windows[window].add(nowMs, cause)
  }

  /** Returns the counts of all series and windows as plain data. */
  figures (): BurnFigures {
    const nowMs = this._timers.now()
    const series = [...this._series.values()].map(({ key, windows }) => ({
      ...key,
      windows: Object.fromEntries(WINDOWS.map(window => [window, windows[window].sum(nowMs)])) as Record<BurnWindow, CauseCounts>
    }))
    return { countedMs: nowMs - this._startMs, series }
  }

  private _findOrAddSeries (objective: Objective, team: string): Series {
    const countedTeam = this._teams.has(team) ? team : ''
    const existing = this._series.get(seriesNameOf(objective, countedTeam))
    if (existing) return existing
    const isFull = countedTeam !== '' && this._series.size >= MAX_SERIES
    return isFull ? this._findOrAddSeries(objective, '') : this._addSeries({ ...objective, team: countedTeam })
  }

  private _addSeries (key: BurnSeriesKey): Series {
    const windows = Object.fromEntries(WINDOWS.map(window => [window, new SlidingWindowCounts(WINDOW_MS[window](key.windowDays))]))
    const series: Series = { key, windows: windows as Record<BurnWindow, SlidingWindowCounts> }
    this._series.set(seriesNameOf(key, key.team), series)
    return series
  }

  private _isCurrent ({ service, class: cls, team, waitMs, target, windowDays }: BurnSeriesKey): boolean {
    const current = this._objectives.get(`${service}/${cls}`)
    const sameObjective = current?.waitMs === waitMs && current.target === target && current.windowDays === windowDays
    return sameObjective && (team === '' || this._teams.has(team))
  }
}

function seriesNameOf ({ service, class: cls }: Objective, team: string): string {
  return `${service}/${cls}/${team}`
}

function causeOf ({ outcome, status, waitedMs = 0 }: Pick<ServiceAnswer, 'outcome' | 'status' | 'waitedMs'>, waitMs: number): BurnCause {
  if (outcome === OUTCOMES.notRun) return BURN_CAUSES.refused
  if (outcome === OUTCOMES.unknown) return BURN_CAUSES.unknown
  if (status >= 500) return BURN_CAUSES.failed
  return waitedMs > waitMs ? BURN_CAUSES.late : BURN_CAUSES.good
}
