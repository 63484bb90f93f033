/**
 * Tests of the choice of workers: placement policies, gangs and their reservations, quotas, preemption, and the texts of
 * refusals. An error overfills a worker, splits a gang, exceeds a quota, or leaves a task waiting although there is room.
 */

import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import type { TaskRequest } from 'pomelofold/tasks/placementTypes'
import { WorkerPlacement } from 'pomelofold/tasks/placement/workerPlacement'

const LARGE_QUOTA = { cpus: 1000, memoryMb: 1_000_000, accelerators: 100 }

interface WorkerShape { cpus: number, accelerators?: number, rack?: string, failureDomain?: string }

function newPlacement (workers: Record<string, WorkerShape>, timers = new ManualTimers()): WorkerPlacement {
  const placement = new WorkerPlacement({ timers })
  for (const [name, shape] of Object.entries(workers)) setWorker(placement, name, shape)
  placement.setTeams([{ name: 'growth', quota: LARGE_QUOTA, borrow: false }])
  return placement
}

function setWorker (placement: WorkerPlacement, name: string, { cpus, accelerators = 0, rack = 'r', failureDomain = 'd' }: WorkerShape): void {
  placement.setWorker({ name, rack, failureDomain, capacity: { cpus, memoryMb: cpus * 2048, accelerators }, takesWork: true })
}

function newTask (taskId: string, cpus: number, fields: Partial<TaskRequest> & { accelerators?: number } = {}): TaskRequest {
  const { accelerators = 0, ...rest } = fields
  return {
    taskId, jobId: taskId.split('.')[0], kind: 'batch', class: 'normal', team: 'growth', size: { cpus, memoryMb: cpus * 1024, accelerators }, ...rest
  }
}

function gangOf (jobId: string, count: number, cpus: number, fields: Partial<TaskRequest> = {}): TaskRequest[] {
  return Array.from({ length: count }, (_, i) => newTask(`${jobId}.${i}`, cpus, { kind: 'gang', ...fields }))
}

function placeOrThrow (placement: WorkerPlacement, task: TaskRequest): string {
  return placement.place(task).unwrapOrElse(refusal => { throw new Error(refusal.detail) })
}

t.test('batch tasks fill one worker before the next', async t => {
  const placement = newPlacement({ a: { cpus: 4 }, b: { cpus: 4 } })
  const workers = ['1', '2', '3', '4'].map(id => placeOrThrow(placement, newTask(id, 1)))
  t.equal(new Set(workers).size, 1)
  t.not(placeOrThrow(placement, newTask('5', 1)), workers[0])
})

t.test('ten tasks of 0.1 cores fill one core exactly', async t => {
  const placement = newPlacement({ a: { cpus: 1 } })
  for (let i = 0; i < 10; i++) placeOrThrow(placement, newTask(`t${i}`, 0.1))
  t.equal(placement.place(newTask('more', 0.1)).isErr, true)
  t.same(placement.figures().used.cpus, 1)
})

t.test('a task without accelerators uses a worker without accelerators while one has room', async t => {
  const placement = newPlacement({ a: { cpus: 4, accelerators: 2 }, b: { cpus: 16 } })
  t.equal(placeOrThrow(placement, newTask('plain', 4)), 'b')
  t.equal(placeOrThrow(placement, newTask('train', 1, { accelerators: 1 })), 'a')
})

t.test('replicas of a service are spread over failure domains, then racks, then workers', async t => {
  const placement = newPlacement({
    a1: { cpus: 8, rack: 'a', failureDomain: 'x' },
    a2: { cpus: 8, rack: 'a', failureDomain: 'x' },
    b1: { cpus: 8, rack: 'b', failureDomain: 'x' },
    c1: { cpus: 8, rack: 'c', failureDomain: 'y' },
    d1: { cpus: 8, rack: 'd', failureDomain: 'y' }
  })
  const workers = Array.from({ length: 5 }, (_, i) => placeOrThrow(placement, newTask(`street.${i}`, 1, { kind: 'service' })))
  t.equal(new Set(workers.slice(0, 2).map(name => 'ab'.includes(name[0]))).size, 2, 'domains')
  t.equal(new Set(workers.slice(0, 4).map(name => name[0])).size, 4, 'racks')
  t.equal(new Set(workers).size, 5, 'workers')
})

