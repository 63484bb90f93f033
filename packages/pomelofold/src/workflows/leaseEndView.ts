/**
 * When the leases of lost workers end, on the clock of this daemon.
 *
 * Load pattern: schedulers that are replaced every few seconds while workers that have crashed hold leases. A daemon that has seen
 * the record of a loss counts the lease from then on, also when it is elected only later. The clocks of two VMs cannot be compared,
 * so a record says how long a lease lasts, and counts from when it was read: a later reading only gives a later end.
 *
 * @module
 */

import Result from 'true-myth/result'
import { z } from 'zod'
import { leaseEndSchema, type LeaseEnd } from '../protocol/leaseEnds.js'
import type { Timers } from '../seams/timers.js'
import { decodeJson } from '../utils/storedJson.js'

const recordSchema = z.array(leaseEndSchema)

/** The end of a lease that has not been extended since the loss of its worker. */
export interface KnownLeaseEnd {
  readonly loss: string
  /** Time by which all runs on the worker have ended, in milliseconds of the monotonic clock. */
  readonly endMs: number
  readonly starts: UnconfirmedStarts
  /** True when a later incarnation of the worker is known. */
  readonly restarted: boolean
  /** True when the next incarnation of the worker has answered since: it refuses these starts. */
  readonly nextAnswered: boolean
}

/** Starts that the worker may not have carried out: a later incarnation may carry them out late. */
export interface UnconfirmedStarts {
  /** Tasks that are known to be among them. An earlier scheduler may have sent others. */
  readonly tasks: string[]
  /** Time until the last of them is carried out or not at all, in milliseconds of the monotonic clock. */
  readonly endMs: number
  /** Time until every run has ended that one of them begins at an incarnation which does not report. Not below `endMs`. */
  readonly runsEndMs: number
}

/** Ends of leases by the incarnation of the worker. */
export type KnownLeaseEnds = ReadonlyMap<string, KnownLeaseEnd>

/** Keeps the earliest known end of each lease in the record. */
export class LeaseEndView {
  private readonly _timers: Timers
  private _ends: KnownLeaseEnds = new Map()

  constructor ({ timers }: { timers: Timers }) {
    this._timers = timers
  }

  /** Applies a stored record that was just read; undefined for none. Returns the ends of the losses that it contains. */
  apply (stored: string | undefined): Result<KnownLeaseEnds, string> {
    const record = decodeJson(recordSchema, stored ?? '[]')
    if (record.isErr) return Result.err(record.error)
    const nowMs = this._timers.now()
    this._ends = new Map(record.value.map(({ worker, loss, endsInMs, unconfirmedTasks, startsEndInMs, runsEndInMs, ...known }) => {
      const seen = this._ends.get(worker)
      const earlier = seen?.loss === loss ? seen : undefined
      const earliest = (ms: number, earlierMs = Number.POSITIVE_INFINITY): number => Math.min(nowMs + ms, earlierMs)
      return [worker, {
        loss,
        endMs: earliest(endsInMs, earlier?.endMs),
        starts: {
          tasks: unconfirmedTasks,
          endMs: earliest(startsEndInMs, earlier?.starts.endMs),
          runsEndMs: earliest(Math.max(startsEndInMs, runsEndInMs), earlier?.starts.runsEndMs)
        },
        ...known
      }]
    }))
    return Result.ok(this._ends)
  }

  /** The ends of all leases in the record, counted from now. */
  list (): LeaseEnd[] {
    return listLeaseEnds(this._ends, this._timers.now())
  }
}

/** Message form of the ends of leases, counted from `nowMs`. */
export function listLeaseEnds (ends: KnownLeaseEnds, nowMs: number): LeaseEnd[] {
  const remainingMs = (endMs: number): number => Math.max(0, Math.ceil(endMs - nowMs))
  return [...ends].map(([worker, { loss, endMs, starts, restarted, nextAnswered }]) => ({
    worker,
    loss,
    endsInMs: remainingMs(endMs),
    unconfirmedTasks: starts.runsEndMs > nowMs ? starts.tasks : [],
    startsEndInMs: remainingMs(starts.endMs),
    runsEndInMs: remainingMs(starts.runsEndMs),
    restarted,
    nextAnswered
  }))
}
