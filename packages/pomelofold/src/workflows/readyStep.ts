/**
 * Steps in the course of one placement pass.
 *
 * @module
 */

import type { OrderedStep } from './placementPass.js'
import type { StepRuntime } from './workflowRuntime.js'
import type { QueueConfig } from '../seams/workflowUpstreams.js'

/** A step whose tasks may start now, as far as its predecessors and an earlier scheduler decide. */
export interface ReadyStep {
  step: StepRuntime
  queue: QueueConfig
  /** True when its workflow is beyond its team's number of workflows a second: it comes after all that are not. */
  beyondBudget?: boolean
}

/** A step with tasks that could not be placed. */
export interface BlockedStep extends ReadyStep, OrderedStep {
  /** Number of tasks that wait. */
  waiting: number
}
