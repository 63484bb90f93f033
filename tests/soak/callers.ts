/**
 * Callers of the cell: they submit jobs, query their states, cancel some, and record the answers.
 *
 * @module
 */

import { Agent, request } from 'node:http'
import type { SoakCell, SoakDaemon } from './soakCell.js'
import { FLOODING_TEAM } from './soakTeams.js'
import { runTimeMs } from './soakWorkers.js'
import type { SeededRandom } from '@pomelofold/standins/seededRandom'

const CALL_TIMEOUT_MS = 3_000
const POLL_PERIOD_MS = 150
/** Time after which a daemon must have read a request, in milliseconds. */
const REQUEST_READ_MS = 200
/** Longest pause between two jobs, and pause after the first refused submission, in milliseconds. */
const SUBMIT_PAUSE_MS = 120
const MAX_SUBMIT_ATTEMPTS = 6
/** Pause between the submissions of a flood, and longest time until a key is handled as expected at the end, in milliseconds. */
const FLOOD_PERIOD_MS = 120
const KEY_CHECK_MS = 10_000
/** Number of jobs that a caller has open at most. */
const MAX_OPEN_JOBS = 6
const QUEUES = ['quick', 'advised']
/** Number of tasks of a job whose tasks run until they are cancelled. */
const LONG_RUNNING_TASKS = 4
const FINAL_STATES = new Set(['completed', 'failed', 'cancelled'])

/** A job with the answers that its caller has received. */
export interface SoakJob {
  id: string
  queue: string
  /** Team whose keys the calls have, in soaks with teams, and the key of the submission if it is not valid. */
  team: string | undefined
  badKey: string | undefined
  body: string
  /** True once a submission was answered with 2xx. */
  accepted: boolean
  /** True while every submission was answered with a refusal that guarantees that the job will not run. */
  refusedOnly: boolean
  /** True once a cancellation was sent. */
  cancelled: boolean
  /** State in the last answer to a query. */
  state: string | undefined
}

/** Answer of a daemon; status 0 when the connection ended or no answer arrived. */
interface CallResult { status: number, body: any, sentMs?: number }
/** Body and key of a request. */
interface CallContent { body?: string, key?: string }

/** Submits and follows jobs through random daemons. Keeps connections open until the daemon closes them. */
export class Callers {
  readonly jobs: SoakJob[] = []
  /** Descriptions of answers that no caller may receive. */
  readonly violations: string[] = []
  /** Number of calls by method and status. */
  readonly counts: Record<string, number> = {}
  private readonly _cell: SoakCell
  private readonly _random: SeededRandom
  private readonly _agent = new Agent({ keepAlive: true, maxSockets: 4 })
  private _stopped = false

  constructor ({ cell, random }: { cell: SoakCell, random: SeededRandom }) {
    this._cell = cell
    this._random = random
  }

  /** Submits jobs one after another until stopped. */
  async run (): Promise<void> {
    let open = 0
    while (!this._stopped) {
      if (open >= MAX_OPEN_JOBS) {
        await pause(POLL_PERIOD_MS)
        continue
      }
      const job = this._newJob()
      this.jobs.push(job)
      await this._submit(job)
      if (job.accepted) {
        open++
        this._followUntilFinal(job).then(() => { open-- })
      }
      await pause(this._random.int(SUBMIT_PAUSE_MS))
    }
  }

  /** Submits jobs of the flooding team while it floods, whether earlier ones have ended or not. */
  async flood (): Promise<void> {
    while (!this._stopped) {
      await pause(FLOOD_PERIOD_MS)
      if (!this._cell.teams?.floods) continue
      const job = this._newJob(FLOODING_TEAM)
      this.jobs.push(job)
      this._submit(job)
    }
  }

  /** Submits jobs whose tasks run until they are cancelled. Returns the number of these tasks. */
  async startLongRunning (count: number): Promise<number> {
    for (let index = 0; index < count; index++) {
      const queue = QUEUES[index % QUEUES.length]
      const steps = [{ task_count: LONG_RUNNING_TASKS, cpu: 500, mem_mb: 250, long_running: true }]
      const job = createJob({ id: this._random.hex(8), queue, body: JSON.stringify({ spec: queue, steps }) })
      this._cell.workers.longRunningJobs.add(job.id)
      this.jobs.push(job)
      await this._submit(job)
    }
    return count * LONG_RUNNING_TASKS
  }

  /** Cancels the jobs whose tasks run until then. */
  async cancelLongRunning (): Promise<void> {
    for (const job of this.jobs.filter(({ id }) => this._cell.workers.longRunningJobs.has(id))) {
      job.cancelled = true
      for (let attempt = 0; attempt < MAX_SUBMIT_ATTEMPTS; attempt++) {
        const { status } = await this._call(this._anyDaemon(), 'DELETE', `/${job.queue}/${job.id}`, {})
        if (status === 200 || status === 410) break
        await pause(SUBMIT_PAUSE_MS * (1 + attempt))
      }
    }
  }

  /** Checks at each daemon that keys are accepted and refused as the newest version says. */
  async checkKeys (): Promise<void> {
    for (const daemon of this._cell.daemons) {
      for (const [key, expected] of this._cell.teams?.keysAndStatuses() ?? []) {
        const endMs = performance.now() + KEY_CHECK_MS
        for (;;) {
          const { status } = await this._call(daemon, 'GET', '/quick/', { key })
          if (status === expected) break
          if (performance.now() > endMs) {
            this.violations.push(`${daemon.name} answers ${status} in place of ${expected} to ${key} after the last fault`)
            break
          }
          await pause(POLL_PERIOD_MS)
        }
      }
    }
  }

