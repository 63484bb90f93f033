/**
 * Quotas of teams and what their tasks hold.
 *
 * @module
 */

import type { Capacity } from '../../protocol/vms.js'
import { addUnits, amountText, capacityUnits, RESOURCES, zeroUnits, type Resource, type Units } from './units.js'

/** A team with its quota and what its tasks hold. */
export interface Team {
  readonly name: string
  /** False when no manifest names the team. */
  listed: boolean
  quota: Units
  borrow: boolean
  readonly used: Units
}

/** Books of all teams. */
export class TeamQuotas {
  private readonly _teams = new Map<string, Team>()

  /** Replaces quotas. Teams that are not named keep their books and may place nothing. */
  setTeams (teams: Array<{ name: string, quota: Capacity, borrow: boolean }>): void {
    for (const team of this._teams.values()) {
      team.listed = false
      team.borrow = false
      team.quota = zeroUnits()
    }
    for (const { name, quota, borrow } of teams) {
      Object.assign(this.findOrAdd(name), { listed: true, quota: capacityUnits(quota), borrow })
    }
    this._dropUnused()
  }

  /** The books of a team, made when there are none. */
  findOrAdd (name: string): Team {
    let team = this._teams.get(name)
    if (!team) {
      team = { name, listed: false, quota: zeroUnits(), borrow: false, used: zeroUnits() }
      this._teams.set(name, team)
    }
    return team
  }

  all (): Team[] {
    return [...this._teams.values()]
  }

  find (name: string): Team | undefined {
    return this._teams.get(name)
  }

  private _dropUnused (): void {
    for (const team of this._teams.values()) {
      const isUnused = RESOURCES.every(resource => team.used[resource] === 0)
      if (!team.listed && isUnused) this._teams.delete(team.name)
    }
  }
}

/** The first resource in which the team would exceed its quota with `more`, if any. */
export function findExceededQuota (team: Team, need: Units): Resource | undefined {
  return RESOURCES.find(resource => need[resource] > 0 && team.used[resource] + need[resource] > team.quota[resource])
}

/** Whether the team holds more than its quota, apart from `released`. */
export function isBorrowing (team: Team, released: Units): boolean {
  return RESOURCES.some(resource => team.used[resource] - released[resource] > team.quota[resource])
}

/** Why the team may not place `more`, in words. Undefined when it may. */
export function quotaRefusalText (team: Team | undefined, name: string, need: Units): string | undefined {
  if (!team?.listed) return `team ${name} has no quota in the manifest`
  const resource = findExceededQuota(team, need)
  if (!resource || team.borrow) return undefined
  return quotaUseText(team, resource, need)
}

/** The team's use and quota of one resource, in words. */
export function quotaUseText (team: Team, resource: Resource, need: Units): string {
  return `needs ${amountText(resource, need[resource])}; team ${team.name} holds ` +
    `${amountText(resource, team.used[resource])} of its quota of ${amountText(resource, team.quota[resource])}`
}

/** Counts `size` for or, with `times` -1, no longer for the team. */
export function adjustTeamUse (team: Team, size: Units, sign: 1 | -1): void {
  addUnits(team.used, size, sign)
}
