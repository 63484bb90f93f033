/**
 * One workflow at the scheduler: which of its tasks wait, run and are done.
 *
 * @module
 */

import { JOB_STATES } from '../protocol/jobs.js'
import { formatTaskName, type Progress, type Room, type Workflow, type WorkflowState, type WorkflowStep } from '../protocol/workflows.js'
import { formatRanges, parseRanges } from '../utils/indexRanges.js'
import type { RunHost } from './runHost.js'

/** States of a task. */
export const TASK_STATES = { waiting: 'waiting', running: 'running', done: 'done' } as const

/** A task of a step. */
export interface Task {
  readonly name: string
  readonly index: number
  readonly step: StepRuntime
  state: typeof TASK_STATES[keyof typeof TASK_STATES]
  /** The current run, also while it starts or stops. */
  run: Run | undefined
  /** Highest attempt that is known. */
  attempt: number
  /** Attempts that failed. */
  failures: number[]
  checkpoint: string
  /** Not started before then, in milliseconds of the monotonic clock. */
  notBeforeMs: number
  /** Earlier runs that go on beside the current one. */
  supersededRuns: Run[]
  /** Workers at which a run of the task has failed or hung. */
  avoid: Set<string> | undefined
}

/** States of a run. A run counts at its worker in each of them. */
export const RUN_STATES = {
  /** The start has been sent, and it is not known whether it has been carried out. */
  starting: 'starting',
  running: 'running',
  /** A stop has been sent. */
  stopping: 'stopping'
} as const

/** A run of a task. */
export interface Run {
  readonly name: string
  readonly attempt: number
  readonly session: RunHost
  /** Undefined for a run that no task here needs; it is stopped. */
  readonly task: Task | undefined
  readonly size: Room
  state: typeof RUN_STATES[keyof typeof RUN_STATES]
  /** Time of the start or of its discovery, in milliseconds of the monotonic clock. */
  readonly startedMs: number
  /** The worker confirmed the start at this time: lists asked for later show the run or its end. */
  startConfirmedMs: number | undefined
  /** A start of it got no answer and may still be carried out. */
  startUnanswered: boolean
  /** The worker confirmed the stop at this time: when a list asked for later does not show the run, it is gone. */
  stopConfirmedMs: number | undefined
  /** Share of the work that is done, in percent, and when it last changed. */
  percent: number
  progressedMs: number
  reading: number | undefined
  /** Share of its speed that the run is allowed, in percent; undefined for one that an earlier scheduler may have paced. */
  pacePercent: number | undefined
}

/** A step of one occurrence. */
export class StepRuntime {
  readonly workflow: WorkflowRuntime
  readonly occurrence: number
  readonly index: number
  readonly spec: WorkflowStep
  readonly tasks: Task[]
  doneCount = 0
  /** Longest run of a task that is done, in milliseconds. */
  longestRunMs = 0
  /** Time at which the step became ready, in milliseconds of the monotonic clock. */
  readyMs: number | undefined
  private _gangCheckpoint = ''

  constructor (workflow: WorkflowRuntime, occurrence: number, index: number) {
    this.workflow = workflow
    this.occurrence = occurrence
    this.index = index
    this.spec = workflow.record.steps[index]
    this.tasks = Array.from({ length: this.spec.tasks }, (_, taskIndex) => ({
      name: formatTaskName({ workflowId: workflow.record.id, occurrence, step: index, index: taskIndex }),
      index: taskIndex,
      step: this,
      state: TASK_STATES.waiting,
      run: undefined,
      attempt: 0,
      failures: [],
      checkpoint: '',
      notBeforeMs: 0,
      supersededRuns: [],
      avoid: undefined
    }))
  }

  /** `occurrence.step`, the step's name within the workflow. */
  get key (): string {
    return `${this.occurrence}.${this.index}`
  }

  get done (): boolean {
    return this.doneCount === this.tasks.length
  }

  /** Notes a checkpoint of a task. One of any member of a gang is valid for all of them. */
  noteCheckpoint (task: Task, checkpoint: string): void {
    task.checkpoint = checkpoint
    if (this.spec.gang) this._gangCheckpoint = checkpoint
  }

  /** Checkpoint that a start of the task carries: the same for all members of a gang. */
  checkpointOf (task: Task): string {
    return this.spec.gang ? this._gangCheckpoint : task.checkpoint
  }

  /** Tasks that wait and have no run left. */
  waitingTasks (nowMs: number): Task[] {
    return this.tasks.filter(task => task.state === TASK_STATES.waiting && !task.run && task.notBeforeMs <= nowMs)
  }
}

/** A workflow and the state of its tasks. */
export class WorkflowRuntime {
  readonly record: Workflow
  /** Revision of the store at which the workflow was stored. */
  readonly revision: number
  readonly occurrences = new Map<number, StepRuntime[]>()
  /** State as recorded in the store; what callers are told. */
  state: WorkflowState = JOB_STATES.accepted
  /** Final state that is decided and not recorded yet. */
  pendingFinalState: WorkflowState | undefined
  cancelled = false
  /** True when the stored progress is older than the state here. */
  dirty = false
  endedAtMs: number | undefined
  /** Time at which this scheduler learned of the workflow, in milliseconds of the monotonic clock. */
  readonly learnedMs: number
  private readonly _doneOccurrences = new Set<number>()

