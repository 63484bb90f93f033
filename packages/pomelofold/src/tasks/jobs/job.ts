/**
 * A job and its tasks in memory.
 *
 * @module
 */

import { JOB_KINDS, JOB_STATES, type JobSpec, type JobView } from '../../protocol/jobs.js'
import type { Capacity } from '../../protocol/vms.js'
import type { TaskRequest } from '../placementTypes.js'
import { formatRanges, parseRanges } from '../../utils/indexRanges.js'
import { JobHistory } from './jobHistory.js'
import { jobProgressSchema, type JobProgress, type JobRecord } from './jobRecord.js'

/** States of a run as its placer knows them. */
export const RUN_STATES = {
  /** Placed; the intent is being committed. */
  intending: 'intending',
  /** Waits to be sent. */
  queued: 'queued',
  /** Sent; no answer yet. */
  sent: 'sent',
  /** The answer to the start was lost. */
  unsure: 'unsure',
  running: 'running',
  /** Asked to stop. */
  stopping: 'stopping'
} as const

/** One start of one task at one worker. */
export interface TaskRun {
  taskId: string
  /** Absent for a task that is listed by a worker but belongs to no job that may run. */
  job?: Job
  index: number
  worker: string
  /** Size that it counts with. */
  size: Capacity
  state: typeof RUN_STATES[keyof typeof RUN_STATES]
  sentAtMs: number
  /** Monotonic time of the expected end. */
  expectedEndMs: number
  /** Calls for a checkpoint before the stop. */
  checkpointRequestedMs?: number
  throttled?: boolean
  /** Usage as last reported. */
  usage?: Capacity
}

/** A group of equal tasks. `expectedMs` 0 runs until stopped. */
export interface TaskGroup {
  count: number
  size: Capacity
  expectedMs: number
  payload: string
}

/** What is planned of a job or a long-running service. */
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

/** The plan of an accepted job. */
export function planOf ({ jobId, spec, acceptedAtMs }: JobRecord): JobPlan {
  const { kind, class: jobClass, team, name, family = name, within, atMostOnce, tasks } = spec
  return { jobId, kind, class: jobClass, team, family, within, atMostOnce, groups: tasks, acceptedAtMs }
}

/** Job in memory. Its tasks are numbered from 0 through its groups. */
export class Job {
  readonly plan: JobPlan
  record: JobRecord | undefined
  readonly history = new JobHistory()
  /** Tasks that wait to be placed. */
  readonly waiting = new Set<number>()
  readonly runs = new Map<number, TaskRun>()
  readonly finished: Set<number>
  readonly failed: Set<number>
  readonly unknown: Set<number>
  readonly checkpoints: Map<number, string>
  /** At most once: worker of each task that may have been sent. */
  readonly intents = new Map<number, string>()
  /** Workers at which a task of the job failed. */
  readonly avoid = new Set<string>()
  /** Ended runs to acknowledge after the next commit. */
  pendingAcks: Array<{ worker: string, taskId: string }> = []
  ended: JobProgress['state']
  reason: string | undefined
  endedAtMs: number | undefined
  firstStartAtMs: number | undefined
  waitingFor: string | undefined
  /** True until all workers that may run its tasks have answered or their leases have ended. */
  heldByTakeover = false
  /** True while a gang is stopped so that it can start again as a whole. */
  restartingGang = false
  /** Monotonic time before which it is not placed. */
  notBeforeMs = 0
  /** State of the fleet at which it last found no room. */
  blockedAtVersion = -1
  /** True while less urgent tasks are being stopped for it. */
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

  get total (): number {
    return this._groupByIndex.length
  }

  get isGang (): boolean {
    return this.plan.kind === JOB_KINDS.gang
  }

  /** True when members that have finished run again with their gang. */
  get restartsAsWhole (): boolean {
    return this.isGang && !this.plan.atMostOnce
  }

  get isService (): boolean {
    return this.plan.kind === JOB_KINDS.service
  }

  groupOf (index: number): TaskGroup {
    return this._groupByIndex[index]
  }

  /** True when the task has ended for good. */
  isSettled (index: number): boolean {
    return this.finished.has(index) || this.failed.has(index) || this.unknown.has(index)
  }

  /** True when every task has ended for good and nothing runs. */
  get isComplete (): boolean {
    return this.runs.size === 0 && this.finished.size + this.failed.size + this.unknown.size === this.total
  }

  /** A task as placement is asked about it. */
  taskRequest (index: number, taskId: string, size: Capacity): TaskRequest {
    const { jobId, kind, class: jobClass, team } = this.plan
    return { taskId, jobId, kind, class: jobClass, team, size, avoid: this.avoid }
  }

  /** Requests for all tasks at their declared sizes. */
  declaredRequests (): TaskRequest[] {
    return this._groupByIndex.map((group, index) => this.taskRequest(index, `${this.jobId}:${index}:plan`, group.size))
  }

  /** What is kept of the job's progress. Payload and tasks are not part of it. */
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
      state: this.ended,
      reason: this.reason,
      firstStartAtMs: this.firstStartAtMs,
      endedAtMs: this.endedAtMs
    }
  }

  /** The job as told to callers. */
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
