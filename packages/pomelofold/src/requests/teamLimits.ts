/**
 * Limits on the number of open requests of each team.
 *
 * @module
 */

import type { Manifest } from '../protocol/manifest.js'

/** Open requests and limit of one team. */
interface TeamUsage {
  /** Requests waiting and in flight. */
  used: number
  /** Undefined when the team is not limited. */
  limit: number | undefined
  /** Whether the team may exceed its limit by what other teams leave unused. */
  borrow: boolean
}

/** Admits requests of each team up to its limit or, for teams that may borrow, up to what other teams leave unused. */
export class TeamLimits {
  private readonly _teams = new Map<string, TeamUsage>()

  /** Sets the limits. `share` is the part of the failure domain's instances whose claims this process holds; limits are scaled by it. */
  setLimits (teams: Manifest['teams'], share: number): void {
    for (const usage of this._teams.values()) usage.limit = undefined
    for (const { name, requestLimit, borrow } of teams) {
      const usage = this._usageOf(name)
      usage.limit = requestLimit === undefined ? undefined : Math.max(1, Math.round(requestLimit * share))
      usage.borrow = borrow
    }
    for (const [name, usage] of this._teams) if (usage.used === 0 && usage.limit === undefined) this._teams.delete(name)
  }

  /** Admits and counts one more request of `team`. False when the team may have no more. */
  tryAdmit (team: string): boolean {
    const usage = this._usageOf(team)
    if (usage.limit !== undefined && usage.used >= usage.limit && !(usage.borrow && this._idleRequests() > 0)) return false
    usage.used++
    return true
  }

  /** To be called when an admitted request of `team` has ended. */
  release (team: string): void {
    const usage = this._teams.get(team)
    if (!usage) return
    usage.used--
    if (usage.used === 0 && usage.limit === undefined) this._teams.delete(team)
  }

  /** Requests that the limited teams together have left below their limits; what teams have borrowed is subtracted. */
  private _idleRequests (): number {
    let idle = 0
    for (const { used, limit } of this._teams.values()) if (limit !== undefined) idle += limit - used
    return idle
  }

  private _usageOf (team: string): TeamUsage {
    let usage = this._teams.get(team)
    if (!usage) {
      usage = { used: 0, limit: undefined, borrow: true }
      this._teams.set(team, usage)
    }
    return usage
  }
}
