/**
 * Benchmark of requests: waiting time and goodput of the policy beside simple ones.
 *
 * @module
 */

import { CLASS_ORDER } from 'pomelofold/requests/requestQueue'
import { BASELINES, runBaseline } from './benchBaselines.js'
import { measureDecisions } from './benchDecisions.js'
import { CLAIM_LAYOUTS, runPolicy } from './benchPolicy.js'
import type { BenchResult } from './benchResult.js'
import { capacityPerMs, DEPLOYMENTS, planRun, type Deployment, type Scenario } from './benchWorkload.js'

const SEED = 20_261
const PERCENTILES = [50, 99, 99.9]
/** Index of an instance of the highest speed. */
const FAST_INSTANCE = 0
const FAULT_AT_MS = 10_000

const LOADS: Scenario[] = [0.7, 0.9, 1.1, 1.5].map(load => ({ name: `load ${Math.round(load * 100)}%`, load }))
const FULL_LOAD: Scenario = { name: 'load 100%', load: 1 }
const FAULTS: Scenario[] = [
  { name: 'instance lost, 90%', load: 0.9, faults: [{ atMs: FAULT_AT_MS, instance: FAST_INSTANCE, mode: 'refuses' }] },
  { name: 'instance fails, 90%', load: 0.9, faults: [{ atMs: FAULT_AT_MS, instance: FAST_INSTANCE, mode: 'fails' }] },
  { name: 'run times lie, 90%', load: 0.9, expectedMs: 10, longShare: 0.01 }
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
  console.log(`\n# ${name}: ${failureDomains} failure domains, ${failureDomains * entriesPerDomain} entry VMs, ${instances} instances, ${farDelayMs} ms between failure domains; seed ${SEED}`)
  const goodput: Record<string, Results> = {}
  for (const scenario of [...LOADS, FULL_LOAD, ...FAULTS]) {
    const results = await runAll(deployment, scenario)
    goodput[scenario.name] = results
    printScenario(deployment, scenario, results)
  }
  const ratio = goodput['load 150%'].pomelofold.goodPerMs() / goodput['load 100%'].pomelofold.goodPerMs()
  console.log(`\ngoodput at 150% load over that at 100%: ${ratio.toFixed(3)} (goal: at least 1)`)
  const over = (policy: string): string => {
    const waitMs = (name: string): number => goodput['load 90%'][name].waitMs('urgent', 99)
    return (waitMs('pomelofold') / waitMs(policy)).toFixed(2)
  }
  console.log(`urgent p99 wait at 90% load: ${over('least-conn')} of least-conn (goal: at most 0.5), ` +
    `${over('ideal')} times ideal (goal: at most 1.2), ${over('ideal+net')} times ideal+net`)
}

async function runAll (deployment: Deployment, scenario: Scenario): Promise<Results> {
  const plan = planRun(deployment, scenario, SEED)
  const results: Results = { pomelofold: await runPolicy(plan) }
  for (const name of Object.keys(BASELINES)) results[name] = runBaseline(name, plan)
  return results
}

function printScenario (deployment: Deployment, scenario: Scenario, results: Results): void {
  console.log(`\n## ${deployment.name}, ${scenario.name}: waiting time p50/p99/p99.9 in ms, (p99 over that of pomelofold), share answered in time`)
  console.log(row(['policy', ...CLASS_ORDER, 'goodput/capacity']))
  for (const [name, result] of Object.entries(results)) {
    const cells = CLASS_ORDER.map(cls => {
      const waits = PERCENTILES.map(percentile => shortMs(result.waitMs(cls, percentile))).join('/')
      const ratio = result.waitMs(cls, 99) / results.pomelofold.waitMs(cls, 99)
      return `${waits} (${ratio.toFixed(2)}) ${(result.goodShare(cls) * 100).toFixed(1)}%`
    })
    console.log(row([name, ...cells, (result.goodPerMs() / capacityPerMs(deployment, scenario)).toFixed(3)]))
  }
}

/** Compares claims instance by instance with one holder for a whole failure domain. */
async function compareLayouts (): Promise<void> {
  console.log('\n# Claims spread over the entry VMs of a failure domain, or all held by one: waiting time p50/p99/p99.9 in ms')
  console.log(row(['cell, load, layout', ...CLASS_ORDER]))
  for (const deployment of DEPLOYMENTS) {
    for (const scenario of LOADS.filter(({ load }) => load === 0.9 || load === 1.1)) {
      const plan = planRun(deployment, scenario, SEED)
      for (const layout of Object.values(CLAIM_LAYOUTS)) {
        const result = await runPolicy(plan, layout)
        const cells = CLASS_ORDER.map(cls => PERCENTILES.map(percentile => shortMs(result.waitMs(cls, percentile))).join('/'))
        console.log(row([`${deployment.name}, ${scenario.load}, ${layout}`, ...cells]))
      }
    }
  }
}

function row (cells: string[]): string {
  return cells.map((cell, i) => cell.padEnd(i === 0 ? 26 : 34)).join('').trimEnd()
}

function shortMs (ms: number): string {
  return ms < 100 ? ms.toFixed(1) : ms.toFixed(0)
}
