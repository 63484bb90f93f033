/**
 * Order of jobs that wait: class, then the team that holds least of its quota, then age.
 *
 * @module
 */

import { Heap } from 'heap-js'
import { JOB_CLASSES } from '../../protocol/jobs.js'
import type { Job } from './job.js'

/** Classes in the order in which they are served. */
export const CLASS_ORDER = [JOB_CLASSES.urgent, JOB_CLASSES.normal, JOB_CLASSES.overnight] as const

/** What became of an attempt to place tasks of a job. */
export const OFFER_OUTCOMES = {
  /** Some were placed and more may be. */
  more: 'more',
  /** Nothing more can be placed of it now. */
  enough: 'enough',
  /** The bound of this turn is reached. */
  stop: 'stop'
} as const

/** One of {@link OFFER_OUTCOMES}. */
export type OfferOutcome = typeof OFFER_OUTCOMES[keyof typeof OFFER_OUTCOMES]

interface TeamCursor {
  team: string
  jobs: Job[]
  position: number
  quotaUsage: number
}

/** Jobs with waiting tasks. */
export class JobQueue {
  private readonly _jobs = new Set<Job>()
  private readonly _jobsByClassAndTeam = new Map<string, Job[]>()

  get size (): number {
    return this._jobs.size
  }

  has (job: Job): boolean {
    return this._jobs.has(job)
  }

  /** Adds a job behind those of its team and class that were accepted earlier. */
  add (job: Job): void {
    if (this._jobs.has(job)) return
    this._jobs.add(job)
    const jobs = this._listOf(job)
    let at = jobs.length
    while (at > 0 && jobs[at - 1].plan.acceptedAtMs > job.plan.acceptedAtMs) at--
    jobs.splice(at, 0, job)
  }

  /** Removes a job. Its place in the list is cleared by the next walk. */
  remove (job: Job): void {
    this._jobs.delete(job)
  }

  /**
   * Offers jobs in order to `attempt` until it says stop. `shareOf` gives what a team holds
   * of its quota; it is asked again after each attempt.
   */
  walk (quotaUsageOf: (team: string) => number, attempt: (job: Job) => OfferOutcome): void {
    for (const jobClass of CLASS_ORDER) {
      const cursors = new Heap<TeamCursor>((a, b) => a.quotaUsage - b.quotaUsage)
      for (const [key, jobs] of this._jobsByClassAndTeam) {
        if (!key.startsWith(`${jobClass}/`)) continue
        const team = key.slice(jobClass.length + 1)
        const waiting = this._pruneRemoved(key, jobs)
        if (waiting.length > 0) cursors.push({ team, jobs: waiting, position: 0, quotaUsage: quotaUsageOf(team) })
      }
      if (!this._walkClass(cursors, quotaUsageOf, attempt)) return
    }
  }

  private _walkClass (cursors: Heap<TeamCursor>, quotaUsageOf: (team: string) => number, attempt: (job: Job) => OfferOutcome): boolean {
    for (let cursor = cursors.pop(); cursor; cursor = cursors.pop()) {
      const job = cursor.jobs[cursor.position]
      const outcome = this._jobs.has(job) ? attempt(job) : OFFER_OUTCOMES.enough
      if (outcome === OFFER_OUTCOMES.stop) return false
      if (outcome === OFFER_OUTCOMES.enough) cursor.position++
      cursor.quotaUsage = quotaUsageOf(cursor.team)
      if (cursor.position < cursor.jobs.length) cursors.push(cursor)
    }
    return true
  }

  private _pruneRemoved (key: string, jobs: Job[]): Job[] {
    const waiting = [...new Set(jobs)].filter(job => this._jobs.has(job))
    if (waiting.length > 0) this._jobsByClassAndTeam.set(key, waiting)
    else this._jobsByClassAndTeam.delete(key)
    return waiting
  }

  private _listOf (job: Job): Job[] {
    const key = `${job.plan.class}/${job.plan.team}`
    let jobs = this._jobsByClassAndTeam.get(key)
    if (!jobs) this._jobsByClassAndTeam.set(key, jobs = [])
    return jobs
  }
}
