/**
 * State of a workflow at the scheduler: its steps, tasks and runs.
 *
 * @module
 */

import type { AvoidedWorkers } from './avoidedWorkers.js'
import type { CrashRecord } from '../protocol/crashes.js'
import { JOB_STATES } from '../protocol/jobs.js'
import { addResources, formatStepName, formatTaskName, NO_RESOURCES, type WorkflowProgress, type Resources, type Workflow, type WorkflowState, type WorkflowStep } from '../protocol/workflows.js'
import { formatRanges, parseRanges } from '../utils/indexRanges.js'
import type { Answerer, RunHost } from './runHost.js'

/**
 * Maximum number of unfinished occurrences of a workflow that are considered at once: a caller may ask for any number of them, all
 * due at the same time.
 */
const MAX_OPEN_OCCURRENCES = 256

/** States of a task. */
export const TASK_STATES = { waiting: 'waiting', running: 'running', done: 'done' } as const

/** A task of a step. */
export interface Task {
  /** `workflowId.occurrence.step.index`. */
  readonly name: string
  /** Position among the tasks of the step, from 0. */
  readonly index: number
  readonly step: StepRuntime
  state: typeof TASK_STATES[keyof typeof TASK_STATES]
  /** Current run, also while it is starting or stopping. */
  run: Run | undefined
  /** Highest known attempt number. */
  attempt: number
  /** Numbers of the failed attempts. */
  failures: number[]
  /** Newest checkpoint; empty for none. */
  checkpoint: string
  /** The task is not started before this time, in milliseconds of the monotonic clock. */
  notBeforeMs: number
  /** Time at which the last run of the task ended, in milliseconds of the monotonic clock; undefined before the first run. */
  waitingSinceMs: number | undefined
  /** True when it was started in this term: no run that an earlier scheduler has started goes on. */
  startedInTerm: boolean
  /** Worker that has listed its run as running after the earlier scheduler had stopped: that has started no other. Undefined for none. */
  seenOn: RunHost | undefined
  /** Number of its earlier starts that another incarnation of their worker may still carry out. The task waits for them. */
  heldStarts: number
  /** Earlier runs that continue in parallel with the current one. */
  supersededRuns: Run[]
  /** Workers on which a run of the task, or of its gang, has failed or stalled; undefined for none. */
  avoid: AvoidedWorkers | undefined
  /** Crashes of workers that count against the task. */
  crashes: CrashRecord[]
  /** Number of these crashes that are not recorded in the store. A suspected task waits for them. */
  unrecordedCrashes: number
}

/** States of a run. In each of them, the run reserves room at its worker. */
export const RUN_STATES = {
  /** A start is being sent, and it is unknown whether the worker has carried it out. */
  starting: 'starting',
  running: 'running',
  /** A stop is being sent, or was confirmed and the end is not listed yet. */
  stopping: 'stopping'
} as const

/** A run of a task. */
export interface Run {
  /** Name of the task, also for a run without `task`. */
  readonly name: string
  readonly attempt: number
  readonly session: RunHost
  /** Undefined for a run that no waiting task needs; such a run is stopped. */
  readonly task: Task | undefined
  /** Team to whose usage the run counts; undefined when it is not known, or when there is none. */
  readonly team: string | undefined
  /** Room that the run reserves at its worker. Undefined when it is not known: then nothing starts beside it. */
  readonly size: Resources | undefined
  /** Resources with which it counts for its team: with the CPU of a task that uses spare CPU. Its size unless stated. */
  readonly teamSize?: Resources
  /** True for a run that was found in a worker's report: its age is not known. */
  readonly adopted: boolean
  state: typeof RUN_STATES[keyof typeof RUN_STATES]
  /** Time at which the run was started or first reported, in milliseconds of the monotonic clock. */
  readonly startedMs: number
  /** Time at which the try of the start in progress was sent, in milliseconds of the monotonic clock; undefined for none. */
  pendingStartMs: number | undefined
  /** Time at which the worker confirmed the start: reports requested later list the run or its end. */
  startConfirmedMs: number | undefined
  /** Incarnation that has confirmed the start; undefined while none has. */
  startConfirmedBy: Answerer | undefined
  /**
   * Time at which the last start without an answer was sent, in milliseconds of the monotonic clock: it may have been carried
   * out, or may be carried out later. Undefined when every start was answered or cannot have reached the worker.
   */
  unansweredMs: number | undefined
  /** True when the worker broke the connection off before it answered the start. */
  startBroken: boolean
  /** Time at which the worker confirmed the stop: when a report requested later does not list the run, the run has ended. */
  stopConfirmedMs: number | undefined
  /** Progress in percent, and the time at which it last changed. */
  percent: number
  progressedMs: number
  /** The worker's clock in the report that first showed this progress, in milliseconds; undefined before the first report. */
  progressedClockMs: number | undefined
  /** Last reported reading: tail latency in milliseconds of a serving task, CPU use in thousandths of a core of others. */
  reading: number | undefined
  /** Allowed speed in percent of full speed; undefined for a run whose pace an earlier scheduler may have changed. */
  pacePercent: number | undefined
}

