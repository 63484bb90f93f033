/**
 * Finds the tasks that crash their workers: records crashes with the tasks that ran there, keeps suspected tasks on trial, and
 * clears them or gives them up.
 *
 * @module
 */

import { CrashIndex } from './crashIndex.js'
import { ANSWERERS } from './runHost.js'
import type { WorkerSession } from './workerSession.js'
import { RUN_STATES, TASK_STATES, type Run, type Task, type WorkflowRuntime } from './workflowRuntime.js'
import { EVIDENCE_AGE_MAX_MS, crashWeight, describeCrashes, judge, trialMs, VERDICTS, YOUNG_RUN_MS, type Verdict } from '../crashes/crashEvidence.js'
import { UNCONFIRMED_STARTS, type CrashRecord, type UnconfirmedStart } from '../protocol/crashes.js'
import type { Timers } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'

/** Time within which lost workers count as lost at once, in milliseconds. */
const SIMULTANEOUS_MS = 100
/** Number of workers, and share of all of them, that are many to lose at once. */
const MANY_WORKERS_MIN = 2
const MANY_WORKERS_SHARE = 0.05
/** Time within which workers of a failure domain count as lost together, in milliseconds: a cut is noticed by call after call. */
const DOMAIN_LOSS_MS = 1_000
/** Minimum number of them. */
const MANY_OF_DOMAIN_MIN = 4
/** Time for which a crash at an address makes further ones there likely, in milliseconds. */
const UNSTABLE_ADDRESS_MS = 60_000
/** Share of the usable workers on which tasks may be on trial at once. */
const TRIAL_SHARE_MAX = 0.125

/** Counts since the start of the term. */
export interface CrashCounts {
  crashedWorkers: number
  suspectedTasks: number
  clearedTasks: number
  givenUpTasks: number
  /** Crashes that count against a task whose start the worker had not confirmed. */
  unconfirmedCrashes: number
}

/** Options of a {@link CrashTracker}. */
export interface CrashTrackerOptions {
  timers: Timers
  log: EventLog
  /** Number of workers with a session. */
  workerCount: () => number
  /** Called when the crashes of a task have changed and have to be recorded. */
  onChanged: (workflow: WorkflowRuntime) => void
  /** Resolves when the changes of the workflow so far are recorded. */
  whenRecorded: (workflow: WorkflowRuntime) => Promise<void>
  /** Called when a task may be started after its crash was recorded. */
  onRecorded: () => void
  /** Called when a task is known to crash its workers. */
  onGivenUp: (workflow: WorkflowRuntime, reason: string) => void
}

/** Follows the crashes of workers and the trials of tasks. */
export class CrashTracker {
  private readonly _options: CrashTrackerOptions
  /** Runs on trial, by worker. */
  private readonly _trials = new Map<WorkerSession, Set<Run>>()
  /** Times at which workers were lost, by incarnation, in milliseconds of the monotonic clock. */
  private readonly _losses = new Map<string, number>()
  /** Workers that were lost lately with their times, by failure domain, in milliseconds of the monotonic clock. */
  private readonly _domainLosses = new Map<string, Map<string, number>>()
  /** Incarnations that crashed last, by address, with the times in milliseconds of the monotonic clock. */
  private readonly _lastCrashes = new Map<string, { incarnation: string, atMs: number }>()
  /** Tasks with crashes, by the incarnation of the worker. */
  private readonly _index = new CrashIndex()
  private readonly _counts: CrashCounts = { crashedWorkers: 0, suspectedTasks: 0, clearedTasks: 0, givenUpTasks: 0, unconfirmedCrashes: 0 }

  constructor (options: CrashTrackerOptions) {
    this._options = options
  }

  /** Copy of the current counts. */
  get counts (): CrashCounts {
    return { ...this._counts }
  }

  /** Notes that a worker no longer answers. */
  noteLoss ({ incarnation, lostMs, entry: { failureDomain } }: WorkerSession): void {
    const ofDomain = this._domainLosses.get(failureDomain) ?? new Map<string, number>()
    this._domainLosses.set(failureDomain, ofDomain)
    for (const [other, atMs] of ofDomain) if (lostMs - atMs > DOMAIN_LOSS_MS) ofDomain.delete(other)
    ofDomain.set(incarnation, lostMs)
    for (const [other, atMs] of this._losses) if (lostMs - atMs > SIMULTANEOUS_MS) this._losses.delete(other)
    this._losses.set(incarnation, lostMs)
  }

