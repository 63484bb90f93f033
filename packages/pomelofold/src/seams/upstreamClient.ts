/**
 * Calls to upstream VMs: service instances, which answer requests, and workers, which run tasks.
 *
 * @module
 */

import type { Result } from 'true-myth/result'
import { CallError, type CallErrorOptions } from '../utils/errors.js'
import type { TaskStart, TaskStartAnswer, WorkerReport } from '../protocol/worker.js'

/** A request as sent to a service instance. */
export interface InstanceRequest {
  method: string
  path: string
  headers: Record<string, string>
  body: Uint8Array
}

/** A service instance's whole answer. */
export interface InstanceAnswer {
  status: number
  headers: Record<string, string>
  body: Uint8Array
}

/** What a worker is asked to do with a running task. */
export const TASK_COMMANDS = {
  stop: 'stop',
  checkpoint: 'checkpoint',
  throttle: 'throttle'
} as const

/** One of {@link TASK_COMMANDS}. */
export type TaskCommand = typeof TASK_COMMANDS[keyof typeof TASK_COMMANDS]

/** A worker refused an epoch older than the newest it has seen. Nothing of the refused call ran. */
export class StaleEpochError extends CallError {
  /** Newest epoch that the worker has seen. */
  readonly epoch: number

  constructor (epoch: number, options: CallErrorOptions) {
    super(`the worker has seen the newer epoch ${epoch}`, options)
    this.name = 'StaleEpochError'
    this.epoch = epoch
  }
}

/**
 * Client of upstream VMs. A failed call whose `effect` is `none` reached nobody:
 * no byte of the work was sent. With `unknown`, the work may run now or later.
 */
export interface UpstreamClient {
  /** Sends a request to the service instance at `address` (`host:port`) and waits for the whole answer. */
  request (address: string, req: InstanceRequest, timeoutMs: number): Promise<Result<InstanceAnswer, CallError>>
  /** Requests that the instance at `address` is running now, whoever sent them. */
  instanceStatus (address: string, timeoutMs: number): Promise<Result<{ running: number, slots: number }, CallError>>
  /** Starts tasks at the worker at `address`, in one call. Answers come in the order of `starts`. */
  startTasks (address: string, epoch: number, starts: TaskStart[], timeoutMs: number):
  Promise<Result<TaskStartAnswer[], CallError>>
  /**
   * Renews the leases of all tasks placed under `epoch` or an earlier one, acknowledges finished
   * tasks, and returns the worker's own list. A worker refuses epochs older than it has seen.
   * With `since`, a worker that knows that version of its list may return only what has changed.
   */
  renew (address: string, epoch: number, leaseMs: number, acknowledged: string[], timeoutMs: number, since?: string):
  Promise<Result<WorkerReport, CallError>>
  /** Sends `command` for `taskId`. */
  command (address: string, epoch: number, taskId: string, command: TaskCommand, timeoutMs: number): Promise<Result<void, CallError>>
  /** Closes all connections. */
  close (): Promise<void>
}
