/**
 * Order of waiting jobs: by class, then the team that uses the smallest share of its quota, then age.
 *
 * @module
 */

import { Heap } from 'heap-js'
import { JOB_CLASSES } from '../../protocol/jobs.js'
import type { Job } from './job.js'

/** Classes, most urgent first. */
export const JOB_CLASSES_BY_URGENCY = [JOB_CLASSES.urgent, JOB_CLASSES.normal, JOB_CLASSES.overnight] as const

/** Result of offering a job to the scheduler. */
export const OFFER_OUTCOMES = {
  /** Tasks were placed; offer the job again, since more may fit. */
  more: 'more',
  /** No further task of the job can be placed now; go on to the next job. */
  enough: 'enough',
  /** A limit of the pass is reached; offer no more jobs. */
  stop: 'stop'
} as const

/** One of {@link OFFER_OUTCOMES}. */
export type OfferOutcome = typeof OFFER_OUTCOMES[keyof typeof OFFER_OUTCOMES]

/** Position in the waiting jobs of one team during a walk. */
interface TeamCursor {
  team: string
  jobs: Job[]
  position: number
  quotaUsage: number
}

/** Jobs with waiting tasks, in the order in which they are offered for placement. */
export class JobQueue {
  private readonly _jobs = new Set<Job>()
  private readonly _jobsByClassAndTeam = new Map<string, Job[]>()

  get size (): number {
    return this._jobs.size
  }

  has (job: Job): boolean {
    return this._jobs.has(job)
  }

  /** Adds a job after those of its team and class that were accepted earlier. */
  add (job: Job): void {
    if (this._jobs.has(job)) return
    this._jobs.add(job)
    const jobs = this._listOf(job)
    let position = jobs.length
    while (position > 0 && jobs[position - 1].plan.acceptedAtMs > job.plan.acceptedAtMs) position--
    jobs.splice(position, 0, job)
  }

  /** Removes a job. The next walk deletes its list entry. */
  remove (job: Job): void {
    this._jobs.delete(job)
  }

  /**
   * Offers jobs in order to `offer` until it returns `stop`. `quotaUsageOf` returns the share of its quota
   * that a team uses; it is called again after each offer, since the offer may have placed tasks.
   */
  walk (quotaUsageOf: (team: string) => number, offer: (job: Job) => OfferOutcome): void {
    for (const jobClass of JOB_CLASSES_BY_URGENCY) {
      const cursors = new Heap<TeamCursor>((a, b) => a.quotaUsage - b.quotaUsage)
      for (const [key, jobs] of this._jobsByClassAndTeam) {
        if (!key.startsWith(`${jobClass}/`)) continue
        const team = key.slice(jobClass.length + 1)
        const waiting = this._pruneRemoved(key, jobs)
        if (waiting.length > 0) cursors.push({ team, jobs: waiting, position: 0, quotaUsage: quotaUsageOf(team) })
      }
      if (!this._walkClass(cursors, quotaUsageOf, offer)) return
    }
  }

  private _walkClass (cursors: Heap<TeamCursor>, quotaUsageOf: (team: string) => number, offer: (job: Job) => OfferOutcome): boolean {
    for (let cursor = cursors.pop(); cursor; cursor = cursors.pop()) {
      const job = cursor.jobs[cursor.position]
      const outcome = this._jobs.has(job) ? offer(job) : OFFER_OUTCOMES.enough
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