  /** Records the crash of a worker with the tasks that ran there. */
  noteCrash (session: WorkerSession, evidence: string): void {
    const { log } = this._options
    this.noteLoss(session)
    this._counts.crashedWorkers++
    this._index.prune()
    const repeated = this.hasCrashedLately(session)
    const former = this._lastCrashes.get(session.entry.address)?.incarnation
    this._lastCrashes.set(session.entry.address, { incarnation: session.incarnation, atMs: session.lostMs })
    const recentRuns = [...session.runs.values()].filter(run => !cameAfterCrash(run) && ageAtLoss(run) <= EVIDENCE_AGE_MAX_MS)
    const runs = [...session.runs.values()].filter(run => this._mayBeCause(run))
    log.event('warn', 'worker.crashed', {
      worker: session.incarnation,
      evidence,
      runs: session.runs.size,
      youngRuns: recentRuns.filter(wasYoungAtLoss).length,
      unconfirmedRuns: runs.filter(run => confirmedMs(run) === undefined).length,
      onTrial: this._trials.get(session)?.size ?? 0,
      lostAtOnce: this._losses.size,
      repeated
    })
    for (const run of runs) {
      // A task's own former crash at the address is no excuse for it.
      const isOwn = run.task!.crashes.some(({ worker }) => worker === former)
      const areOthersLost = this._wereManyLostSince(run.startedMs) || this._isDomainCutOff(session)
      this._addEvidence(run, session, { doubtful: (repeated && !isOwn) || areOthersLost, recentRuns })
    }
    this._trials.delete(session)
  }

  /** Notes the crashes that an earlier scheduler has recorded. */
  noteLoaded (workflows: Iterable<WorkflowRuntime>): void {
    for (const workflow of workflows) {
      for (const task of [...workflow.occurrences.values()].flat().flatMap(({ tasks }) => tasks)) {
        for (const { worker } of task.crashes) this._index.add(worker, task)
      }
    }
  }

  /** Withdraws the crash of a worker that has answered a call sent later: a device between them had refused the connections. */
  noteAnswered ({ incarnation, entry: { address } }: WorkerSession, requestSentMs: number): void {
    const crash = this._index.get(incarnation)
    if (!crash || requestSentMs < crash.noticedMs) return
    this._index.delete(incarnation)
    if (this._lastCrashes.get(address)?.incarnation === incarnation) this._lastCrashes.delete(address)
    for (const task of crash.tasks) this._withdraw(task, incarnation, 'its worker answered again')
  }

  /** Withdraws the crash of a worker from the task of a start that was not carried out there. */
  noteStartRefused ({ task, session: { incarnation } }: Run): void {
    if (task) this._withdraw(task, incarnation, 'its start was not carried out')
  }

  private _withdraw (task: Task, incarnation: string, reason: string): void {
    const crash = task.crashes.find(({ worker }) => worker === incarnation)
    if (!crash || task.step.workflow.isOver) return
    task.crashes = task.crashes.filter(({ worker }) => worker !== incarnation)
    const { attempt } = crash
    this._options.log.event('info', 'task.crash.withdrawn', { task: task.name, attempt, worker: incarnation, reason, crashes: task.crashes.length })
    this._options.onChanged(task.step.workflow)
  }

  /**
   * Notes that the answer to a start came after the crash of its worker was noticed: the task was running there, or a later incarnation
   * has answered.
   */
  noteStartConfirmed (run: Run): void {
    const { log, onChanged } = this._options
    const { task, attempt, startConfirmedBy, unansweredMs, session: { incarnation } } = run
    // An earlier try without an answer may have been carried out before the crash.
    if (startConfirmedBy === ANSWERERS.later) return unansweredMs === undefined ? this.noteStartRefused(run) : undefined
    if (!task || !this._mayBeCause(run)) return
    const record = task.crashes.find(({ worker, unconfirmedStart }) => worker === incarnation && unconfirmedStart !== undefined)
    if (!record) return
    task.crashes = task.crashes.map(crash => crash === record ? { ...crash, unconfirmedStart: undefined } : crash)
    const fields = { task: task.name, attempt, worker: incarnation, crashes: task.crashes.length, attempts: attemptsOf(task) }
    log.event('info', 'task.crash.confirmed', fields)
    onChanged(task.step.workflow)
    if (judge(task.crashes) !== VERDICTS.givenUp) return
    log.event('warn', VERDICT_EVENTS[VERDICTS.givenUp], fields)
    this._giveUp(task)
  }

  /** True when a worker at the same address has crashed in the last `UNSTABLE_ADDRESS_MS`. */
  hasCrashedLately ({ entry }: WorkerSession): boolean {
    const { atMs } = this._lastCrashes.get(entry.address) ?? { atMs: Number.NEGATIVE_INFINITY }
    return this._options.timers.now() - atMs < UNSTABLE_ADDRESS_MS
  }