t.test('either all tasks of a gang are placed in one rack, or none is placed', async t => {
  const placement = newPlacement({ a1: { cpus: 4, rack: 'a' }, a2: { cpus: 4, rack: 'a' }, b1: { cpus: 4, rack: 'b' }, b2: { cpus: 4, rack: 'b' } })
  placeOrThrow(placement, newTask('small', 1))
  const placed = placement.placeGang(gangOf('g', 2, 4), 'rack').unwrapOr(new Map())
  t.same([...placed.values()].map(name => name[0]).filter((rack, i, racks) => rack === racks[0]).length, 2)
  t.equal(placement.placeGang(gangOf('h', 2, 4), 'rack').isErr, true)
  t.equal(placement.workerOf('h.0'), undefined)
})

t.test('a waiting gang gets room while small tasks keep arriving, and small tasks use the room that is not reserved', async t => {
  const placement = newPlacement({ a: { cpus: 4 }, b: { cpus: 4 }, c: { cpus: 4 } })
  for (let i = 0; i < 12; i++) placeOrThrow(placement, newTask(`s${i}`, 1))
  const gang = gangOf('g', 2, 3)
  t.equal(placement.placeGang(gang, 'failureDomain').isErr, true)
  let started = 0
  for (let i = 0; i < 12; i++) {
    placement.release(`s${i}`)
    if (placement.place(newTask(`n${i}`, 1)).isOk) started++
  }
  t.equal(started, 6, 'small tasks in the room that the gang does not need')
  t.equal(placement.placeGang(gang, 'failureDomain').isOk, true)
})

t.test('a reservation expires when its gang is no longer requested', async t => {
  const timers = new ManualTimers()
  const placement = newPlacement({ a: { cpus: 4 } }, timers)
  placeOrThrow(placement, newTask('s', 1))
  t.equal(placement.placeGang(gangOf('g', 2, 2), 'rack').isErr, true)
  t.match(placement.place(newTask('n', 1)), { error: { reason: 'reserved' } })
  await timers.advance(60_000)
  t.equal(placement.place(newTask('n', 1)).isOk, true)
})

t.test('an urgent task uses the room held for a gang only while the reservation is recent', async t => {
  const timers = new ManualTimers()
  const placement = newPlacement({ a: { cpus: 4 } }, timers)
  placeOrThrow(placement, newTask('s', 1))
  const gang = gangOf('g', 2, 2)
  t.equal(placement.placeGang(gang, 'rack').isErr, true)
  t.equal(placeOrThrow(placement, newTask('u1', 1, { class: 'urgent' })), 'a')
  await timers.advance(59_000)
  t.equal(placement.placeGang(gang, 'rack').isErr, true)
  await timers.advance(2000)
  t.match(placement.place(newTask('u2', 1, { class: 'urgent' })), { error: { reason: 'reserved' } })
})

t.test('an overfull worker gets no task until it has room again', async t => {
  const placement = newPlacement({ a: { cpus: 2 } })
  placement.addRunningTask(newTask('x', 3), 'a')
  t.match(placement.place(newTask('y', 0.5)), { error: { reason: 'full' } })
  placement.resize('x', { cpus: 1, memoryMb: 10, accelerators: 0 })
  t.equal(placeOrThrow(placement, newTask('y', 0.5)), 'a')
})

t.test('a task found on an unlisted worker uses room there once the worker is listed', async t => {
  const placement = newPlacement({})
  placement.addRunningTask(newTask('x', 3), 'late')
  setWorker(placement, 'late', { cpus: 4 })
  t.equal(placement.workerOf('x'), 'late')
  t.equal(placement.place(newTask('y', 2)).isErr, true)
  t.equal(placeOrThrow(placement, newTask('z', 1)), 'late')
})

t.test('a worker that takes no work keeps its tasks and gets no new ones', async t => {
  const placement = newPlacement({ a: { cpus: 4 } })
  placeOrThrow(placement, newTask('x', 1))
  placement.setWorker({ name: 'a', rack: 'r', failureDomain: 'd', capacity: { cpus: 4, memoryMb: 8192, accelerators: 0 }, takesWork: false })
  t.equal(placement.place(newTask('y', 1)).isErr, true)
  t.equal(placement.workerOf('x'), 'a')
})

