/**
 * Simple policies that the scheduler is compared with, run in a discrete-event simulation.
 *
 * @module
 */

import { Heap } from 'heap-js'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { CLASSES_BY_URGENCY } from 'pomelofold/requests/requestQueue'
import { BenchResult } from './benchResult.js'
import { INSTANCE_MODES, type InstanceMode } from './benchInstances.js'
import { domainOf, NEAR_DELAY_MS, SLOTS, speedOf, type BenchRequest, type Deployment, type RunPlan } from './benchWorkload.js'

/** Requests that an instance accepts at once, running or waiting. */
const MAX_REQUESTS_PER_INSTANCE = 64

/** A service instance of the simulation. */
interface SimulatedInstance {
  index: number
  speed: number
  domain: number
  mode: InstanceMode
  running: number
  queue: BenchRequest[]
}

/** An event of the simulation; events at the same time run in the order of their creation. */
interface SimulationEvent {
  atMs: number
  order: number
  fn: () => void
}

/** State of a running simulation. */
interface Simulation {
  nowMs: number
  instances: SimulatedInstance[]
  random: SeededRandom
  /** Runs a request in a free slot of the instance. */
  start (req: BenchRequest, instance: SimulatedInstance, delayMs?: number): void
}

/** A policy, with its handlers of an arriving request and of a slot that becomes free. */
interface BaselinePolicy {
  onArrival (sim: Simulation, req: BenchRequest): void
  onSlotFree (sim: Simulation, instance: SimulatedInstance): void
}

/** Assigns each request to an instance on arrival, where it waits for a slot. */
function assignAtArrival (choose: (sim: Simulation, req: BenchRequest) => SimulatedInstance): BaselinePolicy {
  return {
    onArrival (sim, req) {
      const instance = choose(sim, req)
      if (instance.running < SLOTS) sim.start(req, instance)
      else if (instance.running + instance.queue.length < MAX_REQUESTS_PER_INSTANCE) instance.queue.push(req)
    },
    onSlotFree (sim, instance) {
      const next = instance.queue.shift()
      if (next) sim.start(next, instance)
    }
  }
}

function leastConnections ({ instances, random }: Simulation): SimulatedInstance {
  const offset = random.int(instances.length)
  let best = instances[offset]
  for (let i = 1; i < instances.length; i++) {
    const instance = instances[(offset + i) % instances.length]
    if (instance.running + instance.queue.length < best.running + best.queue.length) best = instance
  }
  return best
}

function roundRobin (): BaselinePolicy {
  const next = new Map<number, number>()
  return assignAtArrival((sim, req) => {
    const index = next.get(req.entry) ?? req.entry
    next.set(req.entry, index + 1)
    return sim.instances[index % sim.instances.length]
  })
}

/** One first-in, first-out queue for the cell, with exact knowledge of the free slots. */
function fifo (): BaselinePolicy {
  let queue: BenchRequest[] = []
  let head = 0
  return {
    onArrival (sim, req) {
      const free = sim.instances.filter(instance => instance.running < SLOTS)
      if (free.length > 0) sim.start(req, free[sim.random.int(free.length)])
      else queue.push(req)
    },
    onSlotFree (sim, instance) {
      while (head < queue.length && instance.running < SLOTS) {
        const req = queue[head++]
        if (sim.nowMs - req.atMs < req.deadlineMs) sim.start(req, instance)
      }
      if (head < 10_000) return
      queue = queue.slice(head)
      head = 0
    }
  }
}

/**
 * One queue for the cell with exact knowledge of speeds, run times and free slots. `farDelayMs` is the additional one-way
 * delay to other failure domains.
 */
function ideal ({ failureDomains, entriesPerDomain }: Deployment, farDelayMs = 0): BaselinePolicy {
  const priority = (req: BenchRequest): number => CLASSES_BY_URGENCY.indexOf(req.class)
  const queue = new Heap<BenchRequest>((a, b) => priority(a) - priority(b) || a.atMs + a.deadlineMs - b.atMs - b.deadlineMs)
  const delayMs = (req: BenchRequest, instance: SimulatedInstance): number =>
    Math.floor(req.entry / entriesPerDomain) % failureDomains === instance.domain ? NEAR_DELAY_MS : NEAR_DELAY_MS + farDelayMs
  const finishesBeforeDeadline = (sim: Simulation, req: BenchRequest, instance: SimulatedInstance): boolean =>
    sim.nowMs + delayMs(req, instance) + req.runMs / instance.speed <= req.atMs + req.deadlineMs
  return {
    onArrival (sim, req) {
      let best: SimulatedInstance | undefined
      const cost = (instance: SimulatedInstance): number => delayMs(req, instance) + req.runMs / instance.speed
      for (const instance of sim.instances) {
        if (instance.running < SLOTS && instance.mode === INSTANCE_MODES.answers && (!best || cost(instance) < cost(best))) best = instance
      }
      if (best) sim.start(req, best, delayMs(req, best))
      else queue.push(req)
    },
    onSlotFree (sim, instance) {
      while (queue.length > 0 && instance.running < SLOTS && instance.mode === INSTANCE_MODES.answers) {
        const req = queue.pop() as BenchRequest
        if (finishesBeforeDeadline(sim, req, instance)) sim.start(req, instance, delayMs(req, instance))
      }
    }
  }
}

/** Baseline policies by name. */
export const BASELINES: Record<string, (deployment: Deployment) => BaselinePolicy> = {
  random: () => assignAtArrival(({ instances, random }) => instances[random.int(instances.length)]),
  'round-robin': roundRobin,
  'least-conn': () => assignAtArrival(leastConnections),
  fifo,
  ideal: deployment => ideal(deployment),
  'ideal+net': deployment => ideal(deployment, deployment.farDelayMs)
}

/** Runs the requests of `plan` under a baseline policy. */
export function runBaseline (name: string, { deployment, scenario, requests, seed }: RunPlan): BenchResult {
  const result = new BenchResult()
  const baseline = BASELINES[name](deployment)
  const events = new Heap<SimulationEvent>((a, b) => a.atMs - b.atMs || a.order - b.order)
  let order = 0
  const at = (atMs: number, fn: () => void): void => { events.push({ atMs, order: order++, fn }) }
  const instances = Array.from({ length: deployment.instances }, (_, index) => newInstance(index, deployment))
  const sim: Simulation = {
    nowMs: 0,
    instances,
    random: new SeededRandom(seed),
    start (req, instance, delayMs = NEAR_DELAY_MS) {
      if (instance.mode === INSTANCE_MODES.refuses) return
      instance.running++
      result.started(req, sim.nowMs + delayMs)
      const failing = instance.mode === INSTANCE_MODES.fails
      at(sim.nowMs + delayMs + (failing ? 0 : req.runMs / instance.speed), () => {
        instance.running--
        if (!failing && instance.mode !== INSTANCE_MODES.refuses) result.answered(req, sim.nowMs + NEAR_DELAY_MS)
        baseline.onSlotFree(sim, instance)
      })
    }
  }
  for (const { atMs, instance, mode } of scenario.faults ?? []) at(atMs, () => { instances[instance].mode = mode })
  for (const req of requests) {
    result.offered(req)
    at(req.atMs, () => baseline.onArrival(sim, req))
  }
  for (let event = events.pop(); event; event = events.pop()) {
    sim.nowMs = event.atMs
    event.fn()
  }
  return result
}

function newInstance (index: number, deployment: Deployment): SimulatedInstance {
  return { index, speed: speedOf(index), domain: domainOf(index, deployment), mode: INSTANCE_MODES.answers, running: 0, queue: [] }
}
