/**
 * Workflows: jobs of several steps, handed in to a queue. Each step has equal tasks that run on workers.
 *
 * @module
 */

import { z } from 'zod'
import { JOB_STATES } from './jobs.js'

/** Most tasks of one step. */
export const MAX_TASKS_PER_STEP = 10_000
/** Most steps of one workflow. */
export const MAX_STEPS = 200
/** Longest payload, in UTF-16 code units. */
export const MAX_PAYLOAD_CHARS = 4_000

/** Room that a task takes at a worker, or that a worker has. */
export const resourcesSchema = z.object({
  /** Thousandths of a core. */
  cpuMillis: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
  accelerators: z.number().nonnegative()
})

/** Room that a task takes at a worker, or that a worker has. */
export type Resources = z.infer<typeof resourcesSchema>

/** A step: equal tasks that start when the steps before it are done. */
export const workflowStepSchema = z.object({
  tasks: z.number().int().min(1).max(MAX_TASKS_PER_STEP),
  size: resourcesSchema,
  /** Rough run time of one task, in milliseconds. */
  estimateMs: z.number().nonnegative(),
  /** Numbers of earlier steps whose tasks must all be done first. */
  after: z.array(z.number().int().nonnegative()),
  /** The tasks save their progress. */
  checkpointing: z.boolean(),
  /** The tasks work only while all of them are present, and end together. */
  gang: z.boolean(),
  /** The tasks are slower when they run on more than one rack. */
  sameRack: z.boolean(),
  /** Label that the worker must have; empty for any worker. */
  requiredLabel: z.string(),
  /** Rack that holds the tasks' data; empty when it does not matter. */
  dataRack: z.string(),
  /** Most tasks of the step at one worker; 0 for no limit. */
  maxPerWorker: z.number().int().nonnegative(),
  /** Copies of a task may run at the same time. */
  speculative: z.boolean(),
  /** The tasks run until the workflow is cancelled, and are replaced when they end. */
  longRunning: z.boolean(),
  /** What the tasks run. Tasks of one image behave alike. */
  image: z.string(),
  /** Bound on the tail of the tasks' response times, in milliseconds; 0 for none. */
  latencyTargetMs: z.number().nonnegative(),
  /** The tasks take processor time that others leave unused; their size counts no processor. */
  usesSpareCpu: z.boolean(),
  /** Most tasks of the step that the scheduler itself may make unavailable at once. */
  maxUnavailable: z.number().int().nonnegative()
})

/** A step of a workflow. */
export type WorkflowStep = z.infer<typeof workflowStepSchema>

/** A workflow as it is stored. */
export const workflowSchema = z.object({
  id: z.string().regex(/^[0-9a-f]{16}$/),
  queue: z.string().min(1),
  /** Opaque text handed to the workers. */
  payload: z.string().max(MAX_PAYLOAD_CHARS),
  /** Date of submission, in milliseconds since the Unix epoch. */
  submittedAtMs: z.number(),
  steps: z.array(workflowStepSchema).min(1).max(MAX_STEPS),
  /** Runs the steps `times` times; occurrence K is due at `startAtMs` + K x `intervalMs` since the Unix epoch. */
  repeat: z.object({ times: z.number().int().positive(), startAtMs: z.number(), intervalMs: z.number() }).optional()
}).superRefine((workflow, ctx) => {
  workflow.steps.forEach(({ after }, index) => {
    if (after.every(earlier => earlier < index)) return
    ctx.addIssue({ code: 'custom', path: ['steps', index, 'after'], message: 'may name earlier steps only' })
  })
})

/** A workflow as it is stored. */
export type Workflow = z.infer<typeof workflowSchema>

/** State of a workflow as told to callers. */
export type WorkflowState = typeof JOB_STATES[keyof typeof JOB_STATES]

/** What has become of a workflow's tasks, as it is stored. */
export const workflowProgressSchema = z.object({
  /** Final state; absent while the workflow runs. */
  state: z.enum(JOB_STATES).optional(),
  /** Date of the final state, in milliseconds since the Unix epoch. */
  endedAtMs: z.number().optional(),
  /** Queue of a workflow with a final state, whose own key is deleted. */
  queue: z.string().optional(),
  /** Tasks that are done: `occurrence.step` to ranges such as `0-3,7`. */
  done: z.record(z.string(), z.string()).default({}),
  /** Runs that failed: `occurrence.step.index` to their attempts. */
  failures: z.record(z.string(), z.array(z.number().int().positive())).default({}),
  /** Newest saved checkpoints of tasks that do not run: `occurrence.step.index` to the checkpoint. */
  checkpoints: z.record(z.string(), z.string()).default({})
})

/** What has become of a workflow's tasks, as it is stored. */
export type WorkflowProgress = z.infer<typeof workflowProgressSchema>

/** Progress of a workflow that has ended. */
export const endedWorkflowSchema = z.object({ state: z.enum(JOB_STATES), endedAtMs: z.number(), queue: z.string() })

/** Progress of a workflow that has ended. */
export type EndedWorkflow = z.infer<typeof endedWorkflowSchema>

/** Parts of a task's name. */
export interface TaskName {
  workflowId: string
  occurrence: number
  step: number
  index: number
}

/** `workflowId.occurrence.step.index`. */
export function formatTaskName ({ workflowId, occurrence, step, index }: TaskName): string {
  return `${workflowId}.${occurrence}.${step}.${index}`
}

/** The parts of a task's name. Undefined when it is no such name. */
export function parseTaskName (text: string): TaskName | undefined {
  const match = /^([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)$/.exec(text)
  if (!match) return
  return { workflowId: match[1], occurrence: Number(match[2]), step: Number(match[3]), index: Number(match[4]) }
}

/** `workflowId.occurrence.step`. */
export function formatStepName (workflowId: string, occurrence: number, step: number): string {
  return `${workflowId}.${occurrence}.${step}`
}
