/**
 * Limits of requests by team.
 *
 * @module
 */

import type { Manifest } from '../protocol/manifest.js'

interface TeamUsage {
  used: number
  /** Undefined: not limited. */
  limit: number | undefined
  borrow: boolean
}

/** Counts the requests that each team has waiting and running, and admits more up to its limit or out of idle share. */
export class TeamLimits {
  private readonly _teams = new Map<string, TeamUsage>()

  /** Sets the limits. `share` is the part of the failure domain's instances that this process decides for. */
  setLimits (teams: Manifest['teams'], share: number): void {
    for (const use of this._teams.values()) use.limit = undefined
    for (const { name, requestLimit, borrow } of teams) {
      const use = this._usageOf(name)
      use.limit = requestLimit === undefined ? undefined : Math.max(1, Math.round(requestLimit * share))
      use.borrow = borrow
    }
    for (const [name, use] of this._teams) if (use.used === 0 && use.limit === undefined) this._teams.delete(name)
  }

  /** Counts one more request of `team` when it may have one. */
  tryAdmit (team: string): boolean {
    const use = this._usageOf(team)
    if (use.limit !== undefined && use.used >= use.limit && !(use.borrow && this._idleRequests() > 0)) return false
    use.used++
    return true
  }

  /** Counts one request of `team` less. */
  release (team: string): void {
    const use = this._teams.get(team)
    if (!use) return
    use.used--
    if (use.used === 0 && use.limit === undefined) this._teams.delete(team)
  }

  /** Sum of what the limited teams leave unused, less what others have borrowed of it. */
  private _idleRequests (): number {
    let idle = 0
    for (const { used, limit } of this._teams.values()) if (limit !== undefined) idle += limit - used
    return idle
  }

  private _usageOf (team: string): TeamUsage {
    let use = this._teams.get(team)
    if (!use) {
      use = { used: 0, limit: undefined, borrow: true }
      this._teams.set(team, use)
    }
    return use
  }
}
