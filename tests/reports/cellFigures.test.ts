/**
 * Guards the burn report of a whole cell: no request may be counted twice, also when its idempotency key is repeated, and
 * daemons whose counts are missing have to be listed.
 */

import t from 'tap'
import { manifestSchema } from 'pomelofold/protocol/manifest'
import { burnReport, type CellBurnFigures } from 'pomelofold/reports/burnReport'
import { ScenarioCell, type EntryProcess } from '../scenarios/scenarioCell.js'

const SEED = 7
const OBJECTIVE = { class: 'urgent', waitMs: 50, target: 0.9 }

async function startCell () {
  const cell = new ScenarioCell({ seed: SEED, domains: ['a', 'b'], entriesPerDomain: 1, instancesPerDomain: 1, workersPerDomain: 1 })
  await cell.startAll()
  const manifest = manifestSchema.parse({ format: 1, services: [{ name: 'readings', objectives: [OBJECTIVE] }] })
  await Promise.all([cell.processes.get('a1')!.daemon.manifest.submit(manifest, 0), cell.clock.advance(20_000)])
  return cell
}

async function send (cell: ScenarioCell, { daemon }: EntryProcess, requestId: string, idempotencyKey?: string): Promise<void> {
  const answer = daemon.requests.handle({
    requestId, service: 'readings', class: 'urgent', deadlineMs: 2_000, atMostOnce: false, idempotencyKey, headers: {}, body: new Uint8Array()
  })
  await Promise.all([answer, cell.clock.advance(5_000)])
}

async function figuresOf (cell: ScenarioCell, { daemon }: EntryProcess): Promise<CellBurnFigures> {
  const [res] = await Promise.all([daemon.app.request('/v1/figures'), cell.clock.advance(5_000)])
  return await res.json() as CellBurnFigures
}

t.test('each request is counted once, at the daemon that received it, and a repeated key is not counted again', async t => {
  const cell = await startCell()
  const [a1, b1] = ['a1', 'b1'].map(vm => cell.processes.get(vm)!)
  await send(cell, a1, 'r1')
  await send(cell, b1, 'r2', 'key')
  await send(cell, b1, 'r3', 'key')
  const report = burnReport(await figuresOf(cell, a1))
  t.match(report.objectives, [{ service: 'readings', windows: { objective: { good: 2, refused: 0, late: 0, failed: 0, unknown: 0 } } }])
  t.same(report.unreachable, [])
})

t.test('an unreachable daemon is listed and not counted', async t => {
  const cell = await startCell()
  const [a1, b1] = ['a1', 'b1'].map(vm => cell.processes.get(vm)!)
  await send(cell, b1, 'r1')
  cell.kill('b1')
  const report = burnReport(await figuresOf(cell, a1))
  t.same(report.unreachable, ['b1'])
  t.match(report.objectives, [{ windows: { objective: { good: 0 } } }])
})
