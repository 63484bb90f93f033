import type { ChildProcess } from 'node:child_process'
import t from 'tap'
import { injectFaults, planFaults } from './faults.js'
import type { SoakCell, SoakDaemon } from './soakCell.js'

/** Longest time until a series of one restart has ended, in milliseconds. */
const LIMIT_MS = 20_000

// Guards against a soak that never ends: two faults restart a daemon, and one of them waits for a process that has been replaced.
t.test('a restart ends when another fault has already started the daemon again', { timeout: LIMIT_MS }, async t => {
  const daemon = { process: {}, hasLogged: true } as SoakDaemon
  t.teardown(() => { daemon.process = undefined })
  let starts = 0
  const cell = {
    daemons: [daemon],
    // The other fault starts the next process as soon as this one has ended.
    signal: (signalled: SoakDaemon, signal: string) => {
      if (signal === 'SIGTERM') setTimeout(() => { signalled.process = {} as ChildProcess }, 5)
    },
    startDaemon: () => starts++
  } as unknown as SoakCell
  await injectFaults(cell, { seed: 1, series: [[{ name: 'term', afterMs: 0 }]] })
  t.equal(starts, 0, 'the process of the other fault goes on')
})

t.test('the series that did not end has two overlapping restarts in turn', t => {
  const [[first, second]] = planFaults(32, 8_000, { workerFaults: true, capacityFaults: false })
  t.same([first.name, second.name], ['termInTurn', 'termInTurn'])
  t.end()
})
