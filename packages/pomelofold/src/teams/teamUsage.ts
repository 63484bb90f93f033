/**
 * Resources that the runs of each team use on all workers.
 *
 * @module
 */

import { addResources, NO_RESOURCES, type Resources } from '../protocol/workflows.js'

/** Name under which work counts whose caller needed no key. No team of a configuration has it. */
export const NO_TEAM = ''

/**
 * Keeps the sum of the runs of each team. Runs that are starting or stopping count, and so do starts that may still be carried
 * out. A task that uses spare CPU counts with its CPU.
 */
export class TeamUsage {
  private readonly _used = new Map<string, Resources>()
  private _unattributed: Resources = NO_RESOURCES

  /** Adds `count` times a size to the usage of a team; a negative count subtracts. */
  add (team: string, size: Resources, count = 1): void {
    const used = addResources(this.of(team), size, count)
    if (isNothing(used)) this._used.delete(team)
    else this._used.set(team, used)
  }

  /** Adds `count` times a size to what runs of unknown teams may use; a negative count subtracts. */
  addUnattributed (size: Resources, count = 1): void {
    this._unattributed = addResources(this._unattributed, size, count)
  }

  /** Resources that the team's runs use. */
  of (team: string): Resources {
    return this._used.get(team) ?? NO_RESOURCES
  }

  /** Most that runs of unknown teams use: each of them may belong to any team. */
  get unattributed (): Resources {
    return this._unattributed
  }

  /** Names of the teams that use anything. */
  get teams (): IterableIterator<string> {
    return this._used.keys()
  }
}

function isNothing ({ cpuMillis, memoryMb, accelerators }: Resources): boolean {
  return cpuMillis === 0 && memoryMb === 0 && accelerators === 0
}
