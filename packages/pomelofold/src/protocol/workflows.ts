/**
 * Workflows: jobs of several steps that are submitted to a queue. A step is a number of identical tasks that run on
 * workers.
 *
 * @module
 */

import { z } from 'zod'
import { crashRecordSchema } from './crashes.js'
import { JOB_STATES } from './jobs.js'

/** Maximum number of tasks in one step. */
export const MAX_TASKS_PER_STEP = 10_000
/** Maximum number of steps in one workflow. */
export const MAX_STEPS = 200
/** Maximum number of tasks in one workflow, of one occurrence. */
export const MAX_TASKS = 50_000
/** Maximum length of a payload, in UTF-16 code units. */
export const MAX_PAYLOAD_CHARS = 4_000

/** Resources that a task needs, or that a worker has. */
export const resourcesSchema = z.object({
  /** Thousandths of a core. */
  cpuMillis: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
  accelerators: z.number().nonnegative()
})

/** Resources that a task needs, or that a worker has. */
export type Resources = z.infer<typeof resourcesSchema>

/** No resources at all. */
export const NO_RESOURCES: Readonly<Resources> = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }

/** `a` plus `count` times `b`; a negative count subtracts. */
export function addResources (a: Resources, b: Resources, count = 1): Resources {
  return {
    cpuMillis: a.cpuMillis + count * b.cpuMillis,
    memoryMb: a.memoryMb + count * b.memoryMb,
    accelerators: a.accelerators + count * b.accelerators
  }
}

/** A step: identical tasks, which start when the steps listed in `after` are done. */
export const workflowStepSchema = z.object({
  tasks: z.number().int().min(1).max(MAX_TASKS_PER_STEP),
  size: resourcesSchema,
  /** Estimated run time of one task, in milliseconds. */
  estimateMs: z.number().nonnegative(),
  /** Indexes of earlier steps whose tasks must all be done first. */
  after: z.array(z.number().int().nonnegative()),
  /** The tasks save checkpoints, from which a later run can resume. */
  checkpointing: z.boolean(),
  /** The tasks run only while all of them run, and end together. */
  gang: z.boolean(),
  /** The tasks are slower when they run on more than one rack. */
  sameRack: z.boolean(),
  /** Label that a worker must have; empty if any worker will do. */
  requiredLabel: z.string(),
  /** Rack that holds the tasks' data; empty if the tasks have no preferred rack. */
  dataRack: z.string(),
  /** Maximum number of the step's tasks on one worker; 0 for no limit. */
  maxPerWorker: z.number().int().nonnegative(),
  /** The scheduler may run copies of a task at the same time. */
  speculative: z.boolean(),
  /** The tasks run until the workflow is cancelled. A task that ends is started again. */
  longRunning: z.boolean(),
  /** Program that the tasks run. Tasks with the same image have similar resource usage. */
  image: z.string(),
  /** Maximum tail latency of the tasks' answers, in milliseconds; 0 for no target. */
  latencyTargetMs: z.number().nonnegative(),
  /** The tasks use only CPU time that other tasks leave unused, so that no CPU is reserved for them. */
  usesSpareCpu: z.boolean(),
  /** Maximum number of the step's tasks that the scheduler may make unavailable at once, such as by moving them. */
  maxUnavailable: z.number().int().nonnegative()
})

/** A step of a workflow. */
export type WorkflowStep = z.infer<typeof workflowStepSchema>

/** Stored form of a workflow. */
export const workflowSchema = z.object({
  id: z.string().regex(/^[0-9a-f]{16}$/),
  queue: z.string().min(1),
  /** Team that submitted it; absent when its caller needed no key. */
  team: z.string().min(1).optional(),
  /** Text that is passed to the workers. The scheduler does not interpret it. */
  payload: z.string().max(MAX_PAYLOAD_CHARS),
  /** Date of submission, in milliseconds since the Unix epoch. */
  submittedAtMs: z.number(),
  steps: z.array(workflowStepSchema).min(1).max(MAX_STEPS),
  /** Runs the steps `times` times. Occurrence K is due at `startAtMs` + K x `intervalMs`, in milliseconds since the Unix epoch. */
  repeat: z.object({ times: z.number().int().positive(), startAtMs: z.number(), intervalMs: z.number() }).optional()
}).superRefine((workflow, ctx) => {
  const tasks = workflow.steps.reduce((sum, step) => sum + step.tasks, 0)
  if (tasks > MAX_TASKS) ctx.addIssue({ code: 'custom', path: ['steps'], message: `may have at most ${MAX_TASKS} tasks together` })
  workflow.steps.forEach(({ after }, index) => {
    if (after.every(earlier => earlier < index)) return
    ctx.addIssue({ code: 'custom', path: ['steps', index, 'after'], message: 'may name earlier steps only' })
  })
})

