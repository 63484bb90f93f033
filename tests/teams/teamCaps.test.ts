/**
 * Tests of the decision how many tasks a team may start under its cap.
 *
 * @module
 */

import fc from 'fast-check'
import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { addResources, NO_RESOURCES, type Resources } from 'pomelofold/protocol/workflows'
import type { TeamConfig } from 'pomelofold/seams/workflowUpstreams'
import { TeamCaps, tasksWithinCap, type CapRequest } from 'pomelofold/teams/teamCaps'
import { TeamUsage } from 'pomelofold/teams/teamUsage'

const names = ['cpuMillis', 'memoryMb', 'accelerators'] as const

function res (cpuMillis: number, memoryMb = 0, accelerators = 0): Resources {
  return { cpuMillis, memoryMb, accelerators }
}

/** Caps of a team `x`, whose cap may be changed. */
function newCaps (
  cap: Resources
): { caps: TeamCaps, usage: TeamUsage, team: TeamConfig, timers: ManualTimers, events: string[], unseen: Resources } {
  const team: TeamConfig = { name: 'x', weight: 1, cap }
  const self = { usage: new TeamUsage(), team, timers: new ManualTimers(), events: [] as string[], unseen: NO_RESOURCES }
  const caps = new TeamCaps({
    usage: self.usage,
    teams: () => ({ byName: new Map([['x', self.team]]), nameByKeyHash: new Map() }),
    inherited: () => self.unseen,
    timers: self.timers,
    log: { event: (_level, name) => { self.events.push(name) } }
  })
  return Object.assign(self, { caps })
}

function request (req: Partial<CapRequest> = {}): CapRequest {
  return { step: {}, team: 'x', size: res(1), tasks: 1, gang: false, waitedMs: () => 0, ...req }
}

const resources = (max: number): fc.Arbitrary<Resources> => fc.record({
  cpuMillis: fc.nat(max), memoryMb: fc.nat(max), accelerators: fc.nat(max)
})

t.test('as many tasks start as fit into each limited resource, and none of a gang that does not fit as a whole', async t => {
  const drawn = [resources(40), resources(40), resources(6), fc.integer({ min: 1, max: 9 }), fc.boolean()] as const
  fc.assert(fc.property(...drawn, (cap, used, size, tasks, gang) => {
    const count = tasksWithinCap({ cap, used, size, tasks, gang })
    const unit = gang ? tasks : 1
    const fits = (n: number): boolean =>
      names.every(name => cap[name] === 0 || size[name] === 0 || used[name] + n * size[name] <= cap[name])
    const isOversized = names.some(name => cap[name] > 0 && unit * size[name] > cap[name])
    if (isOversized) {
      return count === 0 || (count === unit && fits(unit - 1))
    }
    return gang ? count === (fits(tasks) ? tasks : 0) : (count === 0 || fits(count)) && (count === tasks || !fits(count + 1))
  }), { seed: 1 })
})

t.test('a task larger than the cap starts when its team is within the cap, a gang only when it exceeds the cap by less than a task', async t => {
  const large = { cap: res(4), size: res(6), tasks: 3, gang: false }
  t.equal(tasksWithinCap({ ...large, used: res(0) }), 1)
  t.equal(tasksWithinCap({ ...large, used: res(6) }), 0)
  const gang = { cap: res(10), size: res(3), gang: true, used: res(0) }
  t.equal(tasksWithinCap({ ...gang, tasks: 4 }), 4)
  t.equal(tasksWithinCap({ ...gang, tasks: 4, used: res(2) }), 0)
  t.equal(tasksWithinCap({ ...gang, tasks: 5 }), 0)
})

t.test('whatever starts, ends and becomes unseen, no start brings a team above the cap that is in force', async t => {
  const action = fc.record({
    size: fc.integer({ min: 1, max: 4 }),
    tasks: fc.integer({ min: 1, max: 5 }),
    gang: fc.boolean(),
    cap: fc.integer({ min: 4, max: 20 }),
    ends: fc.nat(4)
  })
  fc.assert(fc.property(fc.array(action, { maxLength: 60 }), actions => {
    const { caps, usage, team } = newCaps(res(10))
    const running: Resources[] = []
    for (const { size, tasks, gang, cap, ends } of actions) {
      team.cap = res(cap)
      for (const ended of running.splice(0, ends)) usage.add('x', ended, -1)
      caps.startPass()
      const count = caps.limit(request({ size: res(size), tasks, gang }))
      if (gang && count !== 0 && count !== tasks) return false
      for (let started = 0; started < count; started++) {
        running.push(res(size))
        usage.add('x', res(size))
      }
      const total = running.reduce((sum, each) => addResources(sum, each), NO_RESOURCES).cpuMillis
      if (count > 0 && total > Math.max(cap, cap + (gang && tasks * size > cap ? size : 0))) return false
    }
    return true
  }), { seed: 1 })
})

t.test('runs of unknown teams and what an earlier scheduler may have started count for the team', async t => {
  const self = newCaps(res(10))
  t.equal(self.caps.limit(request({ tasks: 20 })), 10)
  self.usage.addUnattributed(res(3))
  t.equal(self.caps.limit(request({ tasks: 20 })), 7)
  self.unseen = res(5)
  t.equal(self.caps.limit(request({ tasks: 20 })), 2)
  t.match(self.caps.explain(request({ tasks: 20 })), { resource: 'cpuMillis', used: 0, unknown: 8, cap: 10, fits: 'yes' })
})

t.test('later steps of a team leave the rest of the cap to a gang that has waited, until it is placed', async t => {
  const { caps, usage, timers } = newCaps(res(10))
  const gang = request({ size: res(2), tasks: 4, gang: true, waitedMs: () => 1_000 })
  usage.add('x', res(1), 4)
  caps.startPass()
  t.equal(caps.limit(gang), 0)
  t.equal(caps.limit(request()), 0, 'a later task is held')
  usage.add('x', res(1), -2)
  caps.startPass()
  t.equal(caps.limit(gang), 4)
  caps.noteNotPlaced(gang)
  t.equal(caps.limit(request()), 0, 'it is held while the gang waits for workers')
  await timers.advance(4_000)
  caps.startPass()
  caps.limit(gang)
  caps.noteNotPlaced(gang)
  t.equal(caps.limit(request()), 1, 'not for ever')
  usage.add('x', res(1), 2)
  caps.startPass()
  t.equal(caps.limit(gang), 0)
  t.equal(caps.limit(request()), 1, 'nor does it drain the cap again at once')
  caps.startPass()
  t.equal(caps.limit(request({ ...gang, tasks: 9 })), 0)
  t.equal(caps.limit(request()), 1, 'a gang that never fits holds nothing')
})

t.test('a team is reported at its cap once, and below it after a second without held steps', async t => {
  const { caps, usage, timers, events } = newCaps(res(2))
  for (let pass = 0; pass < 50; pass++) {
    caps.startPass()
    if (pass % 10 > 0) caps.limit(request({ tasks: 3 }))
    await timers.advance(100)
  }
  t.same(events, ['team.cap.reached'])
  t.match(caps.figures(), { teamsAtCap: 1, stepsHeldByCap: 1 })
  await timers.advance(1_000)
  caps.startPass()
  t.same(events, ['team.cap.reached', 'team.cap.below'])
  for (let team = 0; team < 100; team++) usage.add(`team-${team}`, res(1))
  usage.add('x', res(1))
  t.same(caps.figures().teamCaps, { x: { usedCpuMillis: 1, usedMemoryMb: 0, usedAccelerators: 0, capPercent: 50, heldSteps: 0 } })
})
