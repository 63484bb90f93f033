/**
 * Runs a cell on this machine: three failure domains with separate processes, a manifest, requests of each class, a batch
 * job and a gang job, with one entry daemon killed under load. Prints where requests and tasks ran and how long they
 * waited, checks this against the records of the stand-ins, and exits with 0 when all checks pass.
 *
 * @module
 */

import { readFileSync } from 'node:fs'
import { createHash, randomUUID } from 'node:crypto'
import { build } from 'hdr-histogram-js'
import { jobSpecSchema, type JobView } from 'pomelofold/protocol/jobs'
import { manifestSchema } from 'pomelofold/protocol/manifest'
import { REQUEST_CLASSES, type RequestClass } from 'pomelofold/protocol/requests'
import { checkRecords, ranMoreThanOnce } from './cell/checkRecords.js'
import { ProcessCell, waitUntil } from './cell/processCell.js'

/** Duration of the load, in milliseconds. */
const LOAD_MS = 14_000
/** Time from the start of the load until the entry daemon is killed, in milliseconds. */
const KILL_AFTER_MS = 4_000
/** Time between two requests of one client, in milliseconds. */
const CLIENT_PAUSE_MS = 20
/** Number of clients of each class. */
const CLIENTS_PER_CLASS = { urgent: 4, normal: 8, batch: 8 } as const
/** Entry daemon that is killed. */
const KILLED_VM = 'entry-a1'
/** Leases shorter than the defaults, so that a takeover happens during the demo. */
const DAEMON_SETTINGS = {
  claims: { leaseMs: 3_000, renewEveryMs: 1_000, outagePromiseMs: 600_000 },
  tasks: { leaseMs: 12_000, renewEveryMs: 4_000 }
}

/** Results of the requests of one class. */
interface Tally {
  outcomes: Record<string, number>
  /** Waiting times in milliseconds. */
  waits: ReturnType<typeof build>
  wrongAnswers: number
  lostConnections: number
}

const tallies = new Map<RequestClass, Tally>()
const keyedIds = new Set<string>()

function tallyOf (cls: RequestClass): Tally {
  const tally = tallies.get(cls) ?? { outcomes: {}, waits: build({ highestTrackableValue: 600_000 }), wrongAnswers: 0, lostConnections: 0 }
  tallies.set(cls, tally)
  return tally
}

/** Sends one request, checks that the answer belongs to it, and counts the result. */
async function sendOne (cell: ProcessCell, vm: string, cls: RequestClass, idempotencyKey?: string): Promise<void> {
  const tally = tallyOf(cls)
  const body = randomUUID()
  const sent = await cell.client(vm).sendRequest('readings', body, { class: cls, team: 'gardeners', idempotencyKey })
  if (sent.isErr) {
    tally.lostConnections++
    return
  }
  const { outcome, requestId, status } = sent.value
  tally.outcomes[outcome] = (tally.outcomes[outcome] ?? 0) + 1
  if (idempotencyKey !== undefined) keyedIds.add(requestId)
  if (outcome !== 'ran' || status !== 200) return
  const answer = JSON.parse(sent.value.body.toString('utf8')) as { digest: string }
  if (answer.digest !== createHash('sha256').update(body).digest('hex')) tally.wrongAnswers++
  tally.waits.recordValue(Math.round(Number(sent.value.headers['pomelofold-waited-ms'] ?? 0)))
}

async function runClient (cell: ProcessCell, cls: RequestClass, number: number, endMs: number): Promise<void> {
  const vms = cell.plan.entries.map(entry => entry.vm)
  for (let i = number; Date.now() < endMs; i++) {
    const vm = vms[i % vms.length]
    const isKilled = vm === KILLED_VM && killed
    if (!isKilled) await sendOne(cell, vm, cls, i % 10 === 0 ? randomUUID() : undefined)
    await new Promise(resolve => setTimeout(resolve, CLIENT_PAUSE_MS))
  }
}

let killed = false

async function killUnderLoad (cell: ProcessCell): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, KILL_AFTER_MS))
  cell.signal(KILLED_VM, 'SIGKILL')
  killed = true
  console.log(`killed ${KILLED_VM} under load`)
}

async function submitJob (cell: ProcessCell, file: string): Promise<string> {
  const spec = jobSpecSchema.parse(JSON.parse(readFileSync(new URL(`../../examples/${file}`, import.meta.url), 'utf8')))
  let jobId = ''
  await waitUntil(`${file} is accepted`, async () => {
    const submitted = await cell.client('entry-b1').submitJob(spec, `demo-${file}`)
    if (submitted.isErr) return false
    jobId = submitted.value.jobId
    return true
  })
  return jobId
}

