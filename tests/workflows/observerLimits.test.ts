/**
 * Tests of time limits that each scheduler counts from its own beginning, or from when it notices an event.
 *
 * @module
 */

import t from 'tap'
import { MemoryPlatformClient } from '@pomelofold/standins/memoryPlatformClient'
import { KeyValueStore } from '@pomelofold/standins/keyValueStore'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { GroupCommitter } from 'pomelofold/commits/groupCommitter'
import { EligibilityCache } from 'pomelofold/workflows/eligibilityCache'
import { EligibilityDaemons } from 'pomelofold/workflows/eligibilityDaemons'
import { LEASE_ENDS_KEY, SPEEDS_KEY } from 'pomelofold/workflows/keys'
import { LeaseEndRecorder } from 'pomelofold/workflows/leaseEndRecorder'
import { LeaseEndView } from 'pomelofold/workflows/leaseEndView'
import type { WorkerSpeedEstimator } from 'pomelofold/workflows/workerSpeedEstimator'
import { WorkerSpeedStore } from 'pomelofold/workflows/workerSpeedStore'
import { delay } from 'pomelofold/seams/timers'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'
import { cellWithStartInTransit, replaceLeader, replaceLeaders, timeOfRestart, workerOf } from './leaderChain.js'
import { WorkflowCell } from './workflowCell.js'

// Guards against a late start that a chain of leaders forgets (TWICE).
t.test('a late start at a restarted worker that does not answer runs no task twice under a chain of leaders', async t => {
  for (const { lastMs, orderDelayMs } of [{ lastMs: 1_500, orderDelayMs: 10_000 }, { lastMs: 3_000, orderDelayMs: 11_500 }]) {
    for (const count of [1, 2, 3]) {
      const { cell, task } = await cellWithStartInTransit({ orderDelayMs, reachableAfterMs: 25_000, daemons: 6 })
      await replaceLeaders(cell, { how: 'refused', count, lastMs })
      await cell.timers.advance(40_000)
      const runs = cell.runsOf(task).map(run => `${run.worker} ${run.startMs} to ${run.endMs}`)
      t.same(cell.violations(), [], `${count} leaders, each ${lastMs} ms, late by ${orderDelayMs} ms: ${runs.join(', ')}`)
    }
  }
})

// Guards against starts in transit that are handed over once, and forgotten when the roster no longer contains their worker (TWICE).
t.test('a late start at a worker that comes back under its id is known to the next leader but one', async t => {
  for (const how of ['refused', 'handedOver'] as const) {
    for (const lastMs of [7_500, 8_500]) {
      const { cell, task } = await cellWithStartInTransit({
        orderDelayMs: 11_500, listedAfterMs: 11_000, reachableAfterMs: 14_000, refusesConnections: true, daemons: 6
      })
      await cell.timers.advance(1_000)
      await replaceLeader(cell, how)
      await cell.timers.advance(lastMs)
      await replaceLeader(cell, how)
      await cell.timers.advance(30_000)
      const runs = cell.runsOf(task).map(run => `${run.worker} ${run.startMs} to ${run.endMs}`)
      t.same(cell.violations(), [], `leader ${how}, the second lasts ${lastMs} ms: ${runs.join(', ')}`)
    }
  }
})

// Guards against a stall that is counted from the first report to each leader.
t.test('a chain of leaders does not prolong the time until a stalled run is replaced', async t => {
  for (const count of [0, 5]) {
    const cell = new WorkflowCell({ daemons: 5, runMs: () => 600_000 })
    await cell.waitUntilReady()
    await cell.timers.advance(3_000)
    const workflow = cell.workflow([{ tasks: 1, estimateMs: 40_000 }])
    const task = `${workflow.id}.0.0.0`
    await cell.submit(workflow, cell.leader!)
    await cell.timers.advanceUntil(() => cell.runsOf(task).length > 0)
    const worker = workerOf(cell, task)
    const extend = worker.extend.bind(worker)
    worker.extend = async extension => {
      const report = await extend(extension)
      return 'running' in report ? { ...report, running: report.running.map(run => ({ ...run, percent: 0 })) } : report
    }
    const stalledMs = cell.timers.now()
    await replaceLeaders(cell, { how: 'handedOver', count, lastMs: 6_000, newVms: true })
    const waitedMs = await timeOfRestart(cell, task, { limitMs: 120_000 }) - stalledMs
    t.ok(waitedMs <= 18_000, `${count} changes of leader: started ${waitedMs} ms after the stall`)
  }
})

