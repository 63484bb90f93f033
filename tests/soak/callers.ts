/**
 * Callers of the cell: they submit jobs, ask for their states, cancel some, and note what they were told.
 *
 * @module
 */

import { Agent, request } from 'node:http'
import type { SoakCell, SoakDaemon } from './soakCell.js'
import type { SeededRandom } from '@pomelofold/standins/seededRandom'

const CALL_TIMEOUT_MS = 3_000
const POLL_PERIOD_MS = 150
/** Time in which a daemon has read a request, in milliseconds. */
const REQUEST_READ_MS = 200
const SUBMIT_PAUSE_MS = 120
/** Tries of a submission. */
const MAX_SUBMIT_ATTEMPTS = 6
const FINAL_STATES = new Set(['completed', 'failed', 'cancelled'])

/** A job as its caller knows it. */
export interface SoakJob {
  id: string
  queue: string
  body: string
  /** True once a submission was answered with 2xx. */
  accepted: boolean
  /** True while every try was answered with a refusal that says that the job will not run. */
  refusedOnly: boolean
  /** True once a cancellation was sent. */
  cancelled: boolean
  state: string | undefined
}

/** What a daemon answered; status 0 when the connection ended or no answer came. */
interface CallResult { status: number, body: any, sentMs?: number }

/** Uses open connections until the daemon closes them. */
export class Callers {
  readonly jobs: SoakJob[] = []
  /** Answers that no caller may get. */
  readonly violations: string[] = []
  readonly counts: Record<string, number> = {}
  private readonly _cell: SoakCell
  private readonly _random: SeededRandom
  private readonly _agent = new Agent({ keepAlive: true, maxSockets: 4 })
  private _stopped = false

  constructor ({ cell, random }: { cell: SoakCell, random: SeededRandom }) {
    this._cell = cell
    this._random = random
  }

  /** Submits jobs one after the other until stopped. */
  async run (): Promise<void> {
    while (!this._stopped) {
      const job = this._newJob()
      this.jobs.push(job)
      await this._submit(job)
      if (job.accepted) this._followUntilFinal(job)
      await pause(this._random.int(SUBMIT_PAUSE_MS))
    }
  }

  stop (): void {
    this._stopped = true
  }

  close (): void {
    this._agent.destroy()
  }

  /** Asks once for the state of a job, at any daemon. */
  async queryState (job: SoakJob): Promise<void> {
    const told = await this._call(this._anyDaemon(), 'GET', `/${job.queue}/${job.id}`)
    if (told.status === 410 && job.accepted) this.violations.push(`${job.id} was accepted and is unknown`)
    if (told.status !== 200) return
    const { state } = told.body
    if (job.state !== undefined && FINAL_STATES.has(job.state) && state !== job.state) this.violations.push(`${job.id} was ${job.state} and is ${state}`)
    job.state = state
  }

  /** True when the last state told is final. */
  hasFinalState (job: SoakJob): boolean {
    return job.state !== undefined && FINAL_STATES.has(job.state)
  }

  private _newJob (): SoakJob {
    const steps = Array.from({ length: 1 + this._random.int(3) }, (_, index) => ({
      task_count: 1 + this._random.int(4),
      cpu: 500 + 500 * this._random.int(3),
      mem_mb: 100,
      est_runtime_ms: 250,
      after: index ? [index - 1] : []
    }))
    return {
      id: this._random.hex(8),
      queue: this._random.int(3) ? 'quick' : 'advised',
      body: JSON.stringify({ spec: 'soak', steps }),
      accepted: false,
      refusedOnly: true,
      cancelled: false,
      state: undefined
    }
  }

  private async _submit (job: SoakJob): Promise<void> {
    for (let attempt = 0; attempt < MAX_SUBMIT_ATTEMPTS && !job.accepted; attempt++) {
      const { status } = await this._call(this._anyDaemon(), 'POST', `/${job.queue}/${job.id}`, job.body)
      if (status === 200) job.accepted = true
      if (status !== 429 && status !== 503 && status !== 404) job.refusedOnly = false
      if (status === 400 || status === 500) this.violations.push(`${job.id} was answered with ${status}`)
      if (!job.accepted) await pause(SUBMIT_PAUSE_MS * (1 + attempt))
    }
  }

  private async _followUntilFinal (job: SoakJob): Promise<void> {
    const cancels = this._random.int(8) === 0
    for (let polls = 0; !this._stopped && !this.hasFinalState(job); polls++) {
      await pause(POLL_PERIOD_MS)
      if (cancels && polls === 2) {
        job.cancelled = true
        await this._call(this._anyDaemon(), 'DELETE', `/${job.queue}/${job.id}`)
      }
      await this.queryState(job)
    }
  }

  private _anyDaemon (): SoakDaemon {
    return this._cell.daemons[this._random.int(this._cell.daemons.length)]
  }

  private async _call (daemon: SoakDaemon, method: string, path: string, body?: string): Promise<CallResult> {
    const { disruptionCount } = daemon
    // A process that is paused or dying reads nothing.
    const disturbed = daemon.paused || daemon.killed
    const told = await this._send(daemon, method, path, body)
    const key = `${method} ${told.status}`
    this.counts[key] = (this.counts[key] ?? 0) + 1
    // A daemon that is only asked to stop answers what it has read.
    // Counted from the moment at which the request was sent: it may have waited for a connection.
    const tookMs = told.sentMs === undefined ? 0 : Math.round(performance.now() - told.sentMs)
    const undisturbed = !disturbed && disruptionCount === daemon.disruptionCount
    if (told.body === 'reset' && undisturbed && tookMs > REQUEST_READ_MS) {
      this.violations.push(`${daemon.name} broke ${method} ${path} off after ${tookMs} ms, at ${new Date().toISOString()}`)
    }
    return told
  }

  private _send (daemon: SoakDaemon, method: string, path: string, body?: string): Promise<CallResult> {
    return new Promise(resolve => {
      const headers = { host: 'cell', 'x-pomelofold-deadline-ms': String(CALL_TIMEOUT_MS), ...(body && { 'content-length': Buffer.byteLength(body) }) }
      const options = { ...this._cell.frontAddress(daemon), method, path, headers, agent: this._agent, timeout: CALL_TIMEOUT_MS }
      const req = request(options, async res => {
        try {
          const text = Buffer.concat(await res.toArray()).toString()
          resolve({ status: res.statusCode!, body: text ? JSON.parse(text) : {} })
        } catch {
          resolve({ status: 0, body: 'reset', sentMs })
        }
      })
      let sentMs: number | undefined
      req.on('finish', () => { sentMs = performance.now() })
      req.on('timeout', () => { resolve({ status: 0, body: 'timeout' }); req.destroy() })
      // A connection kept open may be closed while a request is on its way; that request was not read.
      req.on('error', err => resolve({ status: 0, body: !req.reusedSocket && /ECONNRESET|hang up/.test(err.message) ? 'reset' : 'closed', sentMs }))
      req.end(body)
    })
  }
}

/** Waits. */
export function pause (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}
