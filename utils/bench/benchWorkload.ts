/**
 * Requests, deployments and faults for the benchmark of requests.
 *
 * @module
 */

import { SeededRandom } from '@pomelofold/standins/seededRandom'
import type { RequestClass } from 'pomelofold/protocol/requests'
import type { InstanceMode } from './benchInstances.js'

/** Mean run time at speed 1, in milliseconds. */
export const MEAN_RUN_MS = 100
/** Shortest run time at speed 1, in milliseconds. */
const MIN_RUN_MS = 5
/** Requests that arrive before this time are not counted. */
export const WARM_UP_MS = 7_000
/** Requests arrive until this time. */
export const END_MS = 15_000
/** Slots of an instance. */
export const SLOTS = 8
/** One-way delay from an entry VM to an instance or entry VM of the same failure domain, in milliseconds. */
export const NEAR_DELAY_MS = 0.2

/** Share of the requests, and deadline, of each class. */
const CLASSES: ReadonlyArray<{ class: RequestClass, share: number, deadlineMs: number }> = [
  { class: 'urgent', share: 0.2, deadlineMs: 1_500 },
  { class: 'normal', share: 0.5, deadlineMs: 3_000 },
  { class: 'batch', share: 0.3, deadlineMs: 6_000 }
]

/** Speeds of the instances, assigned in turn. */
const INSTANCE_SPEEDS = [2, 0.5, 1, 1.5, 0.75]

/** Sizes and delays of a cell. */
export interface Deployment {
  name: string
  failureDomains: number
  entriesPerDomain: number
  instances: number
  /** One-way delay between failure domains, in milliseconds. */
  farDelayMs: number
}

/** Deployments that the benchmark simulates. */
export const DEPLOYMENTS: readonly Deployment[] = [
  { name: 'Kigali', failureDomains: 3, entriesPerDomain: 3, instances: 33, farDelayMs: 1.5 },
  { name: 'Lima', failureDomains: 4, entriesPerDomain: 2, instances: 32, farDelayMs: 0.5 }
]

/** A change of an instance's behaviour. */
export interface InstanceFault {
  atMs: number
  instance: number
  mode: InstanceMode
}

/** Loss of an entry VM. Other entry VMs of its failure domain take over its claims after `takeoverMs`. */
export interface EntryLoss {
  atMs: number
  /** Index of the entry VM. */
  entry: number
  takeoverMs: number
}

/** Load and faults of one run. */
export interface Scenario {
  name: string
  /** Offered load as a share of the capacity. */
  load: number
  faults?: InstanceFault[]
  entryLoss?: EntryLoss
  /** Declared run time, in milliseconds. */
  expectedMs?: number
  /** Share of requests whose run time is multiplied by {@link LONG_RUN_FACTOR}. */
  longShare?: number
}

/** Factor of the run time of long requests. */
const LONG_RUN_FACTOR = 15

/** A request of a run. */
export interface BenchRequest {
  number: number
  atMs: number
  /** Index of the entry VM that receives it. */
  entry: number
  class: RequestClass
  /** True run time at speed 1, in milliseconds. */
  runMs: number
  deadlineMs: number
}

/** Input of a run. */
export interface RunPlan {
  deployment: Deployment
  scenario: Scenario
  requests: BenchRequest[]
  seed: number
}

/** Returns the speed of the instance with the given index. */
export function speedOf (index: number): number {
  return INSTANCE_SPEEDS[index % INSTANCE_SPEEDS.length]
}

/** Returns the index of the failure domain of the instance with the given index. */
export function domainOf (index: number, { failureDomains }: Deployment): number {
  return index % failureDomains
}

/** Returns the number of requests per millisecond that the instances can run. */
export function capacityPerMs ({ instances }: Deployment, { longShare = 0 }: Scenario): number {
  let speed = 0
  for (let i = 0; i < instances; i++) speed += speedOf(i)
  return speed * SLOTS / (MEAN_RUN_MS * (1 + longShare * (LONG_RUN_FACTOR - 1)))
}

/** Generates the requests of a run, in order of arrival. */
function makeRequests (deployment: Deployment, scenario: Scenario, seed: number): BenchRequest[] {
  const random = new SeededRandom(seed)
  const perMs = capacityPerMs(deployment, scenario) * scenario.load
  const entries = deployment.failureDomains * deployment.entriesPerDomain
  const exponential = (mean: number): number => -Math.log(1 - random.next()) * mean
  const requests: BenchRequest[] = []
  for (let atMs = exponential(1 / perMs); atMs < END_MS; atMs += exponential(1 / perMs)) {
    const { class: cls, deadlineMs } = pickClass(random.next())
    const factor = random.next() < (scenario.longShare ?? 0) ? LONG_RUN_FACTOR : 1
    const runMs = (MIN_RUN_MS + exponential(MEAN_RUN_MS - MIN_RUN_MS)) * factor
    requests.push({ number: requests.length, atMs, entry: random.int(entries), class: cls, runMs, deadlineMs })
  }
  return requests
}

function pickClass (point: number): typeof CLASSES[number] {
  let sum = 0
  for (const item of CLASSES) {
    sum += item.share
    if (point < sum) return item
  }
  return CLASSES[CLASSES.length - 1]
}

/** Plans a run of the scenario, with requests generated from the seed. */
export function planRun (deployment: Deployment, scenario: Scenario, seed: number): RunPlan {
  return { deployment, scenario, seed, requests: makeRequests(deployment, scenario, seed) }
}