t.test('a team without a quota cannot place tasks, and a team that may not borrow cannot exceed its quota', async t => {
  const placement = newPlacement({ a: { cpus: 8 } })
  placement.setTeams([{ name: 'growth', quota: { cpus: 2, memoryMb: 9000, accelerators: 0 }, borrow: false }])
  t.match(placement.place(newTask('x', 1, { team: 'unknown' })), { error: { reason: 'quota' } })
  placeOrThrow(placement, newTask('y', 2))
  t.match(placement.place(newTask('z', 1)), { error: { reason: 'quota', detail: /uses 2 cpus of its quota of 2 cpus/ } })
})

t.test('preemption reclaims borrowed room from a team over its quota, but never stops a more urgent task or a service', async t => {
  const placement = newPlacement({ a: { cpus: 4 } })
  const quota = { cpus: 2, memoryMb: 4096, accelerators: 0 }
  placement.setTeams([{ name: 'growth', quota, borrow: true }, { name: 'adverts', quota, borrow: true }])
  placeOrThrow(placement, newTask('u', 1, { class: 'urgent' }))
  placeOrThrow(placement, newTask('listener', 1, { kind: 'service', class: 'overnight' }))
  placeOrThrow(placement, newTask('b1', 1))
  placeOrThrow(placement, newTask('b2', 1))
  const own = newTask('mine', 1, { team: 'adverts' })
  t.match(placement.place(own), { error: { reason: 'full' } })
  const plan = placement.planPreemption(own)
  t.equal(plan?.victims.length, 1)
  t.match(plan?.victims[0], /^b/)
  t.match(placement.place(newTask('b3', 1)), { error: { reason: 'quota' } })
  t.equal(placement.planPreemption(newTask('b3', 1)), undefined)
  placement.release('b1')
  placement.release('b2')
  placeOrThrow(placement, newTask('ours', 2, { team: 'adverts' }))
  t.equal(placement.planPreemption(newTask('mine', 1, { team: 'adverts', class: 'overnight' })), undefined)
})

t.test('preemption chooses the least urgent victims and no more than needed', async t => {
  const placement = newPlacement({ a: { cpus: 4 }, b: { cpus: 4 } })
  for (const id of ['n1', 'n2']) placement.addRunningTask(newTask(id, 2), 'a')
  for (const id of ['o1', 'o2']) placement.addRunningTask(newTask(id, 1, { class: 'overnight' }), 'b')
  placement.addRunningTask(newTask('n3', 2), 'b')
  t.same(placement.planPreemption(newTask('u', 1, { class: 'urgent' })), { worker: 'b', victims: ['o1'] })
  t.same(placement.planPreemption(newTask('u', 2, { class: 'urgent' }))?.victims.sort(), ['o1', 'o2'])
})

t.test('the refusal of a task that fits no worker names the worker that comes closest', async t => {
  const placement = newPlacement({ a: { cpus: 16 }, b: { cpus: 64 }, c: { cpus: 32 } })
  const expected = { error: { reason: 'never', detail: 'needs 96 cpus; the closest worker has 64 cpus (b)' } }
  t.match(placement.canEverFit([newTask('x', 96)], { gang: false }), expected)
  t.match(placement.place(newTask('x', 96)), expected)
})

t.test('the refusal of a gang that fits no rack names the rack that comes closest', async t => {
  const placement = newPlacement({ a1: { cpus: 8, rack: 'a' }, b1: { cpus: 8, rack: 'b' }, b2: { cpus: 4, rack: 'b' } })
  const gang = gangOf('g', 4, 4)
  t.match(placement.canEverFit(gang, { gang: true, within: 'rack' }), {
    error: { reason: 'never', detail: 'needs 16 cpus for 4 tasks in one rack; the closest one, b, has 12 cpus and fits 3 of the tasks' }
  })
  t.equal(placement.canEverFit(gang, { gang: true, within: 'failureDomain' }).isOk, true)
  t.match(placement.placeGang(gang, 'rack'), { error: { reason: 'never' } })
})

t.test('a gang whose tasks need only accelerators is placed', async t => {
  const placement = newPlacement({ a: { cpus: 4, accelerators: 2 } })
  const gang = gangOf('g', 2, 0).map(task => ({ ...task, size: { cpus: 0, memoryMb: 0, accelerators: 1 } }))
  t.equal(placement.canEverFit(gang, { gang: true, within: 'rack' }).isOk, true)
  t.same([...placement.placeGang(gang, 'rack').unwrapOr(new Map()).values()], ['a', 'a'])
})
