import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'
import { SpareCpuPacer } from 'pomelofold/workflows/spareCpuPacer'
import type { RunHost } from 'pomelofold/workflows/runHost'
import type { Run } from 'pomelofold/workflows/workflowRuntime'

const TARGET_MS = 100
const REPORT_PERIOD_MS = 500
/** Longest time over the target that the users of a serving task bear, in milliseconds. */
const MAX_OVER_TARGET_MS = 4_000
const HOST = { life: 'w@1' } as unknown as RunHost

function run (name: string, spec: { usesSpareCpu: boolean, latencyTargetMs: number }): Run {
  return { name, pacePercent: 100, reading: undefined, task: { step: { spec } } } as unknown as Run
}

/** A worker with one serving task, whose tail is `ownMs` and `shareMs` for each paced task that runs in full. */
async function simulatePacing (
  load: { pacedTasks: number, seconds: number, ownTailMs: (atMs: number) => number, tailMsPerPacedTask: number }
): Promise<{ overMs: number, percents: number[] }> {
  const timers = new ManualTimers()
  const serving = run('serving', { usesSpareCpu: false, latencyTargetMs: TARGET_MS })
  const paced = Array.from({ length: load.pacedTasks }, (_, index) => run(`fill-${index}`, { usesSpareCpu: true, latencyTargetMs: 0 }))
  const pacer = new SpareCpuPacer({ timers, log: SILENT_LOG, pace: (run, percent) => { run.pacePercent = percent } })
  const percents: number[] = []
  let overSinceMs: number | undefined
  let overMs = 0
  const endMs = timers.now() + load.seconds * 1_000
  while (timers.now() < endMs) {
    const disturbanceMs = paced.reduce((sum, { pacePercent }) => sum + pacePercent! / 100, 0) * load.tailMsPerPacedTask
    serving.reading = load.ownTailMs(timers.now()) + disturbanceMs
    const missedBecauseOfPaced = serving.reading > TARGET_MS && serving.reading - disturbanceMs <= TARGET_MS && disturbanceMs > 0
    overSinceMs = missedBecauseOfPaced ? overSinceMs ?? timers.now() : undefined
    if (overSinceMs !== undefined) overMs = Math.max(overMs, timers.now() - overSinceMs + REPORT_PERIOD_MS)
    pacer.observe(HOST, [serving, ...paced])
    percents.push(paced[0].pacePercent!)
    await timers.advance(REPORT_PERIOD_MS)
  }
  return { overMs, percents }
}

t.test('a target that is missed because of the tasks beside it is met again in time', async t => {
  const { overMs } = await simulatePacing({ pacedTasks: 6, seconds: 60, ownTailMs: () => 60, tailMsPerPacedTask: 40 })
  t.ok(overMs > 0 && overMs < MAX_OVER_TARGET_MS, `${overMs} ms`)
})

t.test('disturbance that changes within seconds never lasts', async t => {
  const { overMs } = await simulatePacing({
    pacedTasks: 3, seconds: 120, ownTailMs: atMs => 40 + 35 * Math.sin(atMs / 1_700), tailMsPerPacedTask: 25
  })
  t.ok(overMs < MAX_OVER_TARGET_MS, `${overMs} ms`)
})

t.test('tasks run in full where they disturb nobody', async t => {
  const { percents } = await simulatePacing({ pacedTasks: 3, seconds: 20, ownTailMs: () => 30, tailMsPerPacedTask: 5 })
  t.same([...new Set(percents)], [100])
})

t.test('tasks are back to full when the load of the serving task has gone', async t => {
  const { percents } = await simulatePacing({
    pacedTasks: 2, seconds: 30, ownTailMs: atMs => atMs < 10_000 ? 85 : 20, tailMsPerPacedTask: 20
  })
  t.ok(Math.min(...percents) < 50)
  t.equal(percents.at(-1), 100)
})

t.test('tasks beside a serving task that misses its target by itself are not starved', async t => {
  const { percents } = await simulatePacing({ pacedTasks: 2, seconds: 60, ownTailMs: () => 150, tailMsPerPacedTask: 1 })
  t.ok(percents.some(percent => percent > 0, percents.slice(20)))
  t.ok(percents.slice(20).filter(percent => percent > 0).length > percents.length / 3)
})
