/**
 * Benchmark of requests: waiting time and goodput of the scheduler compared with simple policies.
 *
 * @module
 */

import type { RequestClass } from 'pomelofold/protocol/requests'
import { CLASSES_BY_URGENCY } from 'pomelofold/requests/requestQueue'
import { BASELINES, runBaseline } from './benchBaselines.js'
import { measureDecisions } from './benchDecisions.js'
import { CLAIM_LAYOUTS, runPolicy, type ClaimLayout } from './benchPolicy.js'
import type { BenchResult } from './benchResult.js'
import { capacityPerMs, DEPLOYMENTS, planRun, type Deployment, type Scenario } from './benchWorkload.js'

const SEED = 20_261
const PERCENTILES = [50, 99, 99.9]
/** Index of an instance of the highest speed. */
const FAST_INSTANCE = 0
const FAULT_AT_MS = 9_000

const NEAR_FULL: Scenario = { name: 'load 90%', load: 0.9 }
const FULL_LOAD: Scenario = { name: 'load 100%', load: 1 }
const SATURATED: Scenario = { name: 'load 150%', load: 1.5 }
const LOADS: Scenario[] = [{ name: 'load 70%', load: 0.7 }, NEAR_FULL, { name: 'load 110%', load: 1.1 }, SATURATED]
const FAULTS: Scenario[] = [
  { name: 'instance lost, 90%', load: 0.9, faults: [{ atMs: FAULT_AT_MS, instance: FAST_INSTANCE, mode: 'refuses' }] },
  { name: 'instance fails, 90%', load: 0.9, faults: [{ atMs: FAULT_AT_MS, instance: FAST_INSTANCE, mode: 'fails' }] },
  { name: 'run times lie, 90%', load: 0.9, expectedMs: 10, longShare: 0.01 }
]

const LAYOUT_SCENARIOS: Scenario[] = [
  NEAR_FULL,
  SATURATED,
  { name: 'holder lost for 6 s, 70%', load: 0.7, entryLoss: { atMs: FAULT_AT_MS, entry: 0, takeoverMs: 6_000 } }
]

type Results = Record<string, BenchResult>

/** Runs the benchmark and prints its tables. */
export async function run (): Promise<void> {
  const startedMs = performance.now()
  for (const deployment of DEPLOYMENTS) await runDeployment(deployment)
  await compareLayouts()
  await measureDecisions()
  console.log(`\nwhole run: ${((performance.now() - startedMs) / 1_000).toFixed(0)} s`)
}

async function runDeployment (deployment: Deployment): Promise<void> {
  const { name, failureDomains, entriesPerDomain, instances, farDelayMs } = deployment
  const entries = failureDomains * entriesPerDomain
  console.log(`\n# ${name}: ${failureDomains} failure domains, ${entries} entry VMs, ${instances} instances, ` +
    `${farDelayMs} ms between failure domains; seed ${SEED}`)
  const results: Record<string, Results> = {}
  for (const scenario of [...LOADS, FULL_LOAD, ...FAULTS]) {
    results[scenario.name] = await runAll(deployment, scenario)
    printScenario(deployment, scenario, results[scenario.name])
  }
  console.log('')
  for (const layout of Object.values(CLAIM_LAYOUTS)) await printGoals(deployment, results, layout)
}

async function printGoals (deployment: Deployment, results: Record<string, Results>, layout: ClaimLayout): Promise<void> {
  const goodPerMs = async (scenario: Scenario): Promise<number> => (await policyRun(deployment, scenario, layout)).goodPerMs()
  const goodput = await goodPerMs(SATURATED) / await goodPerMs(FULL_LOAD)
  const waitMs = (await policyRun(deployment, NEAR_FULL, layout)).waitMs('urgent', 99)
  const ratioTo = (policy: string): string => (waitMs / results[NEAR_FULL.name][policy].waitMs('urgent', 99)).toFixed(2)
  console.log(`goals, claims ${layout}: urgent p99 wait at 90% load ${ratioTo('least-conn')} of least-conn (at most 0.5), ` +
    `${ratioTo('ideal')} times ideal (at most 1.2), ${ratioTo('ideal+net')} times ideal+net; ` +
    `goodput at 150% load ${goodput.toFixed(3)} of that at 100% (at least 1)`)
}

const policyRuns = new Map<string, BenchResult>()

/** Returns the result of a run of the policy, which is computed once and cached. */
async function policyRun (deployment: Deployment, scenario: Scenario, layout: ClaimLayout): Promise<BenchResult> {
  const key = `${deployment.name}/${scenario.name}/${layout}`
  const result = policyRuns.get(key) ?? await runPolicy(planRun(deployment, scenario, SEED), layout)
  policyRuns.set(key, result)
  return result
}

async function runAll (deployment: Deployment, scenario: Scenario): Promise<Results> {
  const plan = planRun(deployment, scenario, SEED)
  const results: Results = { pomelofold: await policyRun(deployment, scenario, CLAIM_LAYOUTS.spread) }
  for (const name of Object.keys(BASELINES)) results[name] = runBaseline(name, plan)
  return results
}

function printScenario (deployment: Deployment, scenario: Scenario, results: Results): void {
  console.log(`\n## ${deployment.name}, ${scenario.name}: waiting time p50/p99/p99.9 in ms, (p99 over that of pomelofold), share answered in time`)
  console.log(tableRow(['policy', ...CLASSES_BY_URGENCY, 'goodput/capacity']))
  for (const [name, result] of Object.entries(results)) {
    const cells = CLASSES_BY_URGENCY.map(cls => {
      const ratio = result.waitMs(cls, 99) / results.pomelofold.waitMs(cls, 99)
      return `${waitPercentiles(result, cls)} (${ratio.toFixed(2)}) ${percent(result.goodShare(cls))}`
    })
    console.log(tableRow([name, ...cells, (result.goodPerMs() / capacityPerMs(deployment, scenario)).toFixed(3)]))
  }
}

/** Compares claims spread over the entry VMs with a single holder for a failure domain, also when a holder is lost. */
async function compareLayouts (): Promise<void> {
  console.log('\n# Claims spread over the entry VMs of a failure domain, or all held by one: waiting time p50/p99/p99.9 in ms, share answered in time')
  console.log(tableRow(['cell, layout, run', ...CLASSES_BY_URGENCY, 'goodput/capacity']))
  for (const deployment of DEPLOYMENTS) {
    for (const scenario of LAYOUT_SCENARIOS) {
      for (const layout of Object.values(CLAIM_LAYOUTS)) {
        const result = await policyRun(deployment, scenario, layout)
        const cells = CLASSES_BY_URGENCY.map(cls => `${waitPercentiles(result, cls)} ${percent(result.goodShare(cls))}`)
        const goodput = (result.goodPerMs() / capacityPerMs(deployment, scenario)).toFixed(3)
        console.log(tableRow([`${deployment.name}, ${layout}, ${scenario.name}`, ...cells, goodput]))
      }
    }
  }
}

function waitPercentiles (result: BenchResult, cls: RequestClass): string {
  return PERCENTILES.map(percentile => shortMs(result.waitMs(cls, percentile))).join('/')
}

function percent (share: number): string {
  return `${(share * 100).toFixed(1)}%`
}

function tableRow (cells: string[]): string {
  return cells.map((cell, i) => cell.padEnd(i === 0 ? 42 : 34)).join('').trimEnd()
}

function shortMs (ms: number): string {
  return ms < 100 ? ms.toFixed(1) : ms.toFixed(0)
}
