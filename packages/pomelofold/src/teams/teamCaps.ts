/**
 * Limits the tasks that start for a team to its cap: the most that its runs may use on all workers together.
 *
 * Load pattern: one team submits several times its usual amount, in wide steps, single large tasks and gangs, while workers fall
 * silent, leaders change and the cap itself changes. Its runs stay within the cap, counting everything that may be running. Of
 * what is left, a gang or a large task that has waited for some time is not passed by later small ones of its team.
 *
 * @module
 */

import type { TeamUsage } from './teamUsage.js'
import { addResources, NO_RESOURCES, type Resources } from '../protocol/workflows.js'
import type { Timers } from '../seams/timers.js'
import type { TeamsConfig } from '../seams/workflowUpstreams.js'
import type { EventLog } from '../utils/eventLog.js'

/** Wait after which later steps of the team leave the rest of its cap to a step that does not fit, in milliseconds. */
const CLAIM_AFTER_MS = 1_000
/** Time for which a gang that its cap allows keeps it free while workers are looked for, in milliseconds: several eligibility calls. */
const CLAIM_KEEP_MS = 4_000
/** Time without claims of a gang for which no workers were found, in milliseconds. */
const CLAIM_PAUSE_MS = 20_000
/** Time without a held step after which a team counts as below its cap again, in milliseconds. */
const BELOW_AFTER_MS = 1_000
/** Maximum number of teams in the figures: those nearest to their caps. */
const MAX_TEAMS_IN_FIGURES = 20

/** A resource that caps limit. */
export type ResourceName = keyof Resources

const RESOURCE_NAMES: readonly ResourceName[] = ['cpuMillis', 'memoryMb', 'accelerators']

/** Tasks of a step that could start now. */
export interface CapRequest {
  /** Identifies the step from pass to pass. */
  step: object
  /** Undefined for a workflow without a team: nothing limits it. */
  team: string | undefined
  /** Size of one task. */
  size: Resources
  tasks: number
  /** The tasks start together or not at all. */
  gang: boolean
  /** Longest wait of one of the tasks, in milliseconds. */
  waitedMs: () => number
}

/** Sizes that {@link tasksWithinCap} compares. */
export interface CapDecision extends Pick<CapRequest, 'size' | 'tasks' | 'gang'> {
  /** 0 for no limit of that resource. */
  cap: Resources
  /** What the team's runs use, may use, and are kept free for others of its steps. */
  used: Resources
}

/** Why a step is held by its team's cap; for the log. */
export interface CapHold {
  team: string
  resource: ResourceName
  used: number
  cap: number
  /** Part that may be in use by runs that this scheduler does not see. */
  unknown: number
  /** Part that is kept free for earlier steps of the team. */
  claimed: number
  /** `no` for a gang that is larger than the whole cap. */
  fits: 'yes' | 'no'
}

/** Metrics of the caps. */
export interface CapFigures {
  /** Number of teams that are at their caps. */
  teamsAtCap: number
  /** Number of steps that were held by a cap in the last pass. */
  stepsHeldByCap: number
  /** The teams that are nearest to their caps. */
  teamCaps: Record<string, { usedCpuMillis: number, usedMemoryMb: number, usedAccelerators: number, capPercent: number, heldSteps: number }>
}

/** Options of {@link TeamCaps}. */
export interface TeamCapsOptions {
  usage: TeamUsage
  /** The teams of the active configuration; undefined when it names none. */
  teams: () => TeamsConfig | undefined
  /** Most that runs use which an earlier scheduler may have started for the team and no worker has listed. */
  inherited: (team: string) => Resources
  timers: Timers
  log: EventLog
}

/** A team whose steps are held by its cap. */
interface HeldTeam {
  sinceMs: number
  lastMs: number
  /** Number of held steps in this pass and in the last one. */
  steps: number
  lastSteps: number
}

/**
 * Number of tasks that may start now. A task that is larger than the whole cap starts when the team is within its cap, since it
 * would never run otherwise; so does a gang that exceeds the cap by less than one of its tasks, when nothing else uses it.
 */
export function tasksWithinCap ({ cap, used, size, tasks, gang }: CapDecision): number {
  const unit = gang ? tasks : 1
  let count = tasks
  for (const name of RESOURCE_NAMES) {
    if (cap[name] === 0 || size[name] === 0) continue
    const free = cap[name] - used[name]
    const isOversized = unit * size[name] > cap[name]
    count = Math.min(count, isOversized ? (free >= (unit - 1) * size[name] ? unit : 0) : Math.floor(free / size[name]))
  }
  return count < unit ? 0 : count
}

/** False for a gang that cannot start under the cap even when nothing else of the team runs. */
export function fitsCap (decision: Omit<CapDecision, 'used'>): boolean {
  return tasksWithinCap({ ...decision, used: NO_RESOURCES }) > 0
}

/** Decides in each placement pass how many tasks of a step may start under the cap of its team. */
export class TeamCaps {
  private readonly _options: TeamCapsOptions
  /** Caps as last configured, for teams that the configuration does not name any more. */
  private readonly _lastCaps = new Map<string, Resources>()
  /** Parts of the caps that are kept free for steps of this pass. */
  private readonly _claims = new Map<string, Resources>()
  /** Gangs that have claimed, and the end of their claims once the cap allows them, in milliseconds of the monotonic clock. */
  private readonly _claimEndsMs = new WeakMap<object, number>()
  private readonly _held = new Map<string, HeldTeam>()

  constructor (options: TeamCapsOptions) {
    this._options = options
  }

