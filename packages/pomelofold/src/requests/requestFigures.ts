/**
 * Counts and waiting times of requests, for reports, metrics and service objectives.
 *
 * @module
 */

import { build, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js'
import { MICROS_PER_MS, waitTimesOf, type WaitTimes } from '../utils/waitTimes.js'
import type { Outcome, RequestClass } from '../protocol/requests.js'
import type { QueuedRequest, ServiceSpec } from './queuedRequest.js'

/** Longer waiting times are recorded as this one. */
const MAX_RECORDED_WAIT_MS = 3_600_000

const HISTOGRAM_OPTIONS = {
  highestTrackableValue: MAX_RECORDED_WAIT_MS * MICROS_PER_MS,
  numberOfSignificantValueDigits: 2,
  bitBucketSize: 64
} as const

/** Number of requests of one service, class and team that ended with one outcome. */
export interface RequestCount {
  service: string
  class: RequestClass
  team: string
  outcome: Outcome
  count: number
}

/** Waiting times before the first send, of one service and class. */
export interface WaitFigures extends WaitTimes {
  service: string
  class: RequestClass
  /** Compressed HDR histogram of the waiting times in microseconds. Histograms of several processes can be added. */
  histogram: string
}

/** Numbers of requests that met (`good`) and missed (`bad`) an objective for the waiting time. A request that was never sent missed it. */
export interface ObjectiveFigures {
  service: string
  class: RequestClass
  waitMs: number
  target: number
  good: number
  bad: number
}

/** Counts and waiting times since the start of the process. */
export interface SchedulerFigures {
  requests: RequestCount[]
  waits: WaitFigures[]
  objectives: ObjectiveFigures[]
  retries: number
}

/** Collects counts and waiting times for one scheduler. */
export class RequestFigures {
  private readonly _counts = new Map<string, RequestCount>()
  private readonly _waits = new Map<string, { service: string, class: RequestClass, histogram: Histogram }>()
  private readonly _objectives = new Map<string, ObjectiveFigures>()
  private _retries = 0

  /** Sets the objectives of the services. An unchanged objective keeps its counts; a changed one starts at zero. */
  setObjectives (services: ServiceSpec[]): void {
    const declaredKeys = new Set<string>()
    for (const { name, objectives } of services) {
      for (const { class: cls, waitMs, target } of objectives) {
        const key = `${name}/${cls}`
        declaredKeys.add(key)
        const old = this._objectives.get(key)
        if (old?.waitMs === waitMs && old.target === target) continue
        this._objectives.set(key, { service: name, class: cls, waitMs, target, good: 0, bad: 0 })
      }
    }
    for (const key of this._objectives.keys()) if (!declaredKeys.has(key)) this._objectives.delete(key)
  }

  /** Records the waiting time of a request that is sent for the first time. */
  countFirstSend (entry: QueuedRequest, waitedMs: number): void {
    const { service, class: cls } = entry.req
    const key = `${service}/${cls}`
    let wait = this._waits.get(key)
    if (!wait) {
      wait = { service, class: cls, histogram: build(HISTOGRAM_OPTIONS) }
      this._waits.set(key, wait)
    }
    wait.histogram.recordValue(Math.round(Math.min(waitedMs, MAX_RECORDED_WAIT_MS) * MICROS_PER_MS))
    const objective = this._objectives.get(key)
    if (!objective) return
    if (waitedMs <= objective.waitMs) objective.good++
    else objective.bad++
  }

  /** Counts the final answer of a request. One that was never sent also counts as a missed objective. */
  countAnswer (entry: QueuedRequest, outcome: Outcome): void {
    const { service, class: cls } = entry.req
    const key = `${service}/${cls}/${outcome}/${entry.team}`
    let count = this._counts.get(key)
    if (!count) {
      count = { service, class: cls, team: entry.team, outcome, count: 0 }
      this._counts.set(key, count)
    }
    count.count++
    const objective = entry.attempts === 0 ? this._objectives.get(`${service}/${cls}`) : undefined
    if (objective) objective.bad++
  }

  countRetry (): void {
    this._retries++
  }

  /** Copy of all counts, in a form that can be written as JSON. */
  snapshot (): SchedulerFigures {
    return {
      requests: [...this._counts.values()].map(count => ({ ...count })),
      waits: [...this._waits.values()].map(({ service, class: cls, histogram }) => ({
        service,
        class: cls,
        ...waitTimesOf(histogram),
        histogram: encodeIntoCompressedBase64(histogram)
      })),
      objectives: [...this._objectives.values()].map(objective => ({ ...objective })),
      retries: this._retries
    }
  }
}
