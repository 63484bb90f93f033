/**
 * The scenario language: sentences with their handlers. To add a sentence, add an entry to {@link STEPS}.
 *
 * @module
 */

import { manifestSchema } from 'pomelofold/protocol/manifest'
import type { RequestClass } from 'pomelofold/protocol/requests'
import { findViolations } from './invariants.js'
import { ScenarioCell } from './scenarioCell.js'
import { Workload } from './workload.js'

/** State shared by the steps of one scenario. */
export interface World {
  seed: number
  cell: ScenarioCell
  workload: Workload
  /** Result of each submission of a manifest: the kind of its answer, or `failed`. */
  submissionResults: string[]
  shutdowns: Array<Promise<void>>
}

type StepHandler = (world: World, ...args: string[]) => Promise<void> | void

/** Time in which requests in flight and takeovers end, in milliseconds. */
const REQUESTS_SETTLE_MS = 30_000

/** Time in which the leases of tasks end, in milliseconds. */
const TASKS_SETTLE_MS = 300_000

/** Longest wait for accepted jobs to be done, in milliseconds. */
const JOBS_DONE_LIMIT_MS = 900_000

const MANIFEST = manifestSchema.parse({
  format: 1,
  services: [{ name: 'readings', expectedMs: 20 }],
  teams: [{ name: 'gardeners', quota: { cpus: 10_000, memoryMb: 10_000_000, accelerators: 100 } }]
})

/** Fails the step with the description of what was found, unless the condition is true. */
function assertStep (condition: boolean, found: string): void {
  if (!condition) throw new Error(found)
}

function otherDomains (world: World, domain: string): string[] {
  return world.cell.domains.filter(name => name !== domain)
}

async function submitManifest (world: World, vm: string, baseRevision: number, extra: string[] = []): Promise<void> {
  const manifest = { ...MANIFEST, services: [...MANIFEST.services, ...extra.map(name => ({ ...MANIFEST.services[0], name }))] }
  const submitted = await world.cell.processes.get(vm)!.daemon.manifest.submit(manifest, baseRevision)
  world.submissionResults.push(submitted.isOk ? submitted.value.kind : 'failed')
}

function submitJobs (world: World, count: number, kind: 'batch' | 'gang', tasks: number, cpus: number, seconds: number): void {
  for (let i = 0; i < count; i++) {
    world.workload.submitJob({
      name: `${kind}-${i}`,
      kind,
      team: 'gardeners',
      tasks: [{ count: tasks, size: { cpus, memoryMb: 1_000 }, expectedMs: seconds * 1_000 }]
    })
  }
}

/** Share of the calls through one failure domain, sent at `sinceMs` or later, that ran. */
function shareThatRan (world: World, domain: string, sinceMs: number): number {
  const calls = world.workload.calls.filter(call => call.failureDomain === domain && call.sentAtMs >= sinceMs)
  return calls.length === 0 ? 0 : calls.filter(call => call.outcome === 'ran').length / calls.length
}

