/**
 * A run of a task fails on a minion that fails all that it starts for some seconds. The other minions that may run the task are full.
 */

import { HOST, runCase, sleep, TROUBLE, VERDICTS } from '../lib/cell.mjs'

const PREFIX = '/rebuild/'
const MINIONS = 12
const LABELLED = 2
const CAPACITY = { cpu: 64_000, mem_mb: 131_072, gpu: 0 }
/** Fills one of the two minions that have the label. */
const LASTING = { spec: 'lasting', steps: [{ task_count: 1, cpu: 60_000, mem_mb: 20_000, est_runtime_ms: 500, required_label: 'b', long_running: true }] }
const TASK_CPU = 20_000
const JOB = { spec: 'job', steps: [{ task_count: 1, cpu: TASK_CPU, mem_mb: 10_000, est_runtime_ms: 1_000, required_label: 'b' }] }
/** Time for which the minion fails all that it starts, in milliseconds. */
const GREY_MS = 6_500
/** Time without a disruption in which the job has to run: `contact_ms`, `finish_s` and the 3 s of the rule, in milliseconds. */
const CALM_MS = 3_000 + 14_000 + 3_000

await runCase(import.meta.url, async cell => {
  let greyUntilMs = 0
  const lasts = new Set()
  const plan = task => {
    if (lasts.has(task.split('.')[0])) return { workMs: Number.POSITIVE_INFINITY }
    return cell.nowMs < greyUntilMs ? { workMs: 200, how: 'failed' } : { workMs: 1_000, how: 'done' }
  }
  await cell.start({
    daemons: 3,
    config: {
      routes: [{ name: 'rebuild', host: HOST, prefix: PREFIX, service: 'hub', priority: 2, max_attempts: 3, stretch: 2.2, target_duration_ms: 1_200 }],
      services: [{ name: 'hub', health_path: '/health', enforces_capacity: false }]
    },
    minions: Array.from({ length: MINIONS }, (_, index) => ({
      id: `minion-${index}`,
      zone: `zone-${'abc'[index % 3]}`,
      service: 'hub',
      capacity: CAPACITY,
      labels: [index < LABELLED ? 'b' : 'a', `r${index % 2}`],
      plan
    }))
  })
  const lastingId = 'ab00000000000001'
  lasts.add(lastingId)
  await cell.submit(PREFIX, LASTING, lastingId)
  await cell.until(() => cell.startsOf(`${lastingId}.0.0.0`).length === 1, 10_000, 'the task that lasts is at work')
  await sleep(2_000)
  if (TROUBLE) {
    greyUntilMs = cell.nowMs + GREY_MS
    cell.record('grey', { minion: cell.minions.slice(0, LABELLED).find(({ running }) => running.length === 0).id, untilMs: greyUntilMs })
  }
  const id = await cell.submit(PREFIX, JOB)
  const task = `${id}.0.0.0`
  await cell.until(() => cell.startsOf(task).length === 1, 10_000, 'the first run of the job')
  await sleep(Math.max(0, greyUntilMs - cell.nowMs))
  const calmSinceMs = cell.nowMs
  let state
  while (state !== 'completed' && cell.nowMs - calmSinceMs < CALM_MS) {
    state = await cell.state(PREFIX, id)
    await sleep(250)
  }
  const free = cell.minions[0].freeCpu(() => 60_000)
  const other = cell.minions[1].freeCpu(() => 60_000)
  const room = Math.floor(Math.max(free, other) / TASK_CPU)
  const starts = cell.startsOf(task).length
  const text = `after ${CALM_MS} ms without a disruption the job is ${state} with ${starts} starts; a sound minion with the label has room for ${room} of its tasks`
  return { verdict: state !== 'completed' && room >= 2 ? VERDICTS.broken : VERDICTS.held, text }
})
