/**
 * Waiting times and goodput of one run.
 *
 * @module
 */

import type { RequestClass } from 'pomelofold/protocol/requests'
import { END_MS, WARM_UP_MS, type BenchRequest } from './benchWorkload.js'

/** Results of one class. */
export interface ClassResult {
  offered: number
  /** Requests that were answered successfully within their deadline. */
  good: number
  /** Waiting time of requests that were started, in milliseconds. */
  waits: number[]
}

/** Collects the results of the requests of a run. */
export class BenchResult {
  /** Requests of all classes that were answered successfully during the measured period. */
  private _goodInWindow = 0
  readonly classes: Record<RequestClass, ClassResult> = { urgent: emptyClass(), normal: emptyClass(), batch: emptyClass() }

  offered (req: BenchRequest): void {
    if (isMeasured(req)) this.classes[req.class].offered++
  }

  started (req: BenchRequest, nowMs: number): void {
    if (isMeasured(req)) this.classes[req.class].waits.push(nowMs - req.atMs)
  }

  answered (req: BenchRequest, nowMs: number): void {
    if (nowMs - req.atMs > req.deadlineMs) return
    if (isMeasured(req)) this.classes[req.class].good++
    if (nowMs >= WARM_UP_MS && nowMs < END_MS) this._goodInWindow++
  }

  /** Returns the waiting time in milliseconds at a percentile of the started requests. */
  waitMs (cls: RequestClass, percentile: number): number {
    const waits = this.classes[cls].waits.sort((a, b) => a - b)
    return waits[Math.min(waits.length - 1, Math.floor(waits.length * percentile / 100))] ?? NaN
  }

  /** Returns the successfully answered requests per millisecond. */
  goodPerMs (): number {
    return this._goodInWindow / (END_MS - WARM_UP_MS)
  }

  /** Returns the share of a class's requests that were answered successfully. */
  goodShare (cls: RequestClass): number {
    return this.classes[cls].good / this.classes[cls].offered
  }
}

function emptyClass (): ClassResult {
  return { offered: 0, good: 0, waits: [] }
}

function isMeasured ({ atMs }: BenchRequest): boolean {
  return atMs >= WARM_UP_MS
}