  constructor ({ record, revision, learnedMs }: { record: Workflow, revision: number, learnedMs: number }) {
    this.record = record
    this.revision = revision
    this.learnedMs = learnedMs
  }

  /** Number of occurrences. */
  get times (): number {
    return this.record.repeat?.times ?? 1
  }

  /** True when no further task may start. */
  get isOver (): boolean {
    return this.pendingFinalState !== undefined || this.cancelled || isFinal(this.state)
  }

  /** Due time of an occurrence, in milliseconds since the Unix epoch; undefined for a workflow without repetition. */
  dueAtMs (occurrence: number): number | undefined {
    const { repeat } = this.record
    return repeat && repeat.startAtMs + occurrence * repeat.intervalMs
  }

  /** Steps of an occurrence, made when first asked for. Undefined when there is no such occurrence. */
  steps (occurrence: number): StepRuntime[] | undefined {
    if (occurrence >= this.times) return
    let steps = this.occurrences.get(occurrence)
    if (!steps) {
      steps = this.record.steps.map((_, index) => new StepRuntime(this, occurrence, index))
      this.occurrences.set(occurrence, steps)
    }
    return steps
  }

  task (occurrence: number, step: number, index: number): Task | undefined {
    return this.steps(occurrence)?.[step]?.tasks[index]
  }

  /** Steps whose predecessors are done and that have tasks left, of occurrences that are due. */
  openSteps (wallClockMs: number): StepRuntime[] {
    const open: StepRuntime[] = []
    for (let occurrence = 0; occurrence < this.times; occurrence++) {
      const dueAtMs = this.dueAtMs(occurrence)
      if (dueAtMs !== undefined && dueAtMs > wallClockMs) break
      if (this._doneOccurrences.has(occurrence)) continue
      const steps = this.steps(occurrence)!
      for (const step of steps) {
        if (!step.done && step.spec.after.every(before => steps[before].done)) open.push(step)
      }
    }
    return open
  }

  /** Marks a task done, and the whole step when it is a gang. Returns false when it was done already. */
  markDone (task: Task): boolean {
    if (task.state === TASK_STATES.done) return false
    const { step } = task
    for (const member of step.spec.gang ? step.tasks : [task]) {
      if (member.state === TASK_STATES.done) continue
      member.state = TASK_STATES.done
      step.doneCount++
    }
    this.dirty = true
    const steps = this.occurrences.get(step.occurrence)!
    if (steps.every(other => other.done)) this._doneOccurrences.add(step.occurrence)
    return true
  }

  /** True when all tasks of all occurrences are done. */
  get complete (): boolean {
    return this._doneOccurrences.size === this.times
  }

  /** Takes over what the store holds. */
  restore (progress: Progress): void {
    if (progress.state !== undefined) this.state = progress.state
    this.endedAtMs = progress.endedAtMs
    for (const [key, ranges] of Object.entries(progress.done)) {
      const [occurrence, step] = key.split('.').map(Number)
      for (const index of parseRanges(ranges)) {
        const task = this.task(occurrence, step, index)
        if (task) this.markDone(task)
      }
    }
    this._restoreByTask(progress.failures, (task, attempts) => {
      task.failures = [...attempts]
      task.attempt = Math.max(task.attempt, ...attempts)
    })
    this._restoreByTask(progress.checkpoints, (task, checkpoint) => task.step.noteCheckpoint(task, checkpoint))
    this.dirty = false
  }

  /** True when the next record holds a final state. */
  get nextRecordIsFinal (): boolean {
    return this.pendingFinalState !== undefined || isFinal(this.state)
  }

  /** What the store is to hold. */
  progress (): Progress {
    const done: Record<string, string> = {}
    const failures: Record<string, number[]> = {}
    const checkpoints: Record<string, string> = {}
    const final = this.nextRecordIsFinal
    for (const [occurrence, steps] of final ? [] : this.occurrences) {
      for (const step of steps) {
        const doneTasks = step.tasks.filter(task => task.state === TASK_STATES.done)
        if (doneTasks.length) done[step.key] = formatRanges(doneTasks.map(task => task.index))
        for (const task of step.done ? [] : step.tasks) {
          const key = `${occurrence}.${step.index}.${task.index}`
          if (task.failures.length) failures[key] = task.failures
          if (task.checkpoint && !task.run && task.state === TASK_STATES.waiting) checkpoints[key] = task.checkpoint
        }
      }
    }
    // A final state that has been recorded stays in every later record.
    const state = this.pendingFinalState ?? (final ? this.state : undefined)
    return { state, endedAtMs: this.endedAtMs, queue: final ? this.record.queue : undefined, done, failures, checkpoints }
  }

  private _restoreByTask<T> (values: Record<string, T>, restore: (task: Task, value: T) => void): void {
    for (const [key, value] of Object.entries(values)) {
      const [occurrence, step, index] = key.split('.').map(Number)
      const task = this.task(occurrence, step, index)
      if (task) restore(task, value)
    }
  }
}

const FINAL_STATES: ReadonlySet<WorkflowState> = new Set([JOB_STATES.done, JOB_STATES.failed, JOB_STATES.cancelled])

/** True for states that never change. */
export function isFinal (state: WorkflowState): boolean {
  return FINAL_STATES.has(state)
}