// Guards against a run that counts as young because the scheduler has just found it.
t.test('a task that has run for long is not suspected for crashes of its workers soon after changes of leader', async t => {
  for (const changes of [false, true]) {
    const cell = new WorkflowCell({ daemons: 5, workers: 6, runMs: () => 600_000 })
    await cell.waitUntilReady()
    await cell.timers.advance(3_000)
    const workflow = cell.workflow([{ tasks: 1, estimateMs: 600_000 }])
    const task = `${workflow.id}.0.0.0`
    await cell.submit(workflow, cell.leader!)
    for (let crash = 1; crash <= 2; crash++) {
      await cell.timers.advanceUntil(() => cell.runsOf(task).length >= crash, { limitMs: 30_000 })
      await cell.timers.advance(20_000)
      if (changes) await replaceLeader(cell, 'refused')
      await cell.timers.advance(1_500)
      cell.crashWorker(workerOf(cell, task))
    }
    await cell.timers.advance(15_000)
    const suspicions = cell.events.filter(({ name }) => name === 'task.suspected').map(({ fields }) => `${String(fields.ageMs)} ms old`)
    t.same(suspicions, [], `with changes of leader ${changes}`)
  }
})

const NO_STARTS = { tasks: [], endMs: 0, runsEndMs: 0 }

// Guards against a record that is full of leases which have ended long ago (LOST).
t.test('the loss of a worker is recorded although many others have been cut off for long', async t => {
  for (const cutOff of [100, 400]) {
    const timers = new ManualTimers()
    const store = new KeyValueStore({ timers })
    const platform = new MemoryPlatformClient({ store, timers })
    const committer = new GroupCommitter({ timers, platform, random: new SeededRandom(1), writer: 'test', minIntervalMs: 100 })
    const recorder = new LeaseEndRecorder({
      epoch: 1,
      platform,
      committer,
      timers,
      log: SILENT_LOG,
      view: new LeaseEndView({ timers }),
      isStoreReachable: () => true,
      onWritten: () => {},
      onFenced: () => {}
    })
    recorder.load()
    await timers.advance(100)
    for (let index = 0; index < cutOff; index++) recorder.noteLost(`w${index}@1`, timers.now() + 6_000, NO_STARTS)
    await timers.advance(60_000)
    recorder.noteLost('new@1', timers.now() + 6_000, NO_STARTS)
    await timers.advance(2_000)
    t.match(store.get(LEASE_ENDS_KEY)?.value, 'new@1', `${cutOff} workers are cut off`)
    recorder.close()
  }
})

// Guards against starts with an invalid ticket: its validity begins when the service answers, not when the answer arrives.
t.test('a ticket whose answer was long on its way is not used after the end of its validity', async t => {
  for (const transitMs of [100, 500]) {
    const timers = new ManualTimers()
    const daemons = new EligibilityDaemons({ timers, daemons: () => ['d'] })
    const cache = new EligibilityCache({
      timers,
      log: SILENT_LOG,
      daemons,
      queryThroughDaemon: async (_daemon, _step, ids) => {
        const answer = { tickets: Object.fromEntries(ids.map(id => [id, 'ticket'])), validMs: 2_000 }
        await delay(timers, transitMs)
        return answer
      },
      onAnswer: () => {}
    })
    cache.queryWorkers({ step: 's', workers: [{ id: 'w', incarnation: 'w@1' }], queue: 'q', priority: 0, expectedMs: 400 })
    await timers.advance(1_000)
    t.equal(cache.ticket('s', 'w@1'), 'ticket', 'it is used before')
    await timers.advance(1_050)
    t.equal(cache.ticket('s', 'w@1'), undefined, `the answer was ${transitMs} ms on its way`)
  }
})

// Guards against measurements that no leader keeps, since each one writes only long after its beginning.
t.test('speeds that were measured are kept by leaders that last a minute', async t => {
  for (const workerCount of [245, 6_000]) {
    const timers = new ManualTimers()
    const store = new KeyValueStore({ timers })
    const platform = new MemoryPlatformClient({ store, timers })
    const incarnations = new Set(Array.from({ length: workerCount }, (_, index) => `w${index}@1`))
    const snapshot = { workers: { 'w0@1': [1, 1] } }
    for (let leader = 0; leader < 5; leader++) {
      const estimator = { restore: () => {}, snapshot: () => snapshot } as unknown as WorkerSpeedEstimator
      const speeds = new WorkerSpeedStore({ platform, timers, log: SILENT_LOG, estimator, incarnations: () => incarnations })
      speeds.start()
      await timers.advance(60_000)
      speeds.close()
    }
    t.ok(store.get(SPEEDS_KEY), `${workerCount} workers, five leaders of 60 s`)
  }
})
