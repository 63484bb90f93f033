/**
 * Readings of both clocks of a VM, for times that must not be underestimated when the VM is suspended: its monotonic clock
 * stops, its wall clock does not.
 *
 * @module
 */

import type { Timers } from './timers.js'

/**
 * Least change of the offset between wall clock and monotonic clock that counts as a suspension of the VM, in
 * milliseconds. Clock adjustments stay below this.
 */
const MIN_VM_SUSPENSION_MS = 250

/** One moment on both clocks. */
export interface ClockReading {
  monotonicMs: number
  wallMs: number
}

/** Reads both clocks. */
export function readClocks (timers: Timers): ClockReading {
  return { monotonicMs: timers.now(), wallMs: timers.wallClock() }
}

/** The moment `ms` before a reading. */
export function earlierBy ({ monotonicMs, wallMs }: ClockReading, ms: number): ClockReading {
  return { monotonicMs: monotonicMs - ms, wallMs: wallMs - ms }
}

/**
 * Time by which the wall clock has advanced more than the monotonic clock since a reading, in milliseconds; 0 when the difference is
 * small enough for a clock adjustment. Negative when the wall clock was set back.
 */
export function suspendedMsSince (timers: Timers, { monotonicMs, wallMs }: ClockReading): number {
  const differenceMs = (timers.wallClock() - wallMs) - (timers.now() - monotonicMs)
  return Math.abs(differenceMs) > MIN_VM_SUSPENSION_MS ? differenceMs : 0
}

/** Time since a reading by the clock that shows more, in milliseconds; infinite while the clocks disagree. */
export function elapsedMsSince (timers: Timers, reading: ClockReading): number {
  if (suspendedMsSince(timers, reading) !== 0) return Number.POSITIVE_INFINITY
  return Math.max(timers.now() - reading.monotonicMs, timers.wallClock() - reading.wallMs)
}
