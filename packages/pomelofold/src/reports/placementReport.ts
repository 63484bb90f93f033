/**
 * Reports the capacity used on workers and the waiting times of requests, from the figures of all entry daemons.
 *
 * @module
 */

import { build, decodeFromCompressedBase64, type Histogram } from 'hdr-histogram-js'
import { waitTimesOf, type WaitTimes } from '../utils/waitTimes.js'
import type { RequestClass } from '../protocol/requests.js'
import type { Capacity } from '../protocol/vms.js'

const HISTOGRAM_OPTIONS = { numberOfSignificantValueDigits: 2, bitBucketSize: 64, autoResize: true } as const

/** Names of a worker's resources, as used in a capacity. */
export const RESOURCES = ['cpus', 'memoryMb', 'accelerators'] as const

/** Workers, tasks and used capacity of one failure domain, counted by its job manager. */
interface PlacementCounts {
  workers: number
  workersInUse: number
  tasks: number
  capacity: Capacity
  used: Capacity
}

/** The figures of entry daemons that {@link placementReport} reads. */
export interface CellPlacementFigures {
  figures: Record<string, DaemonPlacementFigures>
  unreachable: string[]
}

interface DaemonPlacementFigures {
  failureDomain?: string
  jobs?: { active: boolean, placement?: PlacementCounts }
  requests?: { waits: ClassWaitHistogram[] }
}

interface ClassWaitHistogram {
  class: RequestClass
  histogram: string
}

/** Waiting times of one class before the first send. */
export interface ClassWaits extends WaitTimes {
  class: RequestClass
}

/** Workers, tasks and used capacity of one failure domain. */
export interface DomainPlacement extends PlacementCounts {
  failureDomain: string
}

/** Used capacity and waiting times of a cell. */
export interface PlacementReport {
  domains: DomainPlacement[]
  /** Waiting times by class, counted since the start of each daemon. */
  waits: ClassWaits[]
  /** Unreachable entry VMs, whose figures are missing. */
  unreachable: string[]
}

/** Collects the placement of the active job managers and adds up the waiting times of all daemons by class. */
export function placementReport ({ figures, unreachable }: CellPlacementFigures): PlacementReport {
  const daemons = Object.values(figures)
  const domains = daemons.flatMap(({ failureDomain = '', jobs }) => jobs?.placement ? [{ failureDomain, ...jobs.placement }] : [])
  return {
    domains: domains.sort((a, b) => a.failureDomain.localeCompare(b.failureDomain)),
    waits: waitsByClass(daemons.flatMap(({ requests }) => requests?.waits ?? [])),
    unreachable
  }
}

function waitsByClass (waits: ClassWaitHistogram[]): ClassWaits[] {
  const histogramByClass = new Map<RequestClass, Histogram>()
  for (const { class: cls, histogram } of waits) {
    const classHistogram = histogramByClass.get(cls) ?? build(HISTOGRAM_OPTIONS)
    classHistogram.add(decodeFromCompressedBase64(histogram, HISTOGRAM_OPTIONS.bitBucketSize))
    histogramByClass.set(cls, classHistogram)
  }
  return [...histogramByClass].map(([cls, histogram]) => ({
    class: cls,
    ...waitTimesOf(histogram)
  }))
}
