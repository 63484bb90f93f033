/**
 * Quantiles of waiting times.
 *
 * @module
 */

import type { Histogram } from 'hdr-histogram-js'

/** Unit of the values in histograms of waiting times: microseconds. */
export const MICROS_PER_MS = 1_000

/** Quantiles of waiting times, in milliseconds. */
export interface WaitTimes {
  count: number
  p50Ms: number
  p99Ms: number
  p999Ms: number
  maxMs: number
}

/** Reads the quantiles of a histogram whose values are in microseconds. */
export function waitTimesOf (histogram: Histogram): WaitTimes {
  return {
    count: histogram.totalCount,
    p50Ms: histogram.getValueAtPercentile(50) / MICROS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROS_PER_MS,
    p999Ms: histogram.getValueAtPercentile(99.9) / MICROS_PER_MS,
    maxMs: histogram.maxValue / MICROS_PER_MS
  }
}
