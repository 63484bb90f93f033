/**
 * Guards the placement report: inactive job managers must not be counted, and waiting times of several daemons have to be added
 * up as histograms, since quantiles cannot be added.
 */

import t from 'tap'
import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js'
import { placementReport } from 'pomelofold/reports/placementReport'

/** Maximum relative error of a histogram with two significant digits. */
const PRECISION = 0.01

function waitsOf (cls: 'urgent' | 'batch', ...waitsMs: number[]) {
  const histogram = build({ highestTrackableValue: 3_600_000_000, numberOfSignificantValueDigits: 2, bitBucketSize: 64 })
  for (const waitMs of waitsMs) histogram.recordValue(waitMs * 1_000)
  return { class: cls, histogram: encodeIntoCompressedBase64(histogram) }
}

const size = (cpus: number) => ({ cpus, memoryMb: 0, accelerators: 0 })

t.test('placement is taken from active job managers, and waiting times are added up by class', async t => {
  const placement = { workers: 2, workersInUse: 1, tasks: 3, capacity: size(128), used: size(32) }
  const report = placementReport({
    figures: {
      b1: { failureDomain: 'b', jobs: { active: true, placement }, requests: { waits: [waitsOf('urgent', 1, 2, 3)] } },
      a1: { failureDomain: 'a', jobs: { active: true, placement }, requests: { waits: [waitsOf('urgent', 100), waitsOf('batch', 7)] } },
      a2: { failureDomain: 'a', jobs: { active: false } }
    },
    unreachable: ['b2']
  })
  t.same(report.domains, [{ failureDomain: 'a', ...placement }, { failureDomain: 'b', ...placement }])
  t.match(report.waits, [{ class: 'urgent', count: 4 }, { class: 'batch', count: 1 }])
  const { p50Ms, maxMs } = report.waits[0]
  t.ok(Math.abs(p50Ms - 2) <= 2 * PRECISION, `p50 ${p50Ms}`)
  t.ok(Math.abs(maxMs - 100) <= 100 * PRECISION, `max ${maxMs}`)
  t.same(report.unreachable, ['b2'])
})