  /** Puts a run on trial if its task is suspected. */
  noteStart (run: Run, session: WorkerSession): void {
    if (run.task && isSuspect(run.task)) this._trials.set(session, (this._trials.get(session) ?? new Set()).add(run))
  }

  /** True while tasks are on trial on any worker. */
  get hasTrials (): boolean {
    return this._trials.size > 0
  }

  /** Workflow whose task is on trial on the worker; undefined for none. Nothing else starts there. */
  trialOn (session: WorkerSession): WorkflowRuntime | undefined {
    const [run] = this._trials.get(session) ?? []
    return run?.task!.step.workflow
  }

  /** True when one more worker may be used for a trial, of so many that the step could use. */
  mayStartTrial (usableWorkers: number): boolean {
    return this._trials.size < Math.max(1, TRIAL_SHARE_MAX * usableWorkers)
  }

  /** Ends the trials of runs that have ended, and clears tasks that have run for long enough. */
  updateTrials (): void {
    if (this._trials.size === 0) return
    for (const [session, runs] of this._trials) {
      for (const run of runs) {
        if (session.closed || run.task!.step.workflow.isOver || !session.hasRun(run.name, run.attempt)) runs.delete(run)
      }
    }
    const passed = [...this._trials.values()].flatMap(runs => [...runs]).filter(run => this._hasPassed(run))
    for (const { task } of passed) this._clear(task!)
    for (const [session, runs] of this._trials) {
      for (const run of runs) if (!isSuspect(run.task!)) runs.delete(run)
      if (runs.size === 0) this._trials.delete(session)
    }
  }

  /** A member of a gang has passed when all members have been at work for as long: they work only together. */
  private _hasPassed ({ task }: Run): boolean {
    const nowMs = this._options.timers.now()
    const neededMs = trialMs(task!.crashes)
    const members = task!.step.spec.gang ? task!.step.tasks : [task!]
    return members.every(({ run }) => {
      if (run?.startConfirmedMs === undefined || !run.session.reachable || run.state !== RUN_STATES.running) return false
      return nowMs - run.startConfirmedMs >= neededMs
    })
  }

  private _clear (task: Task): void {
    const { crashes } = task
    if (crashes.length === 0) return
    this._counts.clearedTasks++
    this._options.log.event('info', 'task.cleared', { task: task.name, crashes: crashes.length, trialMs: Math.round(trialMs(crashes)) })
    task.crashes = []
    this._options.onChanged(task.step.workflow)
  }

  /** True when many workers of the failure domain were lost lately, also before the run: a device may refuse connections. */
  private _isDomainCutOff ({ lostMs, entry: { failureDomain } }: WorkerSession): boolean {
    const lost = [...this._domainLosses.get(failureDomain)?.values() ?? []].filter(atMs => lostMs - atMs <= DOMAIN_LOSS_MS).length
    return lost >= Math.max(MANY_OF_DOMAIN_MIN, MANY_WORKERS_SHARE * this._options.workerCount())
  }

  /** Workers that were lost before the run started are left out: an earlier run of the same task may have crashed them. */
  private _wereManyLostSince (startedMs: number): boolean {
    const lost = [...this._losses.values()].filter(atMs => atMs >= startedMs).length
    return lost >= Math.max(MANY_WORKERS_MIN, MANY_WORKERS_SHARE * this._options.workerCount())
  }

  /** Runs that are no longer needed may have crashed their worker, but their tasks are not started again. */
  private _mayBeCause (run: Run): boolean {
    const { task } = run
    if (cameAfterCrash(run)) return false
    return task !== undefined && task.state !== TASK_STATES.done && !task.step.workflow.isOver
  }

