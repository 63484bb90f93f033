/**
 * The state of a job and its tasks in the memory of the placer.
 *
 * @module
 */

import type { CrashRecord } from '../../protocol/crashes.js'
import { JOB_KINDS, JOB_STATES, type JobSpec, type JobView } from '../../protocol/jobs.js'
import type { Capacity } from '../../protocol/vms.js'
import type { TaskRequest } from '../placementTypes.js'
import { formatRanges, parseRanges } from '../../utils/indexRanges.js'
import { JobHistory } from './jobHistory.js'
import { jobProgressSchema, type JobProgress, type JobRecord } from './jobRecord.js'

/** States of a run in the memory of its placer. */
export const RUN_STATES = {
  /** Placed; the intent to send it is being committed. Only for at-most-once jobs. */
  intending: 'intending',
  /** Placed; waits to be sent. */
  queued: 'queued',
  /** Sent; no answer yet. */
  sent: 'sent',
  /** Sent, but the answer was lost: the task may or may not run. */
  unsure: 'unsure',
  running: 'running',
  /** A stop was requested; the worker has not listed the end yet. The start may be unanswered. */
  stopping: 'stopping'
} as const

/** One start of one task at one worker. */
export interface TaskRun {
  taskId: string
  /** Absent for a task that a worker lists but no job wants to run. */
  job?: Job
  index: number
  worker: string
  /** Size with which the run counts at its worker. */
  size: Capacity
  state: typeof RUN_STATES[keyof typeof RUN_STATES]
  /** Monotonic time at which the start was sent. */
  sentAtMs: number
  /**
   * Monotonic time until which the start may still arrive at the worker, whatever the state. Absent while the start has not been
   * sent, and once the worker has answered it or has listed the task.
   */
  mayArriveUntilMs?: number
  /** Monotonic time of the expected end. */
  expectedEndMs: number
  /** Monotonic time at which a checkpoint was requested, after which the run is stopped. */
  checkpointRequestedMs?: number
  throttled?: boolean
  /** Last reported usage. */
  usage?: Capacity
  /** Monotonic time at which its trial ends, for a task that is suspected of crashing its workers. */
  trialEndMs?: number
}

/** A group of equal tasks. With an `expectedMs` of 0 they run until stopped. */
export interface TaskGroup {
  count: number
  size: Capacity
  expectedMs: number
  payload: string
}

/** What a job or a long-running service asks for. Does not change while it runs. */
export interface JobPlan {
  jobId: string
  kind: TaskRequest['kind']
  class: TaskRequest['class']
  team: string
  family: string
  within: JobSpec['within']
  atMostOnce: boolean
  groups: TaskGroup[]
  acceptedAtMs: number
}

/** Returns the plan of an accepted job. */
export function planOf ({ jobId, spec, acceptedAtMs }: JobRecord): JobPlan {
  const { kind, class: jobClass, team, name, family = name, within, atMostOnce, tasks } = spec
  return { jobId, kind, class: jobClass, team, family, within, atMostOnce, groups: tasks, acceptedAtMs }
}

/** A job in memory. Its tasks are numbered from 0, across all groups. */
export class Job {
  readonly plan: JobPlan
  /** Absent for long-running services, which are declared in the manifest and not stored. */
  record: JobRecord | undefined
  readonly history = new JobHistory()
  /** Indexes of tasks that wait to be placed. */
  readonly waiting = new Set<number>()
  /** Current runs by task index. */
  readonly runs = new Map<number, TaskRun>()
  /** Indexes of tasks that have finished, failed for good, or ended with an unknown outcome. */
  readonly finished: Set<number>
  readonly failed: Set<number>
  readonly unknown: Set<number>
  /** Last checkpoint by task index. */
  readonly checkpoints: Map<number, string>
  /** At-most-once jobs only: worker by index of each task that may have been sent. */
  readonly intents = new Map<number, string>()
  /** Workers on which a task of the job failed lately; its tasks are not placed there. Emptied when it contains all workers. */
  readonly avoid = new Set<string>()
  /** Crashes of workers that count against a task, by its index. */
  readonly crashes = new Map<number, CrashRecord[]>()
  /** Ended runs to acknowledge to their workers after the next commit. */
  pendingAcks: Array<{ worker: string, taskId: string }> = []
  /** Final state. Undefined until the job has ended. */
  ended: JobProgress['state']
  reason: string | undefined
  endedAtMs: number | undefined
  firstStartAtMs: number | undefined
  waitingFor: string | undefined
  /** True after a takeover, until all workers that may run its tasks have listed them or their leases have expired. */
  heldByTakeover = false
  /** True while the remaining runs of a gang are stopped so that all its tasks can start again together. */
  restartingGang = false
  /** Monotonic time before which no task of the job is placed. */
  notBeforeMs = 0
  /** `capacityVersion` of the ledger at which there was last no room for the job. It is not tried again at the same version. */
  blockedAtVersion = -1
  /** Not used: always false. */
  preempting = false
  private readonly _groupByIndex: TaskGroup[]

