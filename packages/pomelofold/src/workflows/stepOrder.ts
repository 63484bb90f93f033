/**
 * Decides in which order the ready steps of a placement pass are placed.
 *
 * Load pattern: more tasks wait than there is room for. Steps of more urgent queues come first, then those submitted first.
 *
 * @module
 */

import type { ReadyStep } from './readyStep.js'
import type { TeamsConfig } from '../seams/workflowUpstreams.js'
import type { TeamUsage } from '../teams/teamUsage.js'

/** Options of a {@link StepOrder}. */
export interface StepOrderOptions {
  /** Resources that the runs of each team use. They change while a pass places steps. */
  teamUsage: TeamUsage
  /** The teams of the active configuration; undefined when it names none. */
  teams: () => TeamsConfig | undefined
}

/** Order of the steps in a pass. */
export class StepOrder {
  private readonly _options: StepOrderOptions

  constructor (options: StepOrderOptions) {
    this._options = options
  }

  /** Returns the steps one after the other. The caller places each one before it asks for the next. */
  * inOrder (steps: ReadyStep[]): Generator<ReadyStep> {
    const submittedAtMs = ({ step }: ReadyStep): number => step.workflow.record.submittedAtMs
    yield * steps.sort((a, b) => a.queue.priority - b.queue.priority || submittedAtMs(a) - submittedAtMs(b))
  }
}
