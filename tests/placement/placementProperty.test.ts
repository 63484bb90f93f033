/**
 * Guards against errors in the incremental sums and indexes of placement: runs random sequences of calls and compares
 * placement after each call with a model that adds up all tasks anew.
 */

import fc from 'fast-check'
import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import type { TaskRequest, WorkerInfo } from 'pomelofold/tasks/placementTypes'
import { WorkerPlacement } from 'pomelofold/tasks/placement/workerPlacement'

const SEED = 20_261_203
const RUNS = 300
const TOLERANCE = 1e-9
const TEAMS = [
  { name: 'fixed', quota: { cpus: 6, memoryMb: 9000, accelerators: 1 }, borrow: false },
  { name: 'borrower', quota: { cpus: 2, memoryMb: 2000, accelerators: 0 }, borrow: true }
]

const RESOURCES = ['cpus', 'memoryMb', 'accelerators'] as const
const sizes = fc.record({
  cpus: fc.constantFrom(0.1, 0.2, 0.3, 1 / 3, 0.7, 1, 2.5),
  memoryMb: fc.constantFrom(100.1, 333.3, 512, 1000),
  accelerators: fc.constantFrom(0, 0, 0, 1)
})
const workerNumbers = fc.nat(5)
const tasks = fc.record({
  id: fc.nat(40),
  kind: fc.constantFrom('batch' as const, 'service' as const),
  class: fc.constantFrom('urgent' as const, 'normal' as const, 'overnight' as const),
  team: fc.constantFrom('fixed', 'borrower'),
  size: sizes
})
const steps = fc.array(fc.oneof(
  { weight: 6, arbitrary: fc.record({ step: fc.constant('place' as const), task: tasks }) },
  { weight: 2, arbitrary: fc.record({ step: fc.constant('gang' as const), task: tasks, count: fc.integer({ min: 1, max: 8 }), rack: fc.boolean() }) },
  { weight: 4, arbitrary: fc.record({ step: fc.constant('release' as const), id: fc.nat(40) }) },
  fc.record({ step: fc.constant('addRunningTask' as const), task: tasks, worker: workerNumbers }),
  fc.record({ step: fc.constant('resize' as const), id: fc.nat(40), size: sizes }),
  fc.record({ step: fc.constant('remove' as const), worker: workerNumbers }),
  fc.record({ step: fc.constant('worker' as const), worker: workerNumbers, takesWork: fc.boolean() }),
  fc.record({ step: fc.constant('time' as const), ms: fc.constantFrom(1000, 31_000, 61_000) })
), { minLength: 1, maxLength: 80 })

type Step = typeof steps extends fc.Arbitrary<Array<infer S>> ? S : never

/** Makes each call on the placement, records the placed tasks in plain maps, and checks the results against these. */
class PlacementModel {
  readonly timers = new ManualTimers()
  readonly placement = new WorkerPlacement({ timers: this.timers })
  readonly workers = new Map<string, WorkerInfo>()
  readonly tasks = new Map<string, { task: TaskRequest, worker: string }>()
  private _gangs = 0

  constructor () {
    this.placement.setTeams(TEAMS)
    for (let number = 0; number < 6; number++) this.worker({ worker: number, takesWork: true })
  }

  worker ({ worker, takesWork }: { worker: number, takesWork: boolean }): void {
    const info = { name: `w${worker}`, rack: `r${worker % 3}`, failureDomain: 'd', takesWork, capacity: { cpus: 3, memoryMb: 4000, accelerators: worker % 2 } }
    this.workers.set(info.name, info)
    this.placement.setWorker(info)
  }

  place (task: TaskRequest): void {
    if (this.tasks.has(task.taskId)) return
    const teamBefore = this.totalSize(item => item.task.team === task.team)
    const placed = this.placement.place(task)
    if (placed.isErr) return
    this._assertFits(placed.value, [task])
    this._assertWithinQuota(task, teamBefore, [task])
    this.tasks.set(task.taskId, { task, worker: placed.value })
  }

  gang (task: TaskRequest, count: number, within: 'rack' | 'failureDomain'): void {
    const jobId = `gang${this._gangs++ % 3}`
    const members = Array.from({ length: count }, (_, i) => ({ ...task, kind: 'gang' as const, jobId, taskId: `${jobId}.${i}` }))
    if (members.some(member => this.tasks.has(member.taskId))) return
    const teamBefore = this.totalSize(item => item.task.team === task.team)
    const placed = this.placement.placeGang(members, within)
    if (placed.isErr) return this._assertNonePlaced(members)
    if (placed.value.size !== count) throw new Error('only a part of a gang was placed')
    for (const name of new Set(placed.value.values())) {
      this._assertFits(name, members.filter(member => placed.value.get(member.taskId) === name))
    }
    this._assertWithinQuota(task, teamBefore, members)
    for (const member of members) this.tasks.set(member.taskId, { task: member, worker: placed.value.get(member.taskId)! })
    const racks = new Set([...placed.value.values()].map(name => this.workers.get(name)!.rack))
    if (within === 'rack' && racks.size > 1) throw new Error('a gang was placed in several racks')
  }