/** A step of one occurrence of a workflow, with its tasks. */
export class StepRuntime {
  readonly workflow: WorkflowRuntime
  readonly occurrence: number
  readonly index: number
  /** `workflowId.occurrence.step`. */
  readonly name: string
  readonly spec: WorkflowStep
  readonly tasks: Task[]
  doneCount = 0
  /** Duration of the longest successful run, in milliseconds. */
  longestRunMs = 0
  /** Time at which the step was first considered for placement, in milliseconds of the monotonic clock. */
  readyMs: number | undefined
  /** True when a run of the step was in progress under the epoch of this scheduler: an earlier one cannot have seen the step end. */
  ranInTerm = false
  /** True while an earlier scheduler's runs of the step may be unseen: only tasks that were seen in this term may start. */
  awaitsPredecessor = false
  private _gangCheckpoint = ''

  constructor (workflow: WorkflowRuntime, occurrence: number, index: number) {
    this.workflow = workflow
    this.occurrence = occurrence
    this.index = index
    this.name = formatStepName(workflow.record.id, occurrence, index)
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
      waitingSinceMs: undefined,
      startedInTerm: false,
      seenOn: undefined,
      heldStarts: 0,
      supersededRuns: [],
      avoid: undefined,
      crashes: [],
      unrecordedCrashes: 0
    }))
  }

  /**
   * True when the step became ready under this scheduler's epoch: a step before it was still running then. An earlier scheduler
   * whose authority had ended before cannot have started its tasks.
   */
  get becameReadyInTerm (): boolean {
    const steps = this.workflow.steps(this.occurrence)!
    // A speculative step may have ended for the earlier scheduler while a copy of a task was still running.
    return this.spec.after.some(before => steps[before].ranInTerm && !steps[before].spec.speculative)
  }

  /** Key of the step within the workflow: `occurrence.step`. */
  get key (): string {
    return `${this.occurrence}.${this.index}`
  }

  get done (): boolean {
    return this.doneCount === this.tasks.length
  }

  /** Stores a checkpoint of a task. In a gang, a checkpoint of one member is valid for all of them. */
  noteCheckpoint (task: Task, checkpoint: string): void {
    task.checkpoint = checkpoint
    if (this.spec.gang) this._gangCheckpoint = checkpoint
  }

  /** Checkpoint to send with a start of the task: the same for all members of a gang. */
  checkpointOf (task: Task): string {
    return this.spec.gang ? this._gangCheckpoint : task.checkpoint
  }

  /** Time for which the task has waited since the step was ready and its last run ended, in milliseconds. */
  waitOf (task: Task, nowMs: number): number {
    return nowMs - Math.max(this.readyMs ?? nowMs, task.waitingSinceMs ?? 0)
  }

  /** Tasks that can be started now: waiting, without a run, a held start or an unrecorded crash, and past their delay. */
  waitingTasks (nowMs: number): Task[] {
    const waiting = this._waitingTasks(nowMs)
    return this.awaitsPredecessor ? waiting.filter(this._isSeen) : waiting
  }

  /** Tasks that wait only because a run that an earlier scheduler has started may be unseen. */
  unseenTasks (nowMs: number): Task[] {
    const isSeen = this._isSeen
    return this.awaitsPredecessor ? this._waitingTasks(nowMs).filter(task => !isSeen(task)) : []
  }

  /** True when tasks may start although runs of others may be unseen. */
  get hasSeenTasks (): boolean {
    return this.tasks.some(this._isSeen)
  }

  /** The members of a gang start together, so all of them must have been seen. */
  private get _isSeen (): (task: Task) => boolean {
    // The next incarnation of a worker may carry out a late try of the start.
    const isSeen = ({ startedInTerm, seenOn }: Task): boolean => startedInTerm || (seenOn !== undefined && !seenOn.restarted)
    if (!this.spec.gang) return isSeen
    const areAllSeen = this.tasks.every(isSeen)
    return () => areAllSeen
  }

  private _waitingTasks (nowMs: number): Task[] {
    const waiting: Task[] = []
    for (const task of this.tasks) {
      if (task.state !== TASK_STATES.waiting || task.run || task.notBeforeMs > nowMs || task.unrecordedCrashes > 0) continue
      // Steps that allow copies wait for no earlier start.
      if (task.heldStarts === 0 || this.spec.speculative) waiting.push(task)
    }
    return waiting
  }
}

/** A workflow with the state of its steps and tasks, for all occurrences. */
export class WorkflowRuntime {
  readonly record: Workflow
  /** Store revision at which the workflow was stored. */
  readonly revision: number
  /** Steps by number of the occurrence, for the occurrences accessed so far. */
  readonly occurrences = new Map<number, StepRuntime[]>()
  /** Recorded state, which is reported to callers. `running` is set without a record. */
  state: WorkflowState = JOB_STATES.accepted
  /** Final state, from its decision on; it becomes `state` once it has been recorded. */
  pendingFinalState: WorkflowState | undefined
  /** Why the workflow has failed. */
  reason: string | undefined
  cancelled = false
  /** True when the stored progress is older than this state. */
  dirty = false
  endedAtMs: number | undefined
  /** Time at which this scheduler received or loaded the workflow, in milliseconds of the monotonic clock. */
  readonly addedMs: number
  /** Number of tasks of each occurrence. */
  readonly tasksPerOccurrence: number
  private readonly _doneOccurrences = new Set<number>()