async function waitForJob (cell: ProcessCell, jobId: string): Promise<JobView> {
  let view: JobView | undefined
  await waitUntil(`${jobId} is done`, async () => {
    const asked = await cell.client('entry-b1').job(jobId)
    if (asked.isOk) view = asked.value
    return view?.state === 'done'
  })
  return view!
}

function printRequests (): void {
  console.log('\nclass    ran  not-run  unknown  lost  wait p50 ms  wait p99 ms')
  for (const [cls, { outcomes, waits, lostConnections }] of tallies) {
    const counts = [outcomes.ran, outcomes['not-run'], outcomes.unknown, lostConnections].map(count => String(count ?? 0).padStart(6))
    console.log(`${cls.padEnd(7)} ${counts.join(' ')} ${String(waits.getValueAtPercentile(50)).padStart(12)} ${String(waits.getValueAtPercentile(99)).padStart(12)}`)
  }
}

function printJob ({ jobId, spec, state, tasks, waitedMs }: JobView): void {
  console.log(`${spec.kind} ${spec.name} (${jobId}): ${state}, ${tasks.finished} of ${tasks.total} tasks finished, first start after ${Math.round(waitedMs ?? 0)} ms`)
}

async function main (): Promise<number> {
  const startedMs = Date.now()
  const cell = await ProcessCell.start({ daemon: DAEMON_SETTINGS })
  try {
    console.log(`${cell.plan.processes.length} processes run; entry daemons: ${cell.plan.entries.map(entry => entry.vm).join(', ')}`)
    const manifest = manifestSchema.parse(JSON.parse(readFileSync(new URL('../../examples/umurima.manifest.json', import.meta.url), 'utf8')))
    const submitted = await cell.client('entry-b1').submitManifest(manifest, 0)
    if (submitted.isErr) throw submitted.error
    const { revision } = submitted.value
    await Promise.all(cell.plan.entries.map(({ vm }) => waitUntil(`revision ${revision} is in force at ${vm}`, async () => {
      const current = await cell.client(vm).manifest()
      return current.isOk && current.value.revision >= revision
    })))
    console.log(`manifest of revision ${revision} in force at every entry daemon`)
    await waitUntil('a request runs', async () => (await cell.client(KILLED_VM).sendRequest('readings', 'first')).map(answer => answer.outcome === 'ran').unwrapOr(false))

    const jobIds = [await submitJob(cell, 'rebuild.job.json'), await submitJob(cell, 'model.job.json')]
    const endMs = Date.now() + LOAD_MS
    const clients = Object.values(REQUEST_CLASSES).flatMap(cls =>
      Array.from({ length: CLIENTS_PER_CLASS[cls] }, (_, i) => runClient(cell, cls, i, endMs)))
    await Promise.all([...clients, killUnderLoad(cell)])
    const jobs = await Promise.all(jobIds.map(jobId => waitForJob(cell, jobId)))

    printRequests()
    for (const job of jobs) printJob(job)
    const [instances, workers] = [await cell.instanceRecords(), await cell.workerRecords()]
    console.log('\nrequests and tasks by upstream, from the records of the upstreams:')
    for (const { vm, runs, peakRunning, slots } of instances) console.log(`${vm}: ${runs.length} requests, at most ${peakRunning} of ${slots} slots at once`)
    for (const { vm, runs, peakDeclared, capacity } of workers) console.log(`${vm}: ${runs.length} tasks, at most ${peakDeclared.cpus} of ${capacity.cpus} cpus at once`)

    const violations = [
      ...checkRecords(instances, workers),
      ...ranMoreThanOnce(instances, keyedIds).map(requestId => `keyed request ${requestId} ran more than once`),
      ...[...tallies].filter(([, tally]) => tally.wrongAnswers > 0).map(([cls, tally]) => `${tally.wrongAnswers} ${cls} requests got the answer to another request`),
      ...[...tallies].filter(([, tally]) => !tally.outcomes.ran).map(([cls]) => `no ${cls} request ran`)
    ]
    for (const violation of violations) console.log(`VIOLATION: ${violation}`)
    console.log(`\n${violations.length === 0 ? 'all checks passed' : 'checks failed'}, ${Math.round((Date.now() - startedMs) / 1000)} s`)
    return violations.length === 0 ? 0 : 1
  } finally {
    await cell.close()
  }
}

process.exit(await main())
