/**
 * Decides about the submissions of a daemon's callers by what the leader last reported about their teams.
 *
 * @module
 */

import { ADMISSIONS, admit, usefulWaitMs, type Admission, type RefusedAdmission } from '../teams/admission.js'
import type { TeamBacklog } from '../protocol/teams.js'
import type { Workflow } from '../protocol/workflows.js'
import type { RandomSource } from '../seams/randomSource.js'
import type { Timers } from '../seams/timers.js'
import type { CellConfig } from '../seams/workflowUpstreams.js'
import type { EventLog } from '../utils/eventLog.js'

/** Options of a {@link SubmissionGate}. */
export interface SubmissionGateOptions {
  timers: Timers
  random: RandomSource
  log: EventLog
  config: () => CellConfig | undefined
  /** Backlog of a team while this daemon is the leader; undefined while it is not. */
  ownBacklog: (team: string) => TeamBacklog | undefined
}

/** Keeps what the leader reports about each team. */
export class SubmissionGate {
  private readonly _options: SubmissionGateOptions
  private readonly _known = new Map<string, { backlog: TeamBacklog, toldMs: number }>()

  constructor (options: SubmissionGateOptions) {
    this._options = options
  }

  /** Notes how a team stands, as the leader reported in answer to a call that was sent at `sentMs` of the monotonic clock. */
  note (team: string, backlog: TeamBacklog, sentMs: number): void {
    this._known.set(team, { backlog, toldMs: sentMs })
  }

  /** Decides about a submission. Those without a team, or of a team that the configuration does not name, are accepted. */
  decide (workflow: Workflow): Admission {
    const { config, random } = this._options
    const team = workflow.team === undefined ? undefined : config()?.teams?.byName.get(workflow.team)
    const queue = config()?.queues.get(workflow.queue)
    if (!team || !queue) return { outcome: ADMISSIONS.accepted }
    return admit({ workflow, team, known: this._knownOf(team.name), usefulForMs: usefulWaitMs(workflow, queue), random })
  }

  /** Logs a submission that is refused, with what the decision was based on. */
  logRefusal ({ id, queue, team }: Workflow, { outcome, detail, retryAfterMs }: RefusedAdmission): void {
    const known = team === undefined ? undefined : this._knownOf(team)
    this._options.log.event('info', 'workflow.refused', {
      requestId: id,
      jobId: id,
      queue,
      team,
      outcome,
      detail,
      ...known?.backlog,
      backlogAgeMs: known && Math.round(known.ageMs),
      retryAfterMs: Math.round(retryAfterMs)
    })
  }

  private _knownOf (team: string): { backlog: TeamBacklog, ageMs: number } | undefined {
    const own = this._options.ownBacklog(team)
    if (own) return { backlog: own, ageMs: 0 }
    const known = this._known.get(team)
    return known && { backlog: known.backlog, ageMs: this._options.timers.now() - known.toldMs }
  }
}