  addRunningTask (task: TaskRequest, worker: string): void {
    this.placement.addRunningTask(task, worker)
    this.tasks.set(task.taskId, { task, worker })
  }

  release (id: number): void {
    const gangTasks = [...this.tasks.keys()].filter(taskId => taskId.startsWith(`gang${id}.`))
    for (const taskId of [`t${id}`, ...gangTasks]) {
      this.placement.release(taskId)
      this.tasks.delete(taskId)
    }
  }

  remove (name: string): void {
    this.placement.removeWorker(name)
    this.workers.delete(name)
    for (const [taskId, { worker }] of this.tasks) if (worker === name) this.tasks.delete(taskId)
  }

  resize (taskId: string, size: TaskRequest['size']): void {
    this.placement.resize(taskId, size)
    const held = this.tasks.get(taskId)
    if (held) held.task = { ...held.task, size }
  }

  totalSize (filter: (item: { task: TaskRequest, worker: string }) => boolean): TaskRequest['size'] {
    const sum = { cpus: 0, memoryMb: 0, accelerators: 0 }
    for (const item of this.tasks.values()) {
      if (filter(item)) for (const resource of RESOURCES) sum[resource] += item.task.size[resource]
    }
    return sum
  }

  assertMatchesPlacement (): void {
    const figures = this.placement.figures()
    if (figures.tasks !== this.tasks.size) throw new Error(`placement has ${figures.tasks} tasks, the model has ${this.tasks.size}`)
    const held = this.totalSize(() => true)
    for (const resource of RESOURCES) {
      if (Math.abs(figures.used[resource] - held[resource]) > 0.1) throw new Error(`placement and model differ in ${resource}`)
    }
    for (const [taskId, { worker }] of this.tasks) {
      if (this.placement.workerOf(taskId) !== worker) throw new Error(`${taskId} is not placed on ${worker}`)
    }
  }

  private _assertFits (name: string, added: TaskRequest[]): void {
    const worker = this.workers.get(name)
    if (!worker?.takesWork) throw new Error(`a task was placed on ${name}, which takes no work`)
    const held = this.totalSize(item => item.worker === name)
    for (const resource of RESOURCES) {
      const sum = added.reduce((sum, task) => sum + task.size[resource], held[resource])
      if (sum > worker.capacity[resource] + TOLERANCE) throw new Error(`${name} is overfull in ${resource}`)
    }
  }

  private _assertWithinQuota ({ team }: TaskRequest, before: TaskRequest['size'], added: TaskRequest[]): void {
    if (team !== 'fixed') return
    for (const resource of RESOURCES) {
      const more = added.reduce((sum, task) => sum + task.size[resource], 0)
      if (more > 0 && before[resource] + more > TEAMS[0].quota[resource] + TOLERANCE) throw new Error(`quota exceeded in ${resource}`)
    }
  }

  private _assertNonePlaced (members: TaskRequest[]): void {
    if (members.some(member => this.placement.workerOf(member.taskId))) throw new Error('a task of a refused gang was placed')
  }
}

const toTask = ({ id, ...rest }: { id: number } & Omit<TaskRequest, 'taskId' | 'jobId'>): TaskRequest => ({ ...rest, taskId: `t${id}`, jobId: `j${id % 5}` })

async function run (model: PlacementModel, step: Step): Promise<void> {
  const handlers: { [S in Step['step']]: (step: Extract<Step, { step: S }>) => unknown } = {
    place: ({ task }) => model.place(toTask(task)),
    gang: ({ task, count, rack }) => model.gang(toTask(task), count, rack ? 'rack' : 'failureDomain'),
    release: ({ id }) => model.release(id),
    addRunningTask: ({ task, worker }) => model.addRunningTask(toTask(task), `w${worker}`),
    resize: ({ id, size }) => model.resize(`t${id}`, size),
    remove: ({ worker }) => model.remove(`w${worker}`),
    worker: step => model.worker(step),
    time: ({ ms }) => model.timers.advance(ms)
  }
  await (handlers[step.step] as (step: Step) => unknown)(step)
}

t.test('no sequence of calls overfills a worker, splits a gang, exceeds a quota or loses a task', async t => {
  await fc.assert(fc.asyncProperty(steps, async sequence => {
    const model = new PlacementModel()
    for (const step of sequence) {
      await run(model, step)
      model.assertMatchesPlacement()
    }
  }), { seed: SEED, numRuns: RUNS })
  t.pass('all sequences passed')
})