  /** Called before the steps of a pass are placed. */
  startPass (): void {
    this._claims.clear()
    const nowMs = this._options.timers.now()
    for (const [team, held] of this._held) {
      held.lastSteps = held.steps
      held.steps = 0
      if (nowMs - held.lastMs < BELOW_AFTER_MS) continue
      this._held.delete(team)
      this._options.log.event('info', 'team.cap.below', { team, reachedForMs: Math.round(nowMs - held.sinceMs) })
    }
  }

  /** Number of tasks that may start now. Later steps of the team leave room for a step that has waited and does not fit. */
  limit (req: CapRequest): number {
    const { team, tasks, waitedMs, step, gang } = req
    const cap = this._capOf(team)
    if (team === undefined || !cap) return tasks
    const allowed = tasksWithinCap({ ...req, cap, used: addResources(this._mayUse(team), this._claims.get(team) ?? NO_RESOURCES) })
    if (allowed === tasks) return tasks
    this._noteHeld(req)
    const nowMs = this._options.timers.now()
    const endMs = this._claimEndsMs.get(step) ?? Number.POSITIVE_INFINITY
    const isPaused = nowMs >= endMs && nowMs < endMs + CLAIM_PAUSE_MS
    if (allowed === 0 && !isPaused && waitedMs() >= CLAIM_AFTER_MS && fitsCap({ ...req, cap })) {
      if (gang) this._claimEndsMs.set(step, Number.POSITIVE_INFINITY)
      this._claim(req)
    }
    return allowed
  }

  /** Called when tasks that the cap allows were not placed: a gang that has waited for its cap goes on keeping it free for a time. */
  noteNotPlaced (req: CapRequest): void {
    const endMs = this._claimEndsMs.get(req.step)
    if (endMs === undefined) return
    const nowMs = this._options.timers.now()
    if (endMs === Number.POSITIVE_INFINITY) this._claimEndsMs.set(req.step, nowMs + CLAIM_KEEP_MS)
    if (nowMs < endMs) this._claim(req)
  }

  /** The figures of the resource that holds the step; undefined when none does. */
  explain (req: CapRequest): CapHold | undefined {
    const { team, tasks } = req
    const cap = this._capOf(team)
    if (team === undefined || !cap) return
    const used = this._options.usage.of(team)
    const mayUse = this._mayUse(team)
    const claims = this._claims.get(team) ?? NO_RESOURCES
    const slots = (name: ResourceName): number => tasksWithinCap({
      ...req, cap: { ...NO_RESOURCES, [name]: cap[name] }, used: addResources(mayUse, claims)
    })
    const [resource] = [...RESOURCE_NAMES].sort((a, b) => slots(a) - slots(b))
    if (slots(resource) >= tasks) return
    return {
      team,
      resource,
      used: used[resource],
      cap: cap[resource],
      unknown: mayUse[resource] - used[resource],
      claimed: claims[resource],
      fits: fitsCap({ ...req, cap }) ? 'yes' : 'no'
    }
  }

  /** Current values for the metrics. */
  figures (): CapFigures {
    const { usage } = this._options
    const teams = [...usage.teams].flatMap(team => {
      const cap = this._capOf(team)
      const used = usage.of(team)
      return cap ? [{ team, used, share: Math.max(...RESOURCE_NAMES.map(name => cap[name] > 0 ? used[name] / cap[name] : 0)) }] : []
    })
    const nearest = teams.sort((a, b) => b.share - a.share).slice(0, MAX_TEAMS_IN_FIGURES)
    return {
      teamsAtCap: this._held.size,
      stepsHeldByCap: [...this._held.values()].reduce((sum, { steps, lastSteps }) => sum + Math.max(steps, lastSteps), 0),
      teamCaps: Object.fromEntries(nearest.map(({ team, used, share }) => {
        const held = this._held.get(team)
        return [team, {
          usedCpuMillis: used.cpuMillis,
          usedMemoryMb: used.memoryMb,
          usedAccelerators: used.accelerators,
          capPercent: Math.round(100 * share),
          heldSteps: held ? Math.max(held.steps, held.lastSteps) : 0
        }]
      }))
    }
  }

  /** The team's cap; undefined without any limit. The work of a team that is not configured any more goes on under its last cap. */
  private _capOf (team: string | undefined): Resources | undefined {
    const teams = this._options.teams()
    if (team === undefined || !teams) return
    const configured = teams.byName.get(team)?.cap
    if (configured) this._lastCaps.set(team, configured)
    const cap = configured ?? this._lastCaps.get(team)
    return cap && RESOURCE_NAMES.some(name => cap[name] > 0) ? cap : undefined
  }

  /** Most that the team's runs use. */
  private _mayUse (team: string): Resources {
    const { usage, inherited } = this._options
    return addResources(addResources(usage.of(team), usage.unattributed), inherited(team))
  }

  private _claim ({ team, size, tasks, gang }: CapRequest): void {
    if (team !== undefined) this._claims.set(team, addResources(this._claims.get(team) ?? NO_RESOURCES, size, gang ? tasks : 1))
  }

  private _noteHeld (req: CapRequest): void {
    const nowMs = this._options.timers.now()
    const team = req.team!
    const held = this._held.get(team)
    if (held) {
      held.lastMs = nowMs
      held.steps++
      return
    }
    this._held.set(team, { sinceMs: nowMs, lastMs: nowMs, steps: 1, lastSteps: 0 })
    this._options.log.event('info', 'team.cap.reached', { ...this.explain(req), tasks: req.tasks })
  }
}
