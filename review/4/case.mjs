/**
 * The last run that a task may have fails while all daemons are down, and the store loses answers while they start again.
 */

import { HOST, runCase, sleep, TROUBLE, VERDICTS } from '../lib/cell.mjs'

const PREFIX = '/rebuild/'
const MAX_ATTEMPTS = 2
const MINIONS = 6
const CAPACITY = { cpu: 64_000, mem_mb: 131_072, gpu: 0 }
const JOB = { spec: 'job', steps: [{ task_count: 1, cpu: 11_000, mem_mb: 10_000, est_runtime_ms: 2_000 }] }
/** Time after which each run of the task fails by its own fault, in milliseconds. */
const FAILS_AFTER_MS = 2_000
const DOWN_MS = 1_000
/** Time for which answers of the store are lost, in milliseconds. */
const LOST_MS = 1_000
const CALM_MS = 12_000

await runCase(import.meta.url, async cell => {
  await cell.start({
    daemons: 3,
    config: {
      routes: [{ name: 'rebuild', host: HOST, prefix: PREFIX, service: 'hub', priority: 2, max_attempts: MAX_ATTEMPTS, stretch: 2.2, target_duration_ms: 1_200 }],
      services: [{ name: 'hub', health_path: '/health', enforces_capacity: false }]
    },
    minions: Array.from({ length: MINIONS }, (_, index) => ({
      id: `minion-${index}`,
      zone: `zone-${'abc'[index % 3]}`,
      service: 'hub',
      capacity: CAPACITY,
      labels: ['a', `r${index % 2}`],
      plan: () => ({ workMs: FAILS_AFTER_MS, how: 'failed' })
    }))
  })
  const id = await cell.submit(PREFIX, JOB)
  const task = `${id}.0.0.0`
  await cell.until(() => cell.startsOf(task).length === MAX_ATTEMPTS, 15_000, 'the last run of the task')
  if (TROUBLE) {
    await sleep(FAILS_AFTER_MS - DOWN_MS / 2)
    for (const daemon of cell.daemons) cell.signal(daemon, 'SIGKILL')
    await cell.until(() => cell.daemons.every(daemon => !daemon.process), 5_000, 'all daemons have ended')
    await sleep(DOWN_MS)
    cell.store.counts = { lost: 0, answered: 0 }
    cell.store.losesAnswer = (name, query) => name === 'GET /api/kv-range' && query.get('prefix') === 'op/config'
    cell.record('answers-lost-from')
    for (const daemon of cell.daemons) cell.startDaemon(daemon)
    await sleep(LOST_MS)
    cell.store.losesAnswer = () => false
    cell.record('answers-lost-until', cell.store.counts)
  }
  await sleep(CALM_MS)
  const state = await cell.state(PREFIX, id)
  const events = cell.events.filter(event => event.task === task)
  const noted = events.filter(({ what, how }) => what === 'taken-note' && how === 'failed').length
  const lastAllowed = events.filter(({ what, how }) => what === 'end' && how === 'failed')[MAX_ATTEMPTS - 1]
  const beyond = events.filter(({ what, atMs }) => what === 'start' && atMs > lastAllowed.atMs).length
  const text = `${beyond} starts after ${MAX_ATTEMPTS} runs had ended as failed, of which note was taken (${noted} ends in all); the job is ` +
    `shown as ${state}; ${cell.store.counts.lost} answers of the store were lost`
  return { verdict: beyond > 0 && noted >= MAX_ATTEMPTS ? VERDICTS.broken : VERDICTS.held, text }
})