  stop (): void {
    this._stopped = true
  }

  close (): void {
    this._agent.destroy()
  }

  /** Queries the state of a job once, at a random daemon. */
  async queryState (job: SoakJob): Promise<void> {
    const result = await this._call(this._anyDaemon(), 'GET', `/${job.queue}/${job.id}`, { key: this._keyFor(job) })
    if (result.status === 410 && job.accepted) this.violations.push(`${job.id} was accepted but is unknown now`)
    if (result.status !== 200) return
    const { state } = result.body
    if (job.state !== undefined && FINAL_STATES.has(job.state) && state !== job.state) this.violations.push(`${job.id} was ${job.state} but is ${state} now`)
    job.state = state
  }

  /** Returns whether the last queried state is final. */
  hasFinalState (job: SoakJob): boolean {
    return job.state !== undefined && FINAL_STATES.has(job.state)
  }

  /** Key for a call for a job; undefined in soaks without teams. A key that is withdrawn may be accepted for a time. */
  private _keyFor ({ team, badKey, accepted }: SoakJob): string | undefined {
    return accepted || !badKey ? team && this._cell.teams?.keyOfCall(team) : badKey
  }

  private _newJob (floodingTeam?: string): SoakJob {
    const { teams } = this._cell
    const badKey = teams?.keyOfBadJob()
    const id = this._random.hex(8)
    const queue = this._random.int(3) ? 'quick' : 'advised'
    const steps = Array.from({ length: 1 + this._random.int(3) }, (_, index) => ({
      task_count: 1 + this._random.int(4),
      cpu: 500 + 500 * this._random.int(3),
      mem_mb: 250 * (1 + this._random.int(8)),
      est_runtime_ms: runTimeMs(id),
      after: index ? [index - 1] : []
    }))
    const team = badKey === undefined ? floodingTeam ?? teams?.anyTeam() : teams!.teamOf(badKey)
    return createJob({ id, queue, team, badKey, body: JSON.stringify({ spec: queue, steps }) })
  }

  private async _submit (job: SoakJob): Promise<void> {
    for (let attempt = 0; attempt < MAX_SUBMIT_ATTEMPTS && !job.accepted; attempt++) {
      const { status } = await this._call(this._anyDaemon(), 'POST', `/${job.queue}/${job.id}`, { body: job.body, key: this._keyFor(job) })
      if (status === 200) job.accepted = true
      if (status !== 429 && status !== 503 && status !== 404 && status !== 401) job.refusedOnly = false
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
        await this._call(this._anyDaemon(), 'DELETE', `/${job.queue}/${job.id}`, { key: this._keyFor(job) })
      }
      await this.queryState(job)
    }
  }

  private _anyDaemon (): SoakDaemon {
    return this._cell.daemons[this._random.int(this._cell.daemons.length)]
  }

  private async _call (daemon: SoakDaemon, method: string, path: string, content: CallContent): Promise<CallResult> {
    const { disruptionCount } = daemon
    const { teams, timers } = this._cell
    const sentMs = timers.now()
    // A process that is paused or killed reads nothing.
    const disturbed = daemon.paused || daemon.killed
    const result = await this._send(daemon, method, path, content)
    if (content.key) teams?.checkAnswer(content.key, { sentMs, status: result.status, what: `${method} ${path} at ${daemon.name}` })
    const key = `${method} ${result.status}`
    this.counts[key] = (this.counts[key] ?? 0) + 1
    // A daemon that shuts down after SIGTERM still answers the requests that it has read.
    // The time counts from when the request was sent, since it may have waited for a connection before.
    const tookMs = result.sentMs === undefined ? 0 : Math.round(performance.now() - result.sentMs)
    const undisturbed = !disturbed && disruptionCount === daemon.disruptionCount
    if (result.body === 'reset' && undisturbed && tookMs > REQUEST_READ_MS) {
      this.violations.push(`${daemon.name} reset the connection of ${method} ${path} after ${tookMs} ms, at ${new Date().toISOString()}`)
    }
    return result
  }

  private _send (daemon: SoakDaemon, method: string, path: string, { body, key }: CallContent): Promise<CallResult> {
    return new Promise(resolve => {
      const headers = {
        host: 'cell',
        'x-pomelofold-deadline-ms': String(CALL_TIMEOUT_MS),
        ...(key && { authorization: `Bearer ${key}` }),
        ...(body && { 'content-length': Buffer.byteLength(body) })
      }
      const options = { ...this._cell.address(daemon), method, path, headers, agent: this._agent, timeout: CALL_TIMEOUT_MS }
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
      // The daemon may close a kept connection while a request is in flight; it has not read that request.
      req.on('error', err => resolve({ status: 0, body: !req.reusedSocket && /ECONNRESET|hang up/.test(err.message) ? 'reset' : 'closed', sentMs }))
      req.end(body)
    })
  }
}

function createJob ({ id, queue, team, badKey, body }: Pick<SoakJob, 'id' | 'queue' | 'body'> & Partial<SoakJob>): SoakJob {
  return { id, queue, team, badKey, body, accepted: false, refusedOnly: true, cancelled: false, state: undefined }
}

export function pause (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}