/** Sentences of the scenario language with their handlers. */
export const STEPS: Array<[RegExp, StepHandler]> = [
  [/^a cell of (\d+) failure domains? with (\d+) entry VMs?, (\d+) service instances? and (\d+) workers? each$/, async (world, domains, entries, instances, workers) => {
    world.cell = new ScenarioCell({
      seed: world.seed,
      domains: ['a', 'b', 'c', 'd'].slice(0, Number(domains)),
      entriesPerDomain: Number(entries),
      instancesPerDomain: Number(instances),
      workersPerDomain: Number(workers)
    })
    world.workload = new Workload(world.cell)
    await world.cell.startAll()
    await Promise.all([submitManifest(world, 'a1', 0), world.cell.clock.advance(20_000)])
    world.submissionResults = []
  }],
  [/^(\d+) (urgent|normal|batch) requests come in within (\d+) seconds?$/, (world, count, cls, seconds) =>
    world.workload.sendRequests(Number(count), Number(seconds), { class: cls as RequestClass })],
  [/^(\d+) requests come in through failure domain "(\w+)" within (\d+) seconds?$/, (world, count, domain, seconds) =>
    world.workload.sendRequests(Number(count), Number(seconds), { domain })],
  [/^(\d+) keyed requests come in within (\d+) seconds?, each through (\d+) entry VMs?$/, (world, count, seconds, copies) =>
    world.workload.sendRequests(Number(count), Number(seconds), { copies: Number(copies), keyed: true })],
  [/^(\d+) (batch|gang) jobs? of (\d+) tasks? with (\d+) cpus for (\d+) seconds? comes? in$/, (world, count, kind, tasks, cpus, seconds) =>
    submitJobs(world, Number(count), kind as 'batch' | 'gang', Number(tasks), Number(cpus), Number(seconds))],
  [/^every second job is cancelled$/, world => world.workload.jobs.forEach((job, i) => { if (i % 2 === 1) world.workload.cancelJob(job) })],

  [/^entry VM "(\w+)" is killed$/, (world, vm) => world.cell.kill(vm)],
  [/^entry VM "(\w+)" is frozen$/, (world, vm) => world.cell.processes.get(vm)!.timers.freeze()],
  [/^entry VM "(\w+)" resumes$/, (world, vm) => world.cell.processes.get(vm)!.timers.thaw()],
  [/^entry VM "(\w+)" is lost$/, (world, vm) => world.cell.loseVm(vm)],
  [/^entry VM "(\w+)" is restarted$/, (world, vm) => { world.cell.start(vm) }],
  [/^entry VM "(\w+)" shuts down gracefully$/, (world, vm) => { world.shutdowns.push(world.cell.shutdown(vm)) }],
  [/^the placer of failure domain "(\w+)" is (killed|frozen)$/, (world, domain, how) => {
    const vm = world.cell.placerOf(domain)
    assertStep(vm !== undefined, `failure domain ${domain} has no placer`)
    if (how === 'killed') world.cell.kill(vm!)
    else world.cell.processes.get(vm!)!.timers.freeze()
  }],
  [/^every entry VM is killed$/, world => world.cell.entryVms.forEach(vm => world.cell.kill(vm))],
  [/^every entry VM is restarted$/, world => world.cell.entryVms.forEach(vm => { world.cell.start(vm) })],
  [/^every frozen entry VM resumes$/, world => world.cell.processes.forEach(process => process.timers.thaw())],

  [/^failure domain "(\w+)" is cut off from the other failure domains$/, (world, domain) => world.cell.setCut([domain], otherDomains(world, domain), true)],
  [/^failure domain "(\w+)" is cut off from the platform$/, (world, domain) => world.cell.setPlatformFaults([domain], { unreachable: true })],
  [/^the platform is unavailable$/, world => world.cell.setPlatformFaults(world.cell.domains, { unreachable: true })],
  [/^the platform answers with a delay of (\d+) milliseconds$/, (world, ms) => world.cell.setPlatformFaults(world.cell.domains, { delayMs: Number(ms) })],
  [/^the answers of the platform are lost$/, world => world.cell.setPlatformFaults(world.cell.domains, { loseAnswers: true })],
  [/^the platform recovers$/, world => world.cell.setPlatformFaults(world.cell.domains, { unreachable: false, loseAnswers: false, delayMs: 1 })],
  [/^all connections are restored$/, world => {
    world.cell.setCut(world.cell.domains, world.cell.domains, false)
    world.cell.setPlatformFaults(world.cell.domains, { unreachable: false })
  }],

  [/^(?:worker|service instance) "([\w-]+)" is lost$/, (world, name) => world.cell.loseVm(name)],
  [/^(?:worker|service instance) "([\w-]+)" is listed as leaving$/, (world, name) => world.cell.markLeaving(name)],
  [/^worker "([\w-]+)" fails every task$/, (world, name) => { world.cell.workers.get(name)!.faults.failTasks = true }],
  [/^every service instance is (\d+) times slower$/, (world, factor) => {
    for (const model of world.cell.instances.values()) model.faults.slowness = Number(factor)
  }],
  [/^service instance "([\w-]+)" fails every request$/, (world, name) => { world.cell.instances.get(name)!.faults.fail = true }],
  [/^service instance "([\w-]+)" answers (\d+) milliseconds late$/, (world, name, ms) => { world.cell.instances.get(name)!.faults.lateMs = Number(ms) }],
  [/^service instance "([\w-]+)" cuts off its answers$/, (world, name) => { world.cell.instances.get(name)!.faults.reset = true }],

  [/^(\d+) operators submit changes against the same revision at once$/, async (world, count) => {
    const { revision } = world.cell.running()[0].daemon.manifest.current()
    const vms = world.cell.running().map(process => process.vm)
    const submissions = Array.from({ length: Number(count) }, (_, i) => submitManifest(world, vms[i % vms.length], revision, [`extra-${i}`]))
    await Promise.all([...submissions, world.cell.clock.advance(5_000)])
  }],
  [/^an operator submits a change through entry VM "(\w+)"$/, async (world, vm) => {
    const { revision } = world.cell.processes.get(vm)!.daemon.manifest.current()
    await Promise.all([submitManifest(world, vm, revision, ['extra']), world.cell.clock.advance(5_000)])
  }],

  [/^(\d+) seconds? pass(?:es)?$/, (world, seconds) => world.cell.clock.advance(Number(seconds) * 1_000)],

  [/^all invariants hold$/, async world => {
    await world.cell.clock.advance(world.workload.jobs.length > 0 ? TASKS_SETTLE_MS : REQUESTS_SETTLE_MS)
    await Promise.all(world.shutdowns)
    const found = findViolations(world)
    assertStep(found.length === 0, `${found.length} violations: ${found.slice(0, 10).join('; ')}`)
  }],
  [/^every request was answered$/, world => {
    const lost = world.workload.calls.filter(call => call.outcome === undefined || call.outcome === 'lost')
    assertStep(lost.length === 0, `${lost.length} of ${world.workload.calls.length} requests were not answered, for example ${lost[0]?.requestId} through ${lost[0]?.vm}`)
  }],
  [/^at least (\d+) percent of the requests through failure domain "(\w+)" ran$/, (world, percent, domain) => {
    const share = shareThatRan(world, domain, 0)
    assertStep(share * 100 >= Number(percent), `${(share * 100).toFixed(1)} percent ran`)
  }],
  [/^at least (\d+) percent of the requests ran$/, (world, percent) => {
    const { calls } = world.workload
    const all = new Set(calls.map(call => call.key ?? call.requestId))
    const ran = new Set(calls.filter(call => call.outcome === 'ran').map(call => call.key ?? call.requestId))
    assertStep(ran.size * 100 >= Number(percent) * all.size, `${ran.size} of ${all.size} requests ran`)
  }],
  [/^every (?:accepted job|job that was not cancelled) is done$/, async world => {
    await world.cell.clock.advanceUntil(() => unfinishedJobs(world).length === 0, { limitMs: JOBS_DONE_LIMIT_MS, stepMs: 1_000 })
      .catch(() => assertStep(false, `not done: ${unfinishedJobs(world).join('; ')}`))
  }],
  [/^one operator has succeeded and the others got a conflict$/, world => {
    const won = world.submissionResults.filter(kind => kind === 'accepted').length
    const conflicts = world.submissionResults.filter(kind => kind === 'conflict').length
    assertStep(won === 1 && conflicts === world.submissionResults.length - 1, `the submissions ended with: ${world.submissionResults.join(', ')}`)
  }],
  [/^the same revision is in force at every running entry VM$/, world => {
    const revisions = world.cell.running().map(({ vm, daemon }) => `${vm}:${daemon.manifest.current().revision}`)
    assertStep(new Set(revisions.map(text => text.split(':')[1])).size === 1, revisions.join(' '))
  }]
]

/** Runs the handler of a sentence. Rejects when an expectation fails or no pattern matches the sentence. */
export async function runSentence (world: World, text: string): Promise<void> {
  for (const [pattern, handler] of STEPS) {
    const match = pattern.exec(text)
    if (match) return await handler(world, ...match.slice(1))
  }
  throw new Error(`no step matches this sentence: ${text}`)
}

/** Jobs that are not finished although their callers wait for them, with the number of finished tasks in the workers' records. */
function unfinishedJobs ({ cell, workload }: World): string[] {
  const finished = new Map<string, Set<string>>()
  for (const model of cell.workers.values()) {
    for (const run of model.record().runs.filter(run => run.end === 'finished')) {
      const [jobId, index] = run.taskId.split(':')
      finished.set(jobId, (finished.get(jobId) ?? new Set()).add(index))
    }
  }
  return workload.jobs.filter(job => !job.cancelled && job.refused === undefined).flatMap(job => {
    const total = job.spec.tasks.reduce((sum, group) => sum + group.count, 0)
    const done = finished.get(job.jobId ?? '')?.size ?? 0
    return done === total ? [] : [`${job.jobId ?? 'a job that was never accepted'} ${done}/${total}`]
  })
}
