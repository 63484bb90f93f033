/**
 * Interface of upstream VMs: service instances, which answer requests, and workers, which run tasks.
 *
 * @module
 */

import type { Result } from 'true-myth/result'
import { CallError, type CallErrorOptions } from '../utils/errors.js'
import type { TaskStart, TaskStartAnswer, WorkerReport } from '../protocol/worker.js'

/** A request to a service instance. */
export interface InstanceRequest {
  method: string
  path: string
  headers: Record<string, string>
  body: Uint8Array
}

/** A service instance's complete answer. */
export interface InstanceAnswer {
  status: number
  headers: Record<string, string>
  body: Uint8Array
}

/** Commands for a running task. */
export const TASK_COMMANDS = {
  stop: 'stop',
  checkpoint: 'checkpoint',
  throttle: 'throttle'
} as const

/** One of {@link TASK_COMMANDS}. */
export type TaskCommand = typeof TASK_COMMANDS[keyof typeof TASK_COMMANDS]

/** A worker refused a call because it has received a newer epoch. The refused call had no effect. */
export class StaleEpochError extends CallError {
  /** Newest epoch that the worker has received. */
  readonly epoch: number

  constructor (epoch: number, options: CallErrorOptions) {
    super(`the worker has received the newer epoch ${epoch}`, options)
    this.name = 'StaleEpochError'
    this.epoch = epoch
  }
}

/**
 * Client of upstream VMs. When a failed call has the `effect` `none`, nothing of it was sent or will be.
 * With `unknown`, the work may have run, or may still run later.
 */
export interface UpstreamClient {
  /** Sends a request to the service instance at `address` (`host:port`) and waits for the complete answer. */
  request (address: string, req: InstanceRequest, timeoutMs: number): Promise<Result<InstanceAnswer, CallError>>
  /** Reads how many requests the instance at `address` runs now, from all senders, and how many it can run at once. */
  instanceStatus (address: string, timeoutMs: number): Promise<Result<{ running: number, slots: number }, CallError>>
  /** Starts tasks at the worker at `address`, in one call. The answers are in the order of `starts`. */
  startTasks (address: string, epoch: number, starts: TaskStart[], timeoutMs: number):
  Promise<Result<TaskStartAnswer[], CallError>>
  /**
   * Renews the leases of all tasks that were placed under `epoch` or an earlier one, acknowledges ended
   * tasks, and returns the worker's own list of tasks. A worker refuses an epoch that is older than the newest one
   * it has received. With `since`, a worker that has kept that version of its list may return only the changes.
   */
  renew (address: string, epoch: number, leaseMs: number, acknowledged: string[], timeoutMs: number, since?: string):
  Promise<Result<WorkerReport, CallError>>
  /** Sends `command` for the task `taskId`. */
  command (address: string, epoch: number, taskId: string, command: TaskCommand, timeoutMs: number): Promise<Result<void, CallError>>
  /** Closes all connections. Calls in flight fail. */
  close (): Promise<void>
}
