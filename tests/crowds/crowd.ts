/**
 * A crowd: many connections that all send the same bytes and read no answers. A thread of its own sends them, so that the
 * stand-ins beside the daemon keep answering.
 *
 * @module
 */

import { once } from 'node:events'
import { Worker } from 'node:worker_threads'

/** What each connection of a crowd sends. It stays open afterwards. */
export interface CrowdOptions {
  host: string
  port: number
  connections: number
  /** Sent once, first. */
  head?: string
  /** Sent `times` times after that. */
  unit?: string
  times?: number
  /** Sent last, by one of `endEvery` connections; by none if it is left out. */
  end?: string
  endEvery?: number
}

/** What has become of a crowd once it has sent all, or makes no more progress. */
export interface CrowdReport {
  /** Connections that the daemon has not closed. */
  open: number
  /** Connections that have sent all. */
  finished: number
  sentMb: number
}

/** Connections of a crowd, which are open until {@link close}. */
export class Crowd {
  readonly report: CrowdReport
  private readonly _thread: Worker

  private constructor (thread: Worker, report: CrowdReport) {
    this._thread = thread
    this.report = report
  }

  /** Opens the connections and sends. Resolves when all is sent, or when no connection makes progress. */
  static async send (options: CrowdOptions): Promise<Crowd> {
    const thread = new Worker(new URL('./crowdThread.js', import.meta.url), { workerData: options })
    const [report] = await once(thread, 'message')
    return new Crowd(thread, report)
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this._thread.terminate()
  }
}
