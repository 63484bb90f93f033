/**
 * Starts of earlier schedulers that the record of lost workers names. Their tasks wait while a later incarnation of the worker may carry
 * them out, or run what it has carried out.
 *
 * @module
 */

import { workerIdOf } from './incarnations.js'
import type { RecordedLoss } from './leaseEndRecorder.js'
import type { WorkerSession } from './workerSession.js'
import type { Task } from './workflowRuntime.js'
import type { Timers, TimerSubscription } from '../seams/timers.js'

/** Options of {@link RecordedStarts}. */
export interface RecordedStartsOptions {
  timers: Timers
  findTask: (name: string) => Task | undefined
  /** True once a worker has come back under its id. */
  idsReturn: () => boolean
}

interface HeldLoss extends RecordedLoss {
  held: Task[]
  timer: TimerSubscription | undefined
}

/** Holds the tasks of recorded starts. */
export class RecordedStarts {
  private readonly _options: RecordedStartsOptions
  private readonly _losses = new Set<HeldLoss>()

  constructor (options: RecordedStartsOptions) {
    this._options = options
  }

  close (): void {
    for (const { timer } of this._losses) timer?.cancel()
    this._losses.clear()
  }

  /** Holds the tasks of a loss, except those of steps that allow copies, unless the next incarnation refuses their starts. */
  hold (loss: RecordedLoss): void {
    if (loss.nextAnswered) return
    const tasks = loss.starts.tasks.map(this._options.findTask).filter(task => task !== undefined)
    const held = { ...loss, held: tasks.filter(({ step }) => !step.spec.speculative), timer: undefined }
    if (held.held.length === 0) return
    for (const task of held.held) task.heldStarts++
    this._losses.add(held)
    this._check(held)
  }

  /** Notes a report that lists all runs of a worker. Its incarnation refuses starts of earlier schedulers from now on. */
  noteReport ({ entry: { id } }: WorkerSession): void {
    for (const loss of this._losses) if (workerIdOf(loss.worker) === id) this._release(loss)
  }

  private _check (loss: HeldLoss): void {
    const { timers, idsReturn } = this._options
    const nowMs = timers.now()
    const { starts: { endMs, runsEndMs }, restarted } = loss
    // A worker that does not come back under its id counts as gone once its starts can come no more.
    const waitEndMs = nowMs < endMs || !(restarted || idsReturn()) ? endMs : runsEndMs
    if (nowMs >= waitEndMs) this._release(loss)
    else loss.timer = timers.after(waitEndMs - nowMs, () => this._check(loss))
  }

  private _release (loss: HeldLoss): void {
    if (!this._losses.delete(loss)) return
    loss.timer?.cancel()
    for (const task of loss.held) task.heldStarts--
  }
}