/** Stored form of a workflow. */
export type Workflow = z.infer<typeof workflowSchema>

/** State of a workflow as callers see it. */
export type WorkflowState = typeof JOB_STATES[keyof typeof JOB_STATES]

/** What a workflow that has ended has left running, for the team that it counts for. */
const leftRunningSchema = z.object({ team: z.string(), size: resourcesSchema })

/** Stored form of the progress of a workflow's tasks. */
export const workflowProgressSchema = z.object({
  /** Final state; absent while the workflow runs. */
  state: z.enum(JOB_STATES).optional(),
  /** Date of the final state, in milliseconds since the Unix epoch. */
  endedAtMs: z.number().optional(),
  /** Queue of the workflow. Present with a final state, since the workflow's own key is deleted then. */
  queue: z.string().optional(),
  /** Indexes of the tasks that are done, as ranges such as `0-3,7`, by `occurrence.step`. */
  done: z.record(z.string(), z.string()).default({}),
  /** Attempt numbers of the runs that failed, by `occurrence.step.index`. */
  failures: z.record(z.string(), z.array(z.number().int().positive())).default({}),
  /** Latest checkpoints of the tasks that are not running, by `occurrence.step.index`. */
  checkpoints: z.record(z.string(), z.string()).default({}),
  /** Crashes of workers that count against a task, by `occurrence.step.index`. */
  crashes: z.record(z.string(), z.array(crashRecordSchema)).default({}),
  /** Why the workflow has failed, for callers. */
  reason: z.string().optional(),
  /** Runs that had not ended when the final state was decided. Absent when there were none, or when the workflow has no team. */
  leftRunning: leftRunningSchema.optional()
})

/** Stored form of the progress of a workflow's tasks. */
export type WorkflowProgress = z.infer<typeof workflowProgressSchema>

/** Stored form of the progress of a workflow that has ended. */
export const endedWorkflowSchema = z.object({
  state: z.enum(JOB_STATES),
  endedAtMs: z.number(),
  queue: z.string(),
  reason: z.string().optional(),
  leftRunning: leftRunningSchema.optional()
})

/** Stored form of the progress of a workflow that has ended. */
export type EndedWorkflow = z.infer<typeof endedWorkflowSchema>

/** Parts of a task's name. */
export interface TaskName {
  workflowId: string
  occurrence: number
  step: number
  index: number
}

/** Formats a task's name: `workflowId.occurrence.step.index`. */
export function formatTaskName ({ workflowId, occurrence, step, index }: TaskName): string {
  return `${workflowId}.${occurrence}.${step}.${index}`
}

/** Parses a task's name. Returns undefined if `text` is not one. */
export function parseTaskName (text: string): TaskName | undefined {
  const match = /^([0-9a-f]{16})\.(\d+)\.(\d+)\.(\d+)$/.exec(text)
  if (!match) return
  return { workflowId: match[1], occurrence: Number(match[2]), step: Number(match[3]), index: Number(match[4]) }
}

/** Formats a step's name: `workflowId.occurrence.step`. */
export function formatStepName (workflowId: string, occurrence: number, step: number): string {
  return `${workflowId}.${occurrence}.${step}`
}

/** State of a workflow for its caller. */
export interface WorkflowStatus {
  state: WorkflowState
  queue: string
  /** Why the workflow has failed. */
  reason?: string
}

/** What became of a leader's entry that a peer was asked to delete. */
export const RELEASE_OUTCOMES = {
  released: 'released',
  /** The entry was not deleted, and will not be. */
  kept: 'kept',
  /** The answer of the store was lost. */
  unknown: 'unknown'
} as const

/** One of {@link RELEASE_OUTCOMES}. */
export type ReleaseOutcome = typeof RELEASE_OUTCOMES[keyof typeof RELEASE_OUTCOMES]
