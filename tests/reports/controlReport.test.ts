/**
 * Guards the control report, also for a daemon that has just started, where a division by its uptime of 0 would yield no number.
 */

import t from 'tap'
import { controlReport } from 'pomelofold/reports/controlReport'

const claims = { held: 3, mapWrites: 2, takeovers: 1 }

t.test('resource usage is reported for each daemon, and unreachable daemons are listed', async t => {
  const report = controlReport({
    figures: {
      b1: { usage: { cpuMs: 30, residentBytes: 104_857_600, upMs: 1_000 }, claims },
      a1: { usage: { cpuMs: 0, residentBytes: 0, upMs: 0 }, claims }
    },
    unreachable: ['c1']
  })
  t.match(report.daemons, [{ vm: 'a1', cpuShare: 0 }, { vm: 'b1', cpuShare: 0.03, residentMb: 100, upSeconds: 1, claims: 3 }])
  t.same(report.unreachable, ['c1'])
})
