/**
 * Resources that the runs of each team use on all workers.
 *
 * @module
 */

import { addResources, NO_RESOURCES, type Resources } from '../protocol/workflows.js'

/** Name under which work counts whose caller needed no key. No team of a configuration has it. */
export const NO_TEAM = ''

/** Keeps the sum of the runs of each team. Runs that are starting or stopping count. */
export class TeamUsage {
  private readonly _used = new Map<string, Resources>()

  /** Adds `count` times a size to the usage of a team; a negative count subtracts. */
  add (team: string, size: Resources, count = 1): void {
    this._used.set(team, addResources(this.of(team), size, count))
  }

  /** Resources that the team's runs use. */
  of (team: string): Resources {
    return this._used.get(team) ?? NO_RESOURCES
  }
}
