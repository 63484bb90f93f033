/**
 * A route is dropped by a new configuration while a job of its queue runs, and the machine that leads is stopped and
 * started again after that.
 */

import { runCase, sleep, until, Unable } from '../lib-2/cell.mjs'

const ID = '5c0e7a21d94b36f8'
const FIRST_STEP_MS = 9_000
const KEPT = route('kept', '/kept/')
const DROPPED = route('dropped', '/dropped/')

function route (name, prefix) {
  return {
    name,
    host: 'cell.example',
    prefix,
    service: 'hub',
    route_type: 'unsafe',
    timeout_ms: 3000,
    priority: 1,
    max_attempts: 3,
    stretch: 2,
    target_duration_ms: 1200
  }
}

runCase(import.meta.url, async (cell, trouble) => {
  cell.configure([KEPT, DROPPED])
  await cell.start({ daemons: 3 })
  for (let index = 0; index < 3; index++) {
    await cell.addMinion({ id: `i-${index}`, service: 'hub', capacity: { cpu: 64000, mem_mb: 131072, gpu: 0 }, labels: ['a', `r1-${index}`] })
  }
  const step = { task_count: 2, cpu: 5000, mem_mb: 1024, est_runtime_ms: FIRST_STEP_MS }
  const body = { spec: `ms=${FIRST_STEP_MS}`, steps: [step, { ...step, after: [0] }] }
  const [caller] = cell.daemons
  const handedIn = await until(async () => {
    const answer = await cell.call(caller, 'POST', `/dropped/${ID}`, body)
    return answer.status === 200 && answer
  }, 10_000, 'the job is accepted')
  if (handedIn.status !== 200) throw new Unable('the job was not accepted')
  await until(() => cell.starts(`${ID}.0.0.0`).length && cell.starts(`${ID}.0.0.1`).length, 10_000, 'the first step runs')
  cell.configure([KEPT])
  await sleep(3_000)
  if (trouble) {
    const { leader, term } = cell
    cell.signal(leader, 'SIGTERM')
    await until(() => cell.leader && cell.term > term, 15_000, 'the next leader')
  }
  await until(() => cell.ends(`${ID}.0.0.0`, 'done').length && cell.ends(`${ID}.0.0.1`, 'done').length, 30_000, 'the first step ends')
  // finish_s is 14 s after the end of the traffic; a task whose turn has come may have nothing running for 3 s of them.
  await sleep(17_000)
  const control = await cell.call(cell.daemons[0], 'POST', '/kept/00000000000000aa', { spec: 'ms=500', steps: [{ ...step, est_runtime_ms: 500 }] })
  await sleep(3_000)
  const controlState = await cell.call(cell.daemons[0], 'GET', '/kept/00000000000000aa')
  if (control.status !== 200 || controlState.body?.state !== 'completed') throw new Unable('a job of the other route was not run')
  const started = cell.starts(`${ID}.0.1.0`).length + cell.starts(`${ID}.0.1.1`).length
  if (started < 2) return 'LOST: the second step of the accepted job has nothing running 17 s after its turn came, with all minions idle'
})
