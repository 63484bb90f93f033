/**
 * Simple policies to compare with, as a small discrete-event run.
 *
 * @module
 */

import { Heap } from 'heap-js'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { CLASSES_BY_URGENCY } from 'pomelofold/requests/requestQueue'
import { BenchResult } from './benchResult.js'
import { INSTANCE_MODES, type InstanceMode } from './benchInstances.js'
import { domainOf, NEAR_DELAY_MS, SLOTS, speedOf, type BenchRequest, type Deployment, type RunPlan } from './benchWorkload.js'

/** Requests that an instance holds at once, running or waiting. */
const MAX_REQUESTS_PER_INSTANCE = 64

interface SimulatedInstance {
  index: number
  speed: number
  domain: number
  mode: InstanceMode
  running: number
  queue: BenchRequest[]
}

interface SimulationEvent {
  atMs: number
  order: number
  fn: () => void
}

/** A run under way. */
interface Simulation {
  nowMs: number
  servers: SimulatedInstance[]
  random: SeededRandom
  /** Runs a request at a free slot of the server. */
  start (req: BenchRequest, server: SimulatedInstance, delayMs?: number): void
}

/** A policy: what happens at an arrival, and when a slot becomes free. */
interface BaselinePolicy {
  onArrival (sim: Simulation, req: BenchRequest): void
  onSlotFree (sim: Simulation, server: SimulatedInstance): void
}

/** Sends each request on at arrival; it waits at the instance. */
function assignAtArrival (choose: (sim: Simulation, req: BenchRequest) => SimulatedInstance): BaselinePolicy {
  return {
    onArrival (sim, req) {
      const server = choose(sim, req)
      if (server.running < SLOTS) sim.start(req, server)
      else if (server.running + server.queue.length < MAX_REQUESTS_PER_INSTANCE) server.queue.push(req)
    },
    onSlotFree (sim, server) {
      const next = server.queue.shift()
      if (next) sim.start(next, server)
    }
  }
}

function leastConnections ({ servers, random }: Simulation): SimulatedInstance {
  const offset = random.int(servers.length)
  let best = servers[offset]
  for (let i = 1; i < servers.length; i++) {
    const server = servers[(offset + i) % servers.length]
    if (server.running + server.queue.length < best.running + best.queue.length) best = server
  }
  return best
}

function roundRobin (): BaselinePolicy {
  const next = new Map<number, number>()
  return assignAtArrival((sim, req) => {
    const index = next.get(req.entry) ?? req.entry
    next.set(req.entry, index + 1)
    return sim.servers[index % sim.servers.length]
  })
}

/** One queue for the cell, first in, first out, with the true number of free slots. */
function fifo (): BaselinePolicy {
  let queue: BenchRequest[] = []
  let head = 0
  return {
    onArrival (sim, req) {
      const free = sim.servers.filter(server => server.running < SLOTS)
      if (free.length > 0) sim.start(req, free[sim.random.int(free.length)])
      else queue.push(req)
    },
    onSlotFree (sim, server) {
      while (head < queue.length && server.running < SLOTS) {
        const req = queue[head++]
        if (sim.nowMs - req.atMs < req.deadlineMs) sim.start(req, server)
      }
      if (head < 10_000) return
      queue = queue.slice(head)
      head = 0
    }
  }
}

/** One queue for the cell that knows speeds, run times and free slots. `farDelayMs` is the way to other failure domains. */
function ideal ({ failureDomains, entriesPerDomain }: Deployment, farDelayMs = 0): BaselinePolicy {
  const priority = (req: BenchRequest): number => CLASSES_BY_URGENCY.indexOf(req.class)
  const queue = new Heap<BenchRequest>((a, b) => priority(a) - priority(b) || a.atMs + a.deadlineMs - b.atMs - b.deadlineMs)
  const delayMs = (req: BenchRequest, server: SimulatedInstance): number =>
    Math.floor(req.entry / entriesPerDomain) % failureDomains === server.domain ? NEAR_DELAY_MS : NEAR_DELAY_MS + farDelayMs
  const finishesBeforeDeadline = (sim: Simulation, req: BenchRequest, server: SimulatedInstance): boolean =>
    sim.nowMs + delayMs(req, server) + req.runMs / server.speed <= req.atMs + req.deadlineMs
  return {
    onArrival (sim, req) {
      let best: SimulatedInstance | undefined
      const cost = (server: SimulatedInstance): number => delayMs(req, server) + req.runMs / server.speed
      for (const server of sim.servers) {
        if (server.running < SLOTS && server.mode === INSTANCE_MODES.answers && (!best || cost(server) < cost(best))) best = server
      }
      if (best) sim.start(req, best, delayMs(req, best))
      else queue.push(req)
    },
    onSlotFree (sim, server) {
      while (queue.length > 0 && server.running < SLOTS && server.mode === INSTANCE_MODES.answers) {
        const req = queue.pop() as BenchRequest
        if (finishesBeforeDeadline(sim, req, server)) sim.start(req, server, delayMs(req, server))
      }
    }
  }
}

/** The policies to compare with, by name. */
export const BASELINES: Record<string, (deployment: Deployment) => BaselinePolicy> = {
  random: () => assignAtArrival(({ servers, random }) => servers[random.int(servers.length)]),
  'round-robin': roundRobin,
  'least-conn': () => assignAtArrival(leastConnections),
  fifo,
  ideal: deployment => ideal(deployment),
  'ideal+net': deployment => ideal(deployment, deployment.farDelayMs)
}

/** Runs the requests of `plan` under a baseline. */
export function runBaseline (name: string, { deployment, scenario, requests, seed }: RunPlan): BenchResult {
  const result = new BenchResult()
  const baseline = BASELINES[name](deployment)
  const events = new Heap<SimulationEvent>((a, b) => a.atMs - b.atMs || a.order - b.order)
  let order = 0
  const at = (atMs: number, fn: () => void): void => { events.push({ atMs, order: order++, fn }) }
  const servers = Array.from({ length: deployment.instances }, (_, index) => newInstance(index, deployment))
  const sim: Simulation = {
    nowMs: 0,
    servers,
    random: new SeededRandom(seed),
    start (req, server, delayMs = NEAR_DELAY_MS) {
      if (server.mode === INSTANCE_MODES.refuses) return
      server.running++
      result.started(req, sim.nowMs + delayMs)
      const failing = server.mode === INSTANCE_MODES.fails
      at(sim.nowMs + delayMs + (failing ? 0 : req.runMs / server.speed), () => {
        server.running--
        if (!failing && server.mode !== INSTANCE_MODES.refuses) result.answered(req, sim.nowMs + NEAR_DELAY_MS)
        baseline.onSlotFree(sim, server)
      })
    }
  }
  for (const { atMs, instance, mode } of scenario.faults ?? []) at(atMs, () => { servers[instance].mode = mode })
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