  private _addEvidence (run: Run, session: WorkerSession, { doubtful, recentRuns }: { doubtful: boolean, recentRuns: Run[] }): void {
    const { timers, log } = this._options
    const task = run.task!
    const { workflow } = task.step
    if (workflow.isOver || task.crashes.some(({ worker }) => worker === session.incarnation)) return
    const ageMs = ageAtLoss(run)
    const runsOnTrial = this._trials.get(session)
    const onTrial = runsOnTrial?.has(run) ?? false
    const { longRunning } = task.step.spec
    const unconfirmedStart = unconfirmedStartOf(run, { doubtful, recentRuns })
    const weight = crashWeight(task.crashes, { ageMs, onTrial, doubtful, unconfirmedStart, longRunning })
    if (weight === 0) return
    const before = judge(task.crashes)
    const record: CrashRecord = {
      worker: session.incarnation,
      attempt: run.attempt,
      atMs: Math.round(timers.wallClock()),
      ageMs: Math.round(ageMs),
      weight,
      unconfirmedStart
    }
    task.crashes = [...task.crashes, record]
    this._index.add(session.incarnation, task, timers.now())
    const verdict = judge(task.crashes)
    if (record.unconfirmedStart) this._counts.unconfirmedCrashes++
    this._options.onChanged(workflow)
    if (verdict !== VERDICTS.givenUp && (verdict === VERDICTS.suspect || ageMs <= YOUNG_RUN_MS)) this._startWhenRecorded(task)
    if (verdict === VERDICTS.clear) return
    if (before === VERDICTS.clear) this._counts.suspectedTasks++
    log.event('warn', VERDICT_EVENTS[verdict], {
      task: task.name,
      attempt: run.attempt,
      ...record,
      onTrial,
      runsOnTrial: runsOnTrial?.size ?? 0,
      youngRuns: recentRuns.filter(wasYoungAtLoss).length,
      doubtful,
      crashes: task.crashes.length,
      attempts: attemptsOf(task)
    })
    if (verdict === VERDICTS.givenUp) this._giveUp(task)
  }

  private _giveUp ({ name, step, crashes }: Task): void {
    this._counts.givenUpTasks++
    this._options.onGivenUp(step.workflow, `${name} crashed its workers: ${describeCrashes(crashes)}`)
  }

  /** The next scheduler has to know of the crash before the task is started again. */
  private async _startWhenRecorded (task: Task): Promise<void> {
    task.unrecordedCrashes++
    await this._options.whenRecorded(task.step.workflow)
    task.unrecordedCrashes--
    this._options.onRecorded()
  }
}

const VERDICT_EVENTS: Record<Exclude<Verdict, 'clear'>, string> = { [VERDICTS.suspect]: 'task.suspected', [VERDICTS.givenUp]: 'task.givenUp' }

/** True when the task has to be started on trial. */
export function isSuspect ({ crashes }: Task): boolean {
  return crashes.length > 0 && judge(crashes) === VERDICTS.suspect
}

/** True when only a later incarnation of the worker than the one that has crashed can have carried out the start of the run. */
function cameAfterCrash ({ startConfirmedBy, unansweredMs }: Run): boolean {
  return startConfirmedBy === ANSWERERS.later && unansweredMs === undefined
}

/** Time at which the incarnation that has crashed confirmed the start, in milliseconds of the monotonic clock; undefined if it did not. */
function confirmedMs ({ startConfirmedBy, startConfirmedMs }: Run): number | undefined {
  return startConfirmedBy === ANSWERERS.later ? undefined : startConfirmedMs
}

/** True when the last start of the run has received no answer in time: it may not have been carried out at all. */
function hasStartTimedOut (run: Run): boolean {
  return confirmedMs(run) === undefined && run.unansweredMs !== undefined && !run.startBroken
}

/** What is known of the start of a run whose worker has crashed; undefined when it was confirmed. */
function unconfirmedStartOf (run: Run, { doubtful, recentRuns }: { doubtful: boolean, recentRuns: Run[] }): UnconfirmedStart | undefined {
  if (confirmedMs(run) !== undefined) return
  if (hasStartTimedOut(run)) return UNCONFIRMED_STARTS.unanswered
  const { workflow } = run.task!.step
  const mayBeOtherJob = recentRuns.some(({ task }) => task?.step.workflow !== workflow)
  const hasBrokenWithWorker = run.startBroken && run.session.lostMs - run.unansweredMs! <= YOUNG_RUN_MS
  return hasBrokenWithWorker && !doubtful && !mayBeOtherJob ? UNCONFIRMED_STARTS.broken : UNCONFIRMED_STARTS.unknown
}

/** Attempts of the task that ended with their workers, for the log. */
function attemptsOf ({ crashes }: Task): string {
  return crashes.map(({ attempt }) => attempt ?? 'unknown').join(' ')
}

/** True when the run had just started when its worker was lost. */
export function wasYoungAtLoss (run: Run): boolean {
  return ageAtLoss(run) <= YOUNG_RUN_MS
}

/**
 * Age of a run when its worker was lost, in milliseconds. A start without an answer may have been carried out at the last moment.
 * Runs of an earlier scheduler are at least not young.
 */
function ageAtLoss (run: Run): number {
  const { startedMs, unansweredMs, adopted, session: { lostMs } } = run
  const startConfirmedMs = confirmedMs(run)
  if (startConfirmedMs === undefined && unansweredMs !== undefined) return 0
  const ageMs = Math.max(0, lostMs - (unansweredMs === undefined ? startedMs : startConfirmedMs!))
  return adopted ? Math.max(YOUNG_RUN_MS + 1, ageMs) : ageMs
}