  constructor ({ plan, record, progress = jobProgressSchema.parse({}) }: { plan: JobPlan, record?: JobRecord, progress?: JobProgress }) {
    this.plan = plan
    this.record = record
    this._groupByIndex = plan.groups.flatMap(group => Array.from({ length: group.count }, () => group))
    this.finished = parseRanges(progress.finished)
    this.failed = parseRanges(progress.failed)
    this.unknown = parseRanges(progress.unknown)
    this.checkpoints = new Map(Object.entries(progress.checkpoints).map(([index, text]) => [Number(index), text]))
    for (const [index, crashes] of Object.entries(progress.crashes)) this.crashes.set(Number(index), crashes)
    for (const [worker, ranges] of Object.entries(progress.intents)) {
      for (const index of parseRanges(ranges)) this.intents.set(index, worker)
    }
    this.ended = progress.state
    this.reason = progress.reason
    this.endedAtMs = progress.endedAtMs
    this.firstStartAtMs = progress.firstStartAtMs
    for (let index = 0; index < this.total; index++) {
      if (!this.isSettled(index)) this.waiting.add(index)
    }
  }

  get jobId (): string {
    return this.plan.jobId
  }

  /** Number of tasks. */
  get total (): number {
    return this._groupByIndex.length
  }

  get isGang (): boolean {
    return this.plan.kind === JOB_KINDS.gang
  }

  /** True when finished tasks of a gang run again if the gang restarts. */
  get restartsAsWhole (): boolean {
    return this.isGang && !this.plan.atMostOnce
  }

  get isService (): boolean {
    return this.plan.kind === JOB_KINDS.service
  }

  /** Group that contains the task. */
  groupOf (index: number): TaskGroup {
    return this._groupByIndex[index]
  }

  /** True when the task has ended and will not run again. */
  isSettled (index: number): boolean {
    return this.finished.has(index) || this.failed.has(index) || this.unknown.has(index)
  }

  /** True when every task has ended and no run is left. */
  get isComplete (): boolean {
    return this.runs.size === 0 && this.finished.size + this.failed.size + this.unknown.size === this.total
  }

  /** Returns the placement request for a task. */
  taskRequest (index: number, taskId: string, size: Capacity): TaskRequest {
    const { jobId, kind, class: jobClass, team } = this.plan
    return { taskId, jobId, kind, class: jobClass, team, size, avoid: this.avoid }
  }

  /** Returns placement requests for all tasks at their declared sizes. */
  declaredRequests (): TaskRequest[] {
    return this._groupByIndex.map((group, index) => this.taskRequest(index, `${this.jobId}:${index}:plan`, group.size))
  }

  /** Progress to store. The declared tasks and their payloads are stored with the job's record. */
  progress (): JobProgress {
    const intents = new Map<string, number[]>()
    for (const [index, worker] of this.intents) {
      const indexes = intents.get(worker)
      if (indexes) indexes.push(index)
      else intents.set(worker, [index])
    }
    return {
      finished: formatRanges(this.restartsAsWhole && !this.ended ? [] : this.finished),
      failed: formatRanges(this.failed),
      unknown: formatRanges(this.unknown),
      intents: Object.fromEntries([...intents].map(([worker, indexes]) => [worker, formatRanges(indexes)])),
      checkpoints: this.ended ? {} : Object.fromEntries(this.checkpoints),
      crashes: this.ended ? {} : Object.fromEntries(this.crashes),
      state: this.ended,
      reason: this.reason,
      firstStartAtMs: this.firstStartAtMs,
      endedAtMs: this.endedAtMs
    }
  }

  /** The job in the form that callers receive. Undefined for long-running services. */
  view (failureDomain: string): JobView | undefined {
    if (!this.record) return undefined
    const running = [...this.runs.values()].filter(run => run.state !== RUN_STATES.queued && run.state !== RUN_STATES.intending).length
    const { size: finished } = this.finished
    const counts = { total: this.total, running, finished, failed: this.failed.size, unknown: this.unknown.size }
    const waiting = this.ended ? 0 : this.total - running - finished - counts.failed - counts.unknown
    const { jobId, spec, acceptedAtMs } = this.record
    const started = this.firstStartAtMs !== undefined
    return {
      jobId,
      spec,
      failureDomain,
      acceptedAtMs,
      state: this.ended ?? (started ? JOB_STATES.running : JOB_STATES.accepted),
      tasks: { ...counts, waiting },
      waitingFor: this.ended ? this.reason : this.waitingFor,
      waitedMs: this.firstStartAtMs === undefined ? undefined : Math.max(0, this.firstStartAtMs - acceptedAtMs)
    }
  }
}
