/**
 * Guards the burn report: requests that are counted under a wrong cause or in a wrong window would raise false alerts or hide
 * real ones.
 */

import t from 'tap'
import { manifestSchema } from 'pomelofold/protocol/manifest'
import { BurnCounter } from 'pomelofold/reports/burnCounter'
import { burnPage } from 'pomelofold/reports/burnPage'
import { burnReport } from 'pomelofold/reports/burnReport'
import { ManualTimers } from '@pomelofold/standins/manualTimers'

const MINUTE_MS = 60_000
const MANIFEST = manifestSchema.parse({
  format: 1,
  services: [{ name: 'readings', objectives: [{ class: 'urgent', waitMs: 50, target: 0.9, windowDays: 7 }] }],
  teams: [{ name: 'gardeners', quota: { cpus: 1, memoryMb: 1, accelerators: 0 } }]
})
const REQ = { service: 'readings', class: 'urgent', team: 'gardeners' } as const
const GOOD = { outcome: 'ran', status: 200, waitedMs: 50 } as const
const LATE = { outcome: 'ran', status: 200, waitedMs: 51 } as const
const FAILED = { outcome: 'ran', status: 500, waitedMs: 1 } as const
const REFUSED = { outcome: 'not-run', status: 503 } as const
const UNKNOWN = { outcome: 'unknown', status: 502 } as const

function newCounter (timers = new ManualTimers()) {
  const counter = new BurnCounter({ timers })
  counter.setManifest(MANIFEST)
  return counter
}

function reportOf (...counters: BurnCounter[]) {
  return burnReport({ figures: Object.fromEntries(counters.map((counter, i) => [`e${i}`, { burn: counter.figures() }])), unreachable: ['e9'] })
}

t.test('each answer is counted under one cause', async t => {
  const counter = newCounter()
  for (const answer of [GOOD, LATE, FAILED, REFUSED, UNKNOWN]) counter.countAnswer(REQ, answer)
  const [row] = reportOf(counter).objectives
  t.same(row.windows.objective, { good: 1, refused: 1, late: 1, failed: 1, unknown: 1 })
})

t.test('requests leave the short windows first', async t => {
  const timers = new ManualTimers()
  const counter = newCounter(timers)
  counter.countAnswer(REQ, LATE)
  const late = () => Object.values(reportOf(counter).objectives[0].windows).map(counts => counts.late)
  t.same(late(), [1, 1, 1, 1, 1])
  const steps: Array<[number, number[]]> = [
    [5, [0, 1, 1, 1, 1]], [60, [0, 0, 1, 1, 1]], [360, [0, 0, 0, 1, 1]], [3 * 1440, [0, 0, 0, 0, 1]], [7 * 1440, [0, 0, 0, 0, 0]]
  ]
  for (const [minute, counts] of steps) {
    timers.advanceWithoutCallbacks(minute * MINUTE_MS - timers.now())
    t.same(late(), counts, `after ${minute} minutes`)
  }
})

t.test('counts of all daemons are added up before ratios are computed, and unreachable daemons are listed', async t => {
  const [a, b] = [newCounter(), newCounter()]
  for (let i = 0; i < 95; i++) a.countAnswer(REQ, GOOD)
  for (let i = 0; i < 5; i++) b.countAnswer(REQ, LATE)
  const { objectives, unreachable } = reportOf(a, b)
  t.equal(objectives.length, 1)
  t.equal(objectives[0].budgetLeft?.toFixed(6), '0.500000')
  t.equal(objectives[0].requestsLeft.toFixed(6), '5.000000')
  t.equal(objectives[0].burnRates.oneHour?.toFixed(6), '0.500000')
  t.same(unreachable, ['e9'])
})

t.test('unknown teams are counted together, and services without an objective not at all', async t => {
  const counter = newCounter()
  counter.countAnswer({ ...REQ, team: 'x' }, GOOD)
  counter.countAnswer({ ...REQ, team: 'y' }, GOOD)
  counter.countAnswer({ ...REQ, class: 'batch' }, GOOD)
  t.match(reportOf(counter).objectives, [{ team: '', windows: { objective: { good: 2 } } }])
})

t.test('a changed objective starts a new count', async t => {
  const counter = newCounter()
  counter.countAnswer(REQ, LATE)
  counter.setManifest(MANIFEST)
  t.match(reportOf(counter).objectives, [{ team: 'gardeners', windows: { objective: { late: 1 } } }])
  const changed = structuredClone(MANIFEST)
  changed.services[0].objectives[0].waitMs = 60
  counter.setManifest(changed)
  t.match(reportOf(counter).objectives, [{ team: '', waitMs: 60, windows: { objective: { late: 0 } } }])
})

t.test('the page has no references to other files and escapes names', async t => {
  const counter = newCounter()
  counter.countAnswer(REQ, LATE)
  const report = reportOf(counter)
  report.objectives[0].service = '<b>"x"'
  const page = burnPage({ ...report, unreachable: ['<i>'] })
  t.notMatch(page, /<script|<link|src=|href=|url\(|@import|<b>|<i>/)
  t.match(page, '&lt;b&gt;&quot;x&quot;')
})

t.test('an alert requires a burn rate above the limit in both of its windows', async t => {
  const timers = new ManualTimers()
  const objective = { class: 'urgent', waitMs: 50, target: 0.99, windowDays: 7 }
  const counter = new BurnCounter({ timers })
  counter.setManifest(manifestSchema.parse({ format: 1, services: [{ name: 'readings', objectives: [objective] }] }))
  const alert = () => reportOf(counter).objectives[0].alert
  for (let i = 0; i < 85; i++) counter.countAnswer(REQ, GOOD)
  for (let i = 0; i < 14; i++) counter.countAnswer(REQ, REFUSED)
  t.equal(alert(), 'ticket')
  for (let i = 0; i < 2; i++) counter.countAnswer(REQ, REFUSED)
  t.equal(alert(), 'page')
  timers.advanceWithoutCallbacks(5 * MINUTE_MS)
  t.equal(alert(), 'ticket')
  timers.advanceWithoutCallbacks(360 * MINUTE_MS)
  t.equal(alert(), 'none')
})