  constructor ({ record, revision, addedMs }: { record: Workflow, revision: number, addedMs: number }) {
    this.record = record
    this.revision = revision
    this.addedMs = addedMs
    this.tasksPerOccurrence = record.steps.reduce((sum, { tasks }) => sum + tasks, 0)
  }

  /** Number of occurrences; 1 for a workflow without repetition. */
  get times (): number {
    return this.record.repeat?.times ?? 1
  }

  /** True when no further task may start, because the workflow has ended or is cancelled. */
  get isOver (): boolean {
    return this.pendingFinalState !== undefined || this.cancelled || isFinal(this.state)
  }

  /** Due time of an occurrence, in milliseconds since the Unix epoch; undefined for a workflow without repetition. */
  dueAtMs (occurrence: number): number | undefined {
    const { repeat } = this.record
    return repeat && repeat.startAtMs + occurrence * repeat.intervalMs
  }

  /** Steps of an occurrence, created on first access. Undefined when the workflow has no such occurrence. */
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

  /**
   * Unfinished steps of due occurrences whose predecessors are done. Later occurrences follow when earlier ones have ended, and when
   * `mayLoad` allows the first access to their tasks.
   */
  openSteps (wallClockMs: number, mayLoad: () => boolean = () => true): StepRuntime[] {
    const open: StepRuntime[] = []
    let occurrences = 0
    for (let occurrence = 0; occurrence < this.times; occurrence++) {
      const dueAtMs = this.dueAtMs(occurrence)
      if (dueAtMs !== undefined && dueAtMs > wallClockMs) break
      if (this._doneOccurrences.has(occurrence)) continue
      if (occurrences++ === MAX_OPEN_OCCURRENCES) break
      if (!this.occurrences.has(occurrence) && !mayLoad()) break
      const steps = this.steps(occurrence)!
      for (const step of steps) {
        if (!step.done && step.spec.after.every(before => steps[before].done)) open.push(step)
      }
    }
    return open
  }

  /** Marks a task as done; in a gang, all of its tasks. Returns false when the task was already done. */
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

  /** Restores the state from the stored progress. */
  restore (progress: WorkflowProgress): void {
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
    this._restoreByTask(progress.crashes, (task, crashes) => { task.crashes = [...crashes] })
    this._restoreByTask(progress.checkpoints, (task, checkpoint) => task.step.noteCheckpoint(task, checkpoint))
    this.dirty = false
  }

  /** True when the next progress record contains a final state. */
  get nextRecordIsFinal (): boolean {
    return this.pendingFinalState !== undefined || isFinal(this.state)
  }

  /** Progress to write to the store. */
  progress (): WorkflowProgress {
    const done: Record<string, string> = {}
    const failures: Record<string, number[]> = {}
    const checkpoints: Record<string, string> = {}
    const crashes: WorkflowProgress['crashes'] = {}
    const final = this.nextRecordIsFinal
    for (const [occurrence, steps] of final ? [] : this.occurrences) {
      for (const step of steps) {
        const doneTasks = step.tasks.filter(task => task.state === TASK_STATES.done)
        if (doneTasks.length) done[step.key] = formatRanges(doneTasks.map(task => task.index))
        for (const task of step.done ? [] : step.tasks) {
          const key = `${occurrence}.${step.index}.${task.index}`
          if (task.failures.length) failures[key] = task.failures
          if (task.crashes.length) crashes[key] = task.crashes
          if (task.checkpoint && !task.run && task.state === TASK_STATES.waiting) checkpoints[key] = task.checkpoint
        }
      }
    }
    // A recorded final state is repeated in every later record.
    const state = this.pendingFinalState ?? (final ? this.state : undefined)
    const queue = final ? this.record.queue : undefined
    const leftRunning = final ? this._leftRunning() : undefined
    return { state, endedAtMs: this.endedAtMs, queue, done, failures, checkpoints, crashes, reason: this.reason, leftRunning }
  }

  /** Size of the runs that have not ended, with the starts that may still be carried out; undefined for none or without a team. */
  private _leftRunning (): WorkflowProgress['leftRunning'] {
    const { team } = this.record
    if (team === undefined) return
    let size: Resources = NO_RESOURCES
    let count = 0
    for (const step of [...this.occurrences.values()].flat()) {
      for (const { run, supersededRuns, heldStarts } of step.tasks) {
        const runs = (run ? 1 : 0) + supersededRuns.length + heldStarts
        size = addResources(size, step.spec.size, runs)
        count += runs
      }
    }
    return count > 0 ? { team, size } : undefined
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
