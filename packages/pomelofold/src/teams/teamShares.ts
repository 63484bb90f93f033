/**
 * Decides which team is the furthest below its share of the cell.
 *
 * Load pattern: teams compete for too little room, with tasks of different shapes: some need much CPU, others much memory.
 * Each team's share is that of the resource of which it uses the largest part of the cell (dominant resource fairness),
 * divided by its weight.
 *
 * @module
 */

import { NO_TEAM, type TeamUsage } from './teamUsage.js'
import { NO_RESOURCES, type Resources } from '../protocol/workflows.js'
import type { TeamsConfig } from '../seams/workflowUpstreams.js'

/** Weight of work without a team, and of teams that the configuration no longer names. */
const DEFAULT_WEIGHT = 1
/** Lowest weight that counts: a team of weight 0 still gets room that nobody else can use. */
const MIN_WEIGHT = 1e-6

/** Options of a {@link TeamShares}. */
export interface TeamSharesOptions {
  usage: TeamUsage
  /** The teams of the active configuration; undefined when it names none. */
  teams: () => TeamsConfig | undefined
  /** Capacity of all workers together. */
  capacity: () => Resources
}

/** Share of a team, for the metrics. */
export interface TeamShare {
  team: string
  weight: number
  /** Part of the cell that the team uses of its dominant resource. */
  usedShare: number
}

/** Computes the shares of the teams from their usage. */
export class TeamShares {
  private readonly _options: TeamSharesOptions

  constructor (options: TeamSharesOptions) {
    this._options = options
  }

  /** Part of the cell that the team uses of its dominant resource, divided by its weight. `claimed` counts as used. */
  weightedShare (team: string, claimed: Resources = NO_RESOURCES): number {
    return this._usedShare(team, claimed) / this._weightOf(team)
  }

  /** Shares of all teams of the configuration, and of work without a team. */
  figures (): TeamShare[] {
    const names = [...this._options.teams()?.byName.keys() ?? [], NO_TEAM]
    return names.map(team => ({ team, weight: this._weightOf(team), usedShare: this._usedShare(team, NO_RESOURCES) }))
  }

  private _usedShare (team: string, claimed: Resources): number {
    const used = this._options.usage.of(team)
    const capacity = this._options.capacity()
    return Math.max(
      shareOf(used.cpuMillis + claimed.cpuMillis, capacity.cpuMillis),
      shareOf(used.memoryMb + claimed.memoryMb, capacity.memoryMb),
      shareOf(used.accelerators + claimed.accelerators, capacity.accelerators)
    )
  }

  private _weightOf (team: string): number {
    return Math.max(MIN_WEIGHT, this._options.teams()?.byName.get(team)?.weight ?? DEFAULT_WEIGHT)
  }
}

function shareOf (used: number, capacity: number): number {
  return capacity > 0 ? used / capacity : 0
}
